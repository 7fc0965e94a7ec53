/**
 * Admission at the proxy beside a target: as many calls at once as the target has slots, a short
 * queue ordered by weighted fair sharing among customers, and early refusal of what cannot finish.
 */

/** A call that asks for a slot. */
export interface AdmissionRequest {
  id: string;
  customer: string;
  /** Share of the customer, times the weight of the request kind. */
  weight: number;
  /** Monotonic time after which the answer is worthless, in milliseconds. */
  deadlineAt: number;
}

/** Why a call was refused. */
export type ShedReason = 'queue-full' | 'deadline' | 'draining';

export type AdmissionEffect =
  { type: 'run'; id: string } | { type: 'shed'; id: string; reason: ShedReason };

/** Settings of the admission part. */
export interface AdmissionOptions {
  slots: number;
  /** Waiting calls per slot. */
  queuePerSlot: number;
}

export const admissionDefaults = { queuePerSlot: 2 };

/** Weight of the newest service time in the moving mean. */
const SERVICE_TIME_GAIN = 0.1;

/** The admission part of one target. */
export interface Admission {
  offer(request: AdmissionRequest, now: number): AdmissionEffect[];
  /** Frees the slot of a finished call that ran for `serviceMs`. */
  release(id: string, serviceMs: number, now: number): AdmissionEffect[];
  /** Takes a waiting call out of the queue, because its caller gave up. */
  cancel(id: string): boolean;
  setSlots(slots: number): void;
  /** Refuses everything that waits. */
  drain(): AdmissionEffect[];
  /** Calls that run and wait, and the mean time between two slots that free while all are taken. */
  load(): { running: number; waiting: number; slotFreeMs: number };
}

interface Waiting extends AdmissionRequest {
  /** Virtual finish time by which the queue is ordered. */
  tag: number;
}

/**
 * Creates the admission part of one target.
 *
 * @example
 * const admission = createAdmission({ slots: 10, queuePerSlot: 2 });
 */
export function createAdmission(options: AdmissionOptions): Admission {
  let { slots } = options;
  let meanServiceMs = 0;
  let virtualTime = 0;
  const running = new Set<string>();
  const lastTags = new Map<string, number>();
  let waiting: Waiting[] = [];

  const start = (id: string): AdmissionEffect => {
    running.add(id);
    return { type: 'run', id };
  };

  const insert = (request: AdmissionRequest): void => {
    const from = Math.max(virtualTime, lastTags.get(request.customer) ?? 0);
    const tag = from + 1 / request.weight;
    lastTags.set(request.customer, tag);
    const index = waiting.findIndex((other) => other.tag > tag);
    waiting.splice(index < 0 ? waiting.length : index, 0, { ...request, tag });
  };

  const isTooLate = (request: AdmissionRequest, now: number): boolean =>
    now + meanServiceMs > request.deadlineAt;

  const startNext = (now: number): AdmissionEffect[] => {
    const effects: AdmissionEffect[] = [];
    while (running.size < slots && waiting.length > 0) {
      const next = waiting.shift() as Waiting;
      virtualTime = Math.max(virtualTime, next.tag);
      effects.push(
        isTooLate(next, now) ? { type: 'shed', id: next.id, reason: 'deadline' } : start(next.id),
      );
    }
    if (waiting.length === 0) lastTags.clear();
    return effects;
  };

  const shedLast = (): AdmissionEffect[] => {
    if (waiting.length <= slots * options.queuePerSlot) return [];
    const last = waiting.pop() as Waiting;
    // The refused call used nothing of its customer's share.
    lastTags.set(last.customer, Math.max(virtualTime, last.tag - 1 / last.weight));
    return [{ type: 'shed', id: last.id, reason: 'queue-full' }];
  };

  return {
    offer(request, now) {
      if (isTooLate(request, now)) return [{ type: 'shed', id: request.id, reason: 'deadline' }];
      if (running.size < slots && waiting.length === 0) return [start(request.id)];
      insert(request);
      return [...startNext(now), ...shedLast()];
    },
    release(id, serviceMs, now) {
      if (!running.delete(id)) return [];
      meanServiceMs += (serviceMs - meanServiceMs) * SERVICE_TIME_GAIN;
      return startNext(now);
    },
    cancel(id) {
      const before = waiting.length;
      waiting = waiting.filter((request) => request.id !== id);
      return waiting.length < before;
    },
    setSlots(next) {
      slots = next;
    },
    drain() {
      const effects = waiting.map(({ id }) => ({
        type: 'shed' as const,
        id,
        reason: 'draining' as const,
      }));
      waiting = [];
      return effects;
    },
    load: () => ({
      running: running.size,
      waiting: waiting.length,
      slotFreeMs: meanServiceMs / Math.max(1, slots),
    }),
  };
}
