/**
 * Rate limit that a target states in its responses. It holds until a response to a later request
 * states none, because responses may arrive in another order than the target sent them.
 */
export interface StatedRateLimit {
  /** Selects the incarnation whose responses count; the limit of another one ends. */
  setIncarnation(incarnation: string): void;
  /** Records what a response states; returns true if the limit in force has changed. */
  recordResponse(
    response: { incarnation: string; sentAt: number; callsPerSecond: number | undefined },
    now: number,
  ): boolean;
  /** Returns the limit in calls per second; undefined without one. */
  get(): number | undefined;
}

/**
 * Creates a tracker without a limit. Times are monotonic and in milliseconds; `sentAt` is that of the
 * request.
 *
 * @example
 * const rateLimit = createStatedRateLimit();
 * rateLimit.setIncarnation('i-1|1000');
 */
export function createStatedRateLimit(): StatedRateLimit {
  let currentIncarnation: string | undefined;
  let limit: number | undefined;
  let statedAt = 0;

  return {
    setIncarnation(incarnation) {
      if (incarnation === currentIncarnation) return;
      currentIncarnation = incarnation;
      limit = undefined;
    },
    recordResponse({ incarnation, sentAt, callsPerSecond }, now) {
      if (incarnation !== currentIncarnation) return false;
      if (callsPerSecond === undefined && sentAt <= statedAt) return false;
      const hasChanged = callsPerSecond !== limit;
      limit = callsPerSecond;
      if (callsPerSecond !== undefined) statedAt = now;
      return hasChanged;
    },
    get: () => limit,
  };
}
