/** A circuit breaker per target: opens on failures, lets one probe through after a pause. */

export type CircuitState = 'closed' | 'open' | 'half-open';

/** Settings of a circuit; durations in milliseconds. */
export interface CircuitOptions {
  failuresToOpen: number;
  windowMs: number;
  openMs: number;
}

export const circuitDefaults: CircuitOptions = {
  failuresToOpen: 5,
  windowMs: 5_000,
  openMs: 2_000,
};

/** One circuit. */
export interface Circuit {
  state(now: number): CircuitState;
  /** Tells whether a call may be sent; a half-open circuit admits one at a time. */
  mayCall(now: number): boolean;
  /** Marks that the admitted call was sent. */
  noteSent(now: number): void;
  noteSuccess(): void;
  noteFailure(now: number): void;
}

/**
 * Creates a closed circuit.
 *
 * @example
 * const circuit = createCircuit(circuitDefaults);
 */
export function createCircuit(options: CircuitOptions): Circuit {
  let failures: number[] = [];
  let openedAt: number | undefined;
  let probeSentAt: number | undefined;

  const readState = (now: number): CircuitState => {
    if (openedAt === undefined) return 'closed';
    return now - openedAt >= options.openMs ? 'half-open' : 'open';
  };

  return {
    state: readState,
    mayCall(now) {
      const state = readState(now);
      if (state !== 'half-open') return state === 'closed';
      return probeSentAt === undefined || now - probeSentAt >= options.openMs;
    },
    noteSent(now) {
      if (readState(now) === 'half-open') probeSentAt = now;
    },
    noteSuccess() {
      failures = [];
      openedAt = undefined;
      probeSentAt = undefined;
    },
    noteFailure(now) {
      failures = [...failures.filter((at) => now - at < options.windowMs), now];
      const isProbe = openedAt !== undefined;
      if (!isProbe && failures.length < options.failuresToOpen) return;
      openedAt = now;
      probeSentAt = undefined;
    },
  };
}
