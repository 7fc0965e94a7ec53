import type * as types from './types.js';

/** Share of its latency objective that a call must have left to be expected to meet it. */
const MIN_OBJECTIVE_SHARE = 0.5;

/** Monotonic times of one call, in milliseconds. */
export interface CallTimes {
  /** Time after which a response no longer has its full value. */
  objectiveAt: number;
  /** Time after which the call must have been answered. */
  deadlineAt: number;
  /** True if the call is expected to miss its objective from the start. */
  isLate: boolean;
}

/**
 * Computes the times of a call. `firstReceivedAt` is the time of the caller's first call if this one
 * repeats a call that was rejected; the objective counts from it, the time-out of the route does not.
 *
 * @example
 * computeCallTimes({ receivedAt: 0, firstReceivedAt: 0, callerDeadlineAt: 900 }, route).objectiveAt;
 */
export function computeCallTimes(
  call: { receivedAt: number; firstReceivedAt: number; callerDeadlineAt: number },
  route: Pick<types.RoutePolicy, 'timeoutMs' | 'objectiveMs'>,
): CallTimes {
  const { receivedAt, firstReceivedAt, callerDeadlineAt } = call;
  const deadlineAt = Math.min(callerDeadlineAt, receivedAt + route.timeoutMs);
  const objectiveAt = Math.min(deadlineAt, firstReceivedAt + route.objectiveMs);
  const usualMs = Math.min(route.objectiveMs, deadlineAt - receivedAt);
  return {
    objectiveAt,
    deadlineAt,
    isLate: objectiveAt - receivedAt < usualMs * MIN_OBJECTIVE_SHARE,
  };
}
