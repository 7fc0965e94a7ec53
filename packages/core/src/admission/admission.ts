/**
 * Admission control at the proxy beside a target. At most one call per slot of the target runs at a
 * time; the others wait in a short queue with weighted fair queueing among customers. Calls that
 * cannot finish before their deadline are shed early.
 */

import * as fairClocks from './fair-clock.js';

export interface AdmissionRequest {
  id: string;
  customer: string;
  /** Weight of the customer multiplied by the weight of the request kind. */
  weight: number;
  /** Monotonic time after which the caller no longer needs the response, in milliseconds. */
  deadlineAt: number;
}

export type ShedReason = 'queue-full' | 'deadline' | 'draining';

/** An action for the proxy: run the call, or shed it for `reason`. */
export type AdmissionEffect =
  { type: 'run'; id: string } | { type: 'shed'; id: string; reason: ShedReason };

export interface AdmissionOptions {
  /** Number of calls that the target runs at a time. */
  slots: number;
  /** Maximum number of waiting calls per slot. */
  queuePerSlot: number;
}

export const admissionDefaults = { queuePerSlot: 2 };

/** Weight of the newest service time in the exponential moving average. */
const SERVICE_TIME_SMOOTHING = 0.1;

/** The admission controller of one target. All times are monotonic and in milliseconds. */
export interface AdmissionController {
  /** Runs, queues or sheds a call. When the queue is full, the call at its end is shed. */
  offer(request: AdmissionRequest, now: number): AdmissionEffect[];
  /** Frees the slot of a call that ended after `serviceMs` and starts the next calls. */
  release(id: string, serviceMs: number, now: number): AdmissionEffect[];
  /** Removes a queued call that its caller has cancelled; false when it is not in the queue. */
  cancel(id: string): boolean;
  /** Changes the number of slots; it takes effect with the next offered or released call. */
  setSlots(slots: number): void;
  /** Sheds all waiting calls. */
  drain(): AdmissionEffect[];
  /**
   * Returns the number of running and waiting calls, and the mean time between two slots becoming
   * free while all are taken.
   */
  getLoad(): { running: number; waiting: number; slotFreeMs: number };
}

interface QueuedRequest extends AdmissionRequest {
  /** Virtual finish time of weighted fair queueing, by which the queue is ordered. */
  virtualFinish: number;
}

/**
 * Creates the admission controller of one target.
 *
 * @example
 * const admission = createAdmissionController({ slots: 10, queuePerSlot: 2 });
 */
export function createAdmissionController(options: AdmissionOptions): AdmissionController {
  let { slots } = options;
  let averageServiceMs = 0;
  const running = new Set<string>();
  const fairClock = fairClocks.createFairClock();
  let queue: QueuedRequest[] = [];

  const start = (id: string): AdmissionEffect => {
    running.add(id);
    return { type: 'run', id };
  };

  const insert = (request: AdmissionRequest): void => {
    const virtualFinish = fairClock.charge(request.customer, 1 / request.weight);
    const index = queue.findIndex((other) => other.virtualFinish > virtualFinish);
    queue.splice(index < 0 ? queue.length : index, 0, { ...request, virtualFinish });
  };

  const isTooLate = (request: AdmissionRequest, now: number): boolean =>
    now + averageServiceMs > request.deadlineAt;

  const startNext = (now: number): AdmissionEffect[] => {
    const effects: AdmissionEffect[] = [];
    while (running.size < slots && queue.length > 0) {
      const next = queue.shift() as QueuedRequest;
      fairClock.recordStart(next.virtualFinish);
      effects.push(
        isTooLate(next, now) ? { type: 'shed', id: next.id, reason: 'deadline' } : start(next.id),
      );
    }
    if (queue.length === 0) fairClock.clear();
    return effects;
  };

  const shedExcess = (): AdmissionEffect[] => {
    if (queue.length <= slots * options.queuePerSlot) return [];
    const last = queue.pop() as QueuedRequest;
    fairClock.refund(last.customer, 1 / last.weight);
    return [{ type: 'shed', id: last.id, reason: 'queue-full' }];
  };

  return {
    offer(request, now) {
      if (isTooLate(request, now)) return [{ type: 'shed', id: request.id, reason: 'deadline' }];
      if (running.size < slots && queue.length === 0) return [start(request.id)];
      insert(request);
      return [...startNext(now), ...shedExcess()];
    },
    release(id, serviceMs, now) {
      if (!running.delete(id)) return [];
      averageServiceMs += (serviceMs - averageServiceMs) * SERVICE_TIME_SMOOTHING;
      return startNext(now);
    },
    cancel(id) {
      const previousLength = queue.length;
      queue = queue.filter((request) => request.id !== id);
      return queue.length < previousLength;
    },
    setSlots(next) {
      slots = next;
    },
    drain() {
      const effects = queue.map(({ id }) => ({
        type: 'shed' as const,
        id,
        reason: 'draining' as const,
      }));
      queue = [];
      return effects;
    },
    getLoad: () => ({
      running: running.size,
      waiting: queue.length,
      slotFreeMs: averageServiceMs / Math.max(1, slots),
    }),
  };
}
