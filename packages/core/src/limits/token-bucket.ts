/** One token bucket, whose rate and capacity may change while it is in use. */
export interface TokenBucket {
  /**
   * Changes the rate, in tokens per second, and the capacity; tokens above the new capacity are
   * discarded.
   */
  setLimits(ratePerSecond: number, burst: number, now: number): void;
  /** Takes up to `count` whole tokens and returns how many it took. */
  takeUpTo(count: number, now: number): number;
  /** Computes the time until `count` tokens have come in, beyond the capacity too, in milliseconds. */
  computeDelayMs(count: number, now: number): number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a bucket that holds `initial` tokens. It is empty by default, so that a process cannot
 * admit another burst by restarting. Times are monotonic and in milliseconds.
 *
 * @example
 * const bucket = createTokenBucket(10, 5, clock.monotonic());
 */
export function createTokenBucket(
  ratePerSecond: number,
  burst: number,
  now: number,
  initial = 0,
): TokenBucket {
  let rate = ratePerSecond;
  let capacity = burst;
  let tokens = initial;
  let refilledAt = now;

  const refill = (at: number): void => {
    tokens = Math.min(capacity, tokens + (Math.max(0, at - refilledAt) * rate) / MS_PER_SECOND);
    refilledAt = Math.max(refilledAt, at);
  };

  return {
    setLimits(nextRate, nextBurst, at) {
      // The rate may have changed at any time since the last refill, so the lower rate applies to
      // that period.
      rate = Math.min(rate, nextRate);
      refill(at);
      rate = nextRate;
      capacity = nextBurst;
      tokens = Math.min(tokens, capacity);
    },
    takeUpTo(count, at) {
      refill(at);
      const taken = Math.min(Math.max(0, Math.floor(count)), Math.floor(tokens));
      tokens -= taken;
      return taken;
    },
    computeDelayMs(count, at) {
      refill(at);
      return (Math.max(0, count - tokens) / rate) * MS_PER_SECOND;
    },
  };
}
