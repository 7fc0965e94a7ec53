/**
 * Admission beside one target: as many calls at once as the target has slots, and a queue bounded
 * by the time that its calls still have. Load pattern: more calls than slots for seconds, calls of
 * several ranks and lengths, some made by calls that already run elsewhere, and targets that take
 * twice as long after a start. A call is taken when it is expected to meet its objective here; else
 * it is refused at once, so that it can be tried elsewhere. One that found no such place may come
 * back as a late call: it waits behind all others, and only while its deadline can be met.
 */
import * as estimates from './service-estimates.js';
import type * as types from './types.js';

/** A call that asks for a slot. */
export interface SlotRequest {
  id: string;
  /** Calls of one kind take about the same time; the name of the route. */
  kind: string;
  /** 0 is the most urgent; calls made by running calls have a negative rank. */
  rank: number;
  /** True when the call may be answered after its objective. */
  mayBeLate: boolean;
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
  estimates: estimates.EstimateOptions;
  /**
   * How much longer a late call waits than what is ahead of it takes, since calls that are not late
   * go on overtaking it; 2 when those take half of the slots.
   */
  lateWaitFactor: number;
  /** Waiting calls per slot at most, a bound on memory. */
  maxWaitingPerSlot: number;
}

export const slotQueueDefaults: SlotQueueOptions = {
  estimates: estimates.estimateDefaults,
  lateWaitFactor: 2,
  maxWaitingPerSlot: 8,
};

/** Calls of one target and how fast it is. */
export type SlotLoad = Pick<
  types.TargetLoad,
  'running' | 'waiting' | 'late' | 'slots' | 'serviceMs'
>;

/** The admission part of one target. */
export interface SlotQueue {
  offer(request: SlotRequest, now: number): SlotEffect[];
  /** Frees the slot of a call; `serviceMs` is undefined when it tells nothing about the target. */
  release(id: string, serviceMs: number | undefined, now: number): SlotEffect[];
  /**
   * Frees the slot of a call that was given up after `ranMs`; tells that the target is slow when
   * that is longer than calls of its kind were expected to take.
   */
  abandon(id: string, ranMs: number, now: number): SlotEffect[];
  /** Takes a waiting call out, because its caller gave up; false when it does not wait. */
  cancel(id: string): boolean;
  setSlots(slots: number, now: number): SlotEffect[];
  /** Refuses everything that waits and returns the ids. */
  drain(): string[];
  /** Refuses what can no longer be served. */
  tick(now: number): SlotEffect[];
  hasWaiting(): boolean;
  load(now: number): SlotLoad;
}

interface Waiting extends SlotRequest {
  since: number;
  /** Time that it is assumed to take while none of its kind was measured, in milliseconds. */
  priorMs: number;
}

/**
 * Creates the admission part of one target.
 *
 * @example
 * const queue = createSlotQueue(18, slotQueueDefaults);
 */
export function createSlotQueue(initialSlots: number, options: SlotQueueOptions): SlotQueue {
  let slots = initialSlots;
  const times = estimates.createServiceEstimates(options.estimates);
  /** Calls that run, by id. */
  const running = new Map<string, Pick<Waiting, 'kind' | 'priorMs'>>();
  let waiting: Waiting[] = [];

  const isTooLate = ({ kind, priorMs, deadlineAt }: Waiting, now: number): boolean =>
    now + times.expectMs(kind, priorMs, now) > deadlineAt;

  const missesObjective = ({ kind, priorMs, objectiveAt }: Waiting, now: number): boolean =>
    now + times.expectMs(kind, priorMs, now) > objectiveAt;

  const compare = (left: Waiting, right: Waiting, now: number): number =>
    Number(missesObjective(left, now)) - Number(missesObjective(right, now)) ||
    left.rank - right.rank ||
    left.objectiveAt - right.objectiveAt;

  const refuse = (id: string, reason: 'full' | 'too-late'): SlotEffect => ({
    type: 'refuse',
    id,
    reason,
    retryAfterMs: (waiting.length + 1) * (times.meanMs() / Math.max(1, slots)),
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
      running.set(next.id, next);
      effects.push({ type: 'run', id: next.id, waitedMs: now - next.since });
    }
    return effects;
  };

  const release = (id: string, sampleMs: number | undefined, now: number): SlotEffect[] => {
    const call = running.get(id);
    if (!call) return [];
    running.delete(id);
    if (sampleMs !== undefined) times.note(call.kind, sampleMs, now);
    return startNext(now);
  };

  return {
    offer(request, now) {
      const priorMs = times.assumeMs(request.objectiveAt - now);
      const entry = { ...request, since: now, priorMs };
      const ahead = waiting.filter((other) => compare(other, entry, now) <= 0).length;
      const rounds = running.size < slots ? 0 : (ahead + 1) / Math.max(1, slots);
      const overtaken = request.mayBeLate ? options.lateWaitFactor : 1;
      const startsAt = now + rounds * times.meanMs() * overtaken;
      if (isTooLate(entry, startsAt)) return [refuse(request.id, 'too-late')];
      if (!request.mayBeLate && rounds > 0 && missesObjective(entry, startsAt)) {
        return [refuse(request.id, 'full')];
      }
      waiting.push(entry);
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
    release,
    abandon(id, ranMs, now) {
      const call = running.get(id);
      if (!call) return [];
      const isSlow = ranMs > times.expectMs(call.kind, call.priorMs, now);
      return release(id, isSlow ? ranMs : undefined, now);
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
    hasWaiting: () => waiting.length > 0,
    load(now) {
      const late = waiting.filter((request) => missesObjective(request, now)).length;
      return {
        running: running.size,
        waiting: waiting.length - late,
        late,
        slots,
        serviceMs: times.meanMs(),
      };
    },
  };
}
