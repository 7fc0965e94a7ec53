/**
 * Admission beside one target: as many calls at once as the target has slots, and a queue bounded
 * by the time that its calls still have. Load pattern: more calls than slots for seconds, calls of
 * several ranks, some of them made by calls that already run elsewhere. The urgent go first, and
 * those that can still meet their objective go before those that cannot; whatever cannot end
 * before its deadline is refused as soon as that is known.
 */

/** A call that asks for a slot. */
export interface SlotRequest {
  id: string;
  /** 0 is the most urgent; calls made by running calls have a negative rank. */
  rank: number;
  /** Monotonic time until which an answer has its full value, in milliseconds. */
  objectiveAt: number;
  /** Monotonic time after which an answer is useless, in milliseconds. */
  deadlineAt: number;
}

export type SlotEffect =
  | { type: 'run'; id: string; waitedMs: number }
  | { type: 'refuse'; id: string; reason: 'full' | 'too-late'; retryAfterMs: number };

/** Settings of a slot queue. */
export interface SlotQueueOptions {
  /** Mean time of a call that is assumed before any was measured, in milliseconds. */
  initialServiceMs: number;
  /** Weight of the newest sample in the moving means. */
  gain: number;
  /** Share of the mean time that must be left at least for a call to be worth starting. */
  minServiceShare: number;
  /** Waiting calls per slot at most, a bound on memory. */
  maxWaitingPerSlot: number;
}

export const slotQueueDefaults: SlotQueueOptions = {
  initialServiceMs: 100,
  gain: 0.1,
  minServiceShare: 0.5,
  maxWaitingPerSlot: 8,
};

/** The admission part of one target. */
export interface SlotQueue {
  offer(request: SlotRequest, now: number): SlotEffect[];
  /** Frees the slot of a call; `serviceMs` is undefined when it tells nothing about the target. */
  release(id: string, serviceMs: number | undefined, now: number): SlotEffect[];
  /** Takes a waiting call out, because its caller gave up; false when it does not wait. */
  cancel(id: string): boolean;
  setSlots(slots: number, now: number): SlotEffect[];
  /** Refuses everything that waits and returns the ids. */
  drain(): string[];
  /** Refuses what can no longer be served. */
  tick(now: number): SlotEffect[];
  load(): { running: number; waiting: number; slots: number; serviceMs: number };
}

interface Waiting extends SlotRequest {
  since: number;
}

/**
 * Creates the admission part of one target.
 *
 * @example
 * const queue = createSlotQueue(18, slotQueueDefaults);
 */
export function createSlotQueue(initialSlots: number, options: SlotQueueOptions): SlotQueue {
  let slots = initialSlots;
  let serviceMs = options.initialServiceMs;
  const running = new Set<string>();
  let waiting: Waiting[] = [];

  const isTooLate = (request: SlotRequest, now: number): boolean =>
    now + serviceMs * options.minServiceShare > request.deadlineAt;

  const missesObjective = (request: SlotRequest, now: number): boolean =>
    now + serviceMs * options.minServiceShare > request.objectiveAt;

  const compare = (left: Waiting, right: Waiting, now: number): number =>
    Number(missesObjective(left, now)) - Number(missesObjective(right, now)) ||
    left.rank - right.rank ||
    left.objectiveAt - right.objectiveAt;

  const refuse = (id: string, reason: 'full' | 'too-late'): SlotEffect => ({
    type: 'refuse',
    id,
    reason,
    retryAfterMs: (waiting.length + 1) * (serviceMs / Math.max(1, slots)),
  });

  const removeLate = (now: number): SlotEffect[] => {
    const late = waiting.filter((request) => isTooLate(request, now));
    if (late.length === 0) return [];
    waiting = waiting.filter((request) => !late.includes(request));
    return late.map(({ id }) => refuse(id, 'too-late'));
  };

  const startNext = (now: number): SlotEffect[] => {
    const effects = removeLate(now);
    while (running.size < slots && waiting.length > 0) {
      const next = waiting.reduce((best, other) => (compare(other, best, now) < 0 ? other : best));
      waiting = waiting.filter((request) => request !== next);
      running.add(next.id);
      effects.push({ type: 'run', id: next.id, waitedMs: now - next.since });
    }
    return effects;
  };

  return {
    offer(request, now) {
      const ahead = waiting.filter(
        (other) => compare(other, { ...request, since: now }, now) <= 0,
      ).length;
      const rounds = running.size < slots ? 0 : (ahead + 1) / Math.max(1, slots);
      const startsAt = now + rounds * serviceMs;
      if (isTooLate(request, startsAt)) return [refuse(request.id, 'too-late')];
      waiting.push({ ...request, since: now });
      const effects = startNext(now);
      if (waiting.length > slots * options.maxWaitingPerSlot) {
        const last = waiting.reduce((worst, other) =>
          compare(other, worst, now) > 0 ? other : worst,
        );
        waiting = waiting.filter((other) => other !== last);
        effects.push(refuse(last.id, 'full'));
      }
      return effects;
    },
    release(id, sampleMs, now) {
      if (!running.delete(id)) return [];
      if (sampleMs !== undefined) serviceMs += (sampleMs - serviceMs) * options.gain;
      return startNext(now);
    },
    cancel(id) {
      const before = waiting.length;
      waiting = waiting.filter((request) => request.id !== id);
      return waiting.length < before;
    },
    setSlots(next, now) {
      slots = next;
      return startNext(now);
    },
    drain() {
      const ids = waiting.map(({ id }) => id);
      waiting = [];
      return ids;
    },
    tick: removeLate,
    load: () => ({ running: running.size, waiting: waiting.length, slots, serviceMs }),
  };
}
