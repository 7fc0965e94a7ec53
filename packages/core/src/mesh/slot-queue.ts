/**
 * Admission control for one target: limits concurrency to the target's slots and queues a call
 * only while it can still be answered in time. Designed for overloads of several seconds, calls of
 * different priorities and service times, nested calls, and targets that take twice as long after
 * a start. A call that would be queued and is expected to miss its latency objective is refused at
 * once, so that it can be sent to another host. If no host can meet the objective, the call may be
 * offered again as a late call (`mayBeLate`), which is queued while its deadline can be met. Queued
 * calls that can no longer meet their objective start after all others. Once a call has an account,
 * accounts share the starts of their rank fairly. A target that asks for fewer
 * calls gets them at the rate that it names, which counts as a queueing delay.
 */
import type * as clock from '../shared/clock.js';
import * as fairTurns from './fair-turns.js';
import * as lateShares from './late-share.js';
import * as remainingTime from './remaining-time.js';
import * as serviceTimeEstimates from './service-time-estimates.js';
import * as startRates from './start-rate.js';
import * as targetPace from './target-pace.js';
import type * as types from './types.js';

export interface SlotRequest {
  id: string;
  /** Name of the route; service times are estimated per kind. */
  kind: string;
  /** Expected work, relative to the mean of the service; defaults to 1. */
  work?: number;
  /** Expected work, relative to the mean of its kind; defaults to 1. */
  workWithinKind?: number;
  /** Client account, among which starts are shared; undefined for a call without one. */
  account?: string | undefined;
  /** True if the caller returns after a refusal of this call. */
  wasRejected?: boolean;
  /** Priority; lower is more urgent. Nested calls, made by running calls, have negative ranks. */
  rank: number;
  /**
   * Expected wait of the response for the link, in milliseconds, which both times below allow for;
   * defaults to 0.
   */
  deliveryWaitMs?: number;
  /** True when the call may be answered after its latency objective. */
  mayBeLate: boolean;
  /** Monotonic time of the latency objective, in milliseconds. */
  objectiveAt: number;
  /** Monotonic time of the deadline, after which a response is useless, in milliseconds. */
  deadlineAt: number;
}

/** Result for one call: it starts now, or it is refused. */
export type SlotEffect =
  | { type: 'run'; id: string; waitedMs: number }
  | { type: 'refuse'; id: string; reason: 'full' | 'too-late'; retryAfterMs: number };

export interface SlotQueueOptions {
  serviceTimes: serviceTimeEstimates.ServiceTimeOptions;
  lateShare: lateShares.LateShareOptions;
  /** Minimum remaining time of a running call, as a share of its estimate. */
  minRemainingShare: number;
  /** Maximum number of queued calls per slot; bounds memory. */
  maxWaitingPerSlot: number;
  /**
   * Random part of the time after which a caller with an account may return, as a share of the expected
   * time until the queue has room or of a service time, so that callers do not return together.
   */
  retrySpread: number;
}

export const slotQueueDefaults: SlotQueueOptions = {
  serviceTimes: serviceTimeEstimates.serviceTimeDefaults,
  lateShare: lateShares.lateShareDefaults,
  minRemainingShare: 0.25,
  maxWaitingPerSlot: 8,
  retrySpread: 0.5,
};

export type SlotLoad = Pick<
  types.TargetLoad,
  | 'running'
  | 'waiting'
  | 'late'
  | 'slots'
  | 'serviceMs'
  | 'startDelayMs'
  | 'remainingMs'
  | 'lateRemainingMs'
  | 'unitMs'
>;

