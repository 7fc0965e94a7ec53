/**
 * Recognises callers that come back after their call was rejected. A second call has an id of its own,
 * but the absolute deadline of the first one. Its latency objective counts from the first call, so under
 * an overload it is ahead of newcomers while it can still meet that objective, and does not delay them
 * once it cannot.
 */

export interface RejectedCallsOptions {
  /** Maximum difference between the deadlines of the two calls, in milliseconds. */
  toleranceMs: number;
  /** Maximum number of calls that are stored; the oldest are dropped, and those whose time is up. */
  maxCalls: number;
}

export const rejectedCallsDefaults: RejectedCallsOptions = { toleranceMs: 30, maxCalls: 2_000 };

export interface RejectedCall {
  /** Identifies what was called, such as the route and the path. */
  key: string;
  /** Monotonic time at which the caller's first call was received, in milliseconds. */
  firstReceivedAt: number;
  /** Monotonic deadline of the caller, in milliseconds. */
  deadlineAt: number;
}

export interface RejectedCalls {
  record(call: RejectedCall, now: number): void;
  /** Removes a rejected call with this key and about this deadline, and returns it. */
  take(key: string, deadlineAt: number): RejectedCall | undefined;
}

/**
 * Creates an empty memory of rejected calls.
 *
 * @example
 * const rejectedCalls = createRejectedCalls(rejectedCallsDefaults);
 * rejectedCalls.record({ key: 'read /a', firstReceivedAt: 0, deadlineAt: 1_200 }, 0);
 * rejectedCalls.take('read /a', 1_204)?.firstReceivedAt; // 0
 */
export function createRejectedCalls(options: RejectedCallsOptions): RejectedCalls {
  const calls = new Set<RejectedCall>();
  const callsByKey = new Map<string, Set<RejectedCall>>();

  const remove = (call: RejectedCall): void => {
    calls.delete(call);
    const sameKey = callsByKey.get(call.key);
    sameKey?.delete(call);
    if (sameKey?.size === 0) callsByKey.delete(call.key);
  };

  return {
    record(call, now) {
      [...calls].filter(({ deadlineAt }) => deadlineAt < now).forEach(remove);
      calls.add(call);
      const sameKey = callsByKey.get(call.key) ?? new Set();
      callsByKey.set(call.key, sameKey.add(call));
      const [oldest] = calls;
      if (oldest && calls.size > options.maxCalls) remove(oldest);
    },
    take(key, deadlineAt) {
      const match = [...(callsByKey.get(key) ?? [])].find(
        (call) => Math.abs(call.deadlineAt - deadlineAt) <= options.toleranceMs,
      );
      if (match) remove(match);
      return match;
    },
  };
}
