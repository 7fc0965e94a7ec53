/** Delivers in the order of arrival, as one direction of a TCP connection does. */
export interface DelayLine {
  /** Performs a delivery after the delay that applies now, and never before an earlier one. */
  add(deliver: () => void): void;
}

interface PendingDelivery {
  dueAt: number;
  deliver: () => void;
}

/**
 * Creates a delay line; `getDelayMs` is read at each `add`.
 *
 * @example
 * const line = createDelayLine(() => faults.delayMs);
 * line.add(() => socket.write(chunk));
 */
export function createDelayLine(getDelayMs: () => number): DelayLine {
  const pending: PendingDelivery[] = [];

  const deliverDue = (): void => {
    const next = pending[0];
    if (!next) return;
    const remainingMs = next.dueAt - performance.now();
    if (remainingMs > 0) {
      setTimeout(deliverDue, Math.ceil(remainingMs));
      return;
    }
    pending.shift();
    next.deliver();
    deliverDue();
  };

  return {
    add(deliver) {
      const delayMs = getDelayMs();
      if (pending.length === 0 && delayMs === 0) {
        deliver();
        return;
      }
      const dueAt = Math.max(performance.now() + delayMs, pending.at(-1)?.dueAt ?? 0);
      pending.push({ dueAt, deliver });
      if (pending.length === 1) deliverDue();
    },
  };
}