/** Concurrency limit and admission queue of one target. */
export interface SlotQueue {
  /** Starts, queues or refuses a call. */
  offer(request: SlotRequest, now: number): SlotEffect[];
  /**
   * Frees the slot of a finished call and records its service time; `serviceMs` is undefined when
   * the call is no valid sample.
   */
  release(id: string, serviceMs: number | undefined, now: number): SlotEffect[];
  /**
   * Frees the slot of a call that was cancelled after `ranMs`. Records `ranMs` as a service time
   * only when it exceeds the estimate for its kind, which shows that the target is slow; a shorter
   * time is no valid sample.
   */
  releaseCancelled(id: string, ranMs: number, now: number): SlotEffect[];
  /** Removes a queued call that its caller has cancelled; false when it is not in the queue. */
  cancel(id: string): boolean;
  /** Changes the concurrency limit and starts the queued calls that then fit. */
  setSlots(slots: number, now: number): SlotEffect[];
  /** Limits the calls that start per second; undefined removes the limit. */
  setRateLimit(perSecond: number | undefined, now: number): SlotEffect[];
  /** Empties the queue and returns the ids of the removed calls. */
  drain(): string[];
  /**
   * Refuses the queued calls that can no longer meet their deadline, and starts those that the rate
   * limit admits by now.
   */
  poll(now: number): SlotEffect[];
  hasWaiting(): boolean;
  /** Returns the time that the target takes for one unit of work, in milliseconds. */
  getUnitMs(): number;
  /** Returns when the last service time was recorded; undefined before the first. */
  getSampledAt(): number | undefined;
  /** Returns the current load; a queued call counts as late when it will miss its objective. */
  getLoad(now: number): SlotLoad;
}

interface QueuedRequest extends SlotRequest, fairTurns.TurnHolder {
  /** Expected service time that its account was charged, in milliseconds. */
  costMs: number;
  enqueuedAt: number;
  /** Assumed service time while there are no recent samples of its kind, in milliseconds. */
  priorMs: number;
}

interface RunningRequest extends QueuedRequest {
  startedAt: number;
  /** Expected service time when it started, in milliseconds. */
  expectedMs: number;
}

/**
 * Creates an empty queue for one target. `random` spreads the times at which callers return.
 *
 * @example
 * const queue = createSlotQueue(18, slotQueueDefaults, Math.random);
 */
export function createSlotQueue(
  initialSlots: number,
  options: SlotQueueOptions,
  random: clock.Random = () => 0,
): SlotQueue {
  let slots = initialSlots;
  const serviceTimes = serviceTimeEstimates.createServiceTimes(options.serviceTimes);
  const remainingTimes = remainingTime.createRemainingTimes(remainingTime.remainingTimeDefaults);
  const pace = targetPace.createTargetPace(targetPace.targetPaceDefaults);
  const startRate = startRates.createStartRate(startRates.startRateDefaults);
  const lateShare = lateShares.createLateShare(options.lateShare);
  const running = new Map<string, RunningRequest>();
  let waiting: QueuedRequest[] = [];
  const turns = fairTurns.createFairTurns();
  /** True once a call had an account; before, calls of one rank start by their objectives alone. */
  let hasAccounts = false;

  const estimateKindMs = ({ kind, priorMs }: QueuedRequest, now: number): number =>
    serviceTimes.estimateMs(kind, priorMs, now);

  const estimateMs = (request: QueuedRequest, now: number): number =>
    estimateKindMs(request, now) * (request.workWithinKind ?? 1);

  const isDeadlineMissed = (request: QueuedRequest, startAt: number, now: number): boolean =>
    startAt + estimateMs(request, now) > request.deadlineAt;

  /**
   * With a free slot, only the mean of its kind can refuse a call: an estimate of its work that is too
   * high is corrected by the calls that run.
   */
  const isExpectedTooLate = (request: QueuedRequest, waitMs: number, now: number): boolean =>
    waitMs > 0
      ? isDeadlineMissed(request, now + waitMs, now)
      : now + estimateKindMs(request, now) > request.deadlineAt;

  const isObjectiveMissed = (request: QueuedRequest, startAt: number, now: number): boolean =>
    startAt + estimateMs(request, now) + serviceTimes.getMarginMs(request.kind) >
    request.objectiveAt;

  /** A nested call is never late: while it waits, its parent call occupies a slot. */
  const isLate = (request: QueuedRequest, now: number): boolean =>
    request.rank >= 0 && isObjectiveMissed(request, now, now);

  const compareUrgency = (left: QueuedRequest, right: QueuedRequest, now: number): number =>
    Number(isLate(left, now)) - Number(isLate(right, now)) ||
    left.rank - right.rank ||
    left.turn - right.turn ||
    left.objectiveAt - right.objectiveAt;

  /**
   * Estimates the time until the next running call ends, from the sum of the rates at which they end;
   * 0 while a slot is free. A call that exceeds its estimate shows that the target is slow.
   */
  const estimateNextEndMs = (now: number): number => {
    if (running.size < slots) return 0;
    const endsPerMs = [...running.values()].reduce((sum, call) => {
      const estimatedMs = Math.max(1, estimateMs(call, now));
      const ranMs = now - call.startedAt;
      const minRemainingMs = estimatedMs * options.minRemainingShare;
      return sum + 1 / Math.max(estimatedMs - ranMs, ranMs - estimatedMs, minRemainingMs);
    }, 0);
    return endsPerMs === 0 ? 0 : 1 / endsPerMs;
  };

  const estimateQueuedMs = (requests: readonly QueuedRequest[], now: number): number =>
    requests.reduce((sum, request) => sum + estimateMs(request, now), 0) / Math.max(1, slots);

  /** Estimates the queueing delay of a call that starts after `ahead`, in milliseconds. */
  const estimateWaitMs = (
    ahead: readonly QueuedRequest[],
    isOvertaken: boolean,
    now: number,
  ): number => {
    const slotWaitMs = estimateNextEndMs(now) + estimateQueuedMs(ahead, now);
    return Math.max(
      isOvertaken ? slotWaitMs / lateShare.estimate(now) : slotWaitMs,
      startRate.computeDelayMs(ahead.length + 1, now),
    );
  };

  const computeRetryAfterMs = ({ deliveryWaitMs = 0 }: SlotRequest, now: number): number => {
    const roomMs = Math.max(
      estimateNextEndMs(now) + estimateQueuedMs(waiting, now),
      startRate.computeDelayMs(waiting.length + 1, now),
      deliveryWaitMs,
    );
    if (!hasAccounts) return roomMs;
    return roomMs + random() * options.retrySpread * Math.max(roomMs, serviceTimes.getMeanMs());
  };

  const refuse = (request: QueuedRequest, reason: 'full' | 'too-late', now: number): SlotEffect => {
    if (hasAccounts) turns.remove(request, waiting, request.costMs);
    return {
      type: 'refuse',
      id: request.id,
      reason,
      retryAfterMs: computeRetryAfterMs(request, now),
    };
  };

  /** Refuses the calls that are expected to start too late, given those ahead of them. */
  const refuseExpired = (now: number): SlotEffect[] => {
    const ordered = [...waiting].sort((left, right) => compareUrgency(left, right, now));
    const kept: QueuedRequest[] = [];
    const expired = ordered.filter((request) => {
      const waitMs = running.size < slots ? 0 : estimateWaitMs(kept, isLate(request, now), now);
      const isExpired = isExpectedTooLate(request, waitMs, now);
      if (!isExpired) kept.push(request);
      return isExpired;
    });
    if (expired.length === 0) return [];
    waiting = waiting.filter((request) => !expired.includes(request));
    return expired.map((request) => refuse(request, 'too-late', now));
  };

  const startNext = (now: number): SlotEffect[] => {
    const effects = refuseExpired(now);
    while (running.size < slots && waiting.length > 0 && startRate.tryStart(now)) {
      const next = waiting.reduce((best, other) =>
        compareUrgency(other, best, now) < 0 ? other : best,
      );
      if (waiting.some((request) => isLate(request, now)))
        lateShare.recordStart(isLate(next, now), now);
      waiting = waiting.filter((request) => request !== next);
      if (hasAccounts) turns.recordStart(next);
      running.set(next.id, { ...next, startedAt: now, expectedMs: estimateMs(next, now) });
      effects.push({ type: 'run', id: next.id, waitedMs: now - next.enqueuedAt });
    }
    if (hasAccounts && waiting.length === 0) turns.clear();
    return effects;
  };

  const release = (id: string, sampleMs: number | undefined, now: number): SlotEffect[] => {
    const call = running.get(id);
    if (!call) return [];
    running.delete(id);
    if (sampleMs !== undefined) {
      serviceTimes.addSample(call.kind, sampleMs, now);
      pace.addSample(sampleMs, call.work ?? 1);
      remainingTimes.addSample(call.expectedMs, sampleMs);
    }
    return startNext(now);
  };

  return {
    offer(request, now) {
      const priorMs = serviceTimes.computePriorMs(request.objectiveAt - now);
      const queued: QueuedRequest = { ...request, enqueuedAt: now, priorMs, turn: 0, costMs: 0 };
      hasAccounts ||= request.account !== undefined;
      if (hasAccounts) {
        queued.costMs = estimateMs(queued, now);
        turns.add(queued, waiting, queued.costMs);
      }
      const ahead = waiting.filter((other) => compareUrgency(other, queued, now) <= 0);
      const waitMs = estimateWaitMs(ahead, request.mayBeLate, now);
      if (isExpectedTooLate(queued, waitMs, now)) return [refuse(queued, 'too-late', now)];
      const mayWaitLessElsewhere = waitMs > 0 || (request.deliveryWaitMs ?? 0) > 0;
      if (
        !request.mayBeLate &&
        mayWaitLessElsewhere &&
        isObjectiveMissed(queued, now + waitMs, now)
      ) {
        return [refuse(queued, 'full', now)];
      }
      waiting.push(queued);
      const effects = startNext(now);
      if (waiting.length > slots * options.maxWaitingPerSlot) {
        const leastUrgent = waiting.reduce((currentLast, other) =>
          compareUrgency(other, currentLast, now) > 0 ? other : currentLast,
        );
        waiting = waiting.filter((other) => other !== leastUrgent);
        effects.push(refuse(leastUrgent, 'full', now));
      }
      return effects;
    },
    release,
    releaseCancelled(id, ranMs, now) {
      const call = running.get(id);
      if (!call) return [];
      const isSlow = ranMs > estimateMs(call, now);
      return release(id, isSlow ? ranMs : undefined, now);
    },
    cancel(id) {
      const cancelled = waiting.find((request) => request.id === id);
      if (!cancelled) return false;
      waiting = waiting.filter((request) => request !== cancelled);
      if (hasAccounts) turns.remove(cancelled, waiting, cancelled.costMs);
      return true;
    },
    setSlots(next, now) {
      slots = next;
      return startNext(now);
    },
    setRateLimit(perSecond, now) {
      startRate.setLimit(perSecond, now);
      return startNext(now);
    },
    drain() {
      const ids = waiting.map(({ id }) => id);
      waiting = [];
      turns.clear();
      return ids;
    },
    poll: startNext,
    hasWaiting: () => waiting.length > 0,
    getUnitMs: pace.getUnitMs,
    getSampledAt: serviceTimes.getSampledAt,
    getLoad(now) {
      let late = 0;
      let lateRemainingMs = 0;
      let remainingMs = 0;
      waiting.forEach((request) => {
        const requestMs = estimateMs(request, now);
        if (isLate(request, now)) {
          late += 1;
          lateRemainingMs += requestMs;
        } else remainingMs += requestMs;
      });
      running.forEach(({ expectedMs, startedAt }) => {
        remainingMs += remainingTimes.estimateMs(expectedMs, now - startedAt);
      });
      return {
        running: running.size,
        waiting: waiting.length - late,
        late,
        slots,
        serviceMs: serviceTimes.getMeanMs(),
        startDelayMs: startRate.computeDelayMs(waiting.length + 1, now),
        remainingMs: Math.round(remainingMs),
        lateRemainingMs: Math.round(lateRemainingMs),
        unitMs: pace.getUnitMs(),
      };
    },
  };
}
