/** A token bucket whose rate and size may change while it is in use. */

/** One bucket. */
export interface TokenBucket {
  /** Changes the rate, in tokens per second, and the size; what is saved up is cut to the size. */
  setTerms(ratePerSecond: number, burst: number, now: number): void;
  /** Takes whole tokens, up to `count`, and returns how many there were. */
  takeUpTo(count: number, now: number): number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a bucket that holds `initial` tokens. It is empty unless that is given, so that a restart
 * grants nothing anew.
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
  let size = burst;
  let tokens = initial;
  let filledAt = now;

  const fill = (at: number): void => {
    tokens = Math.min(size, tokens + (Math.max(0, at - filledAt) * rate) / MS_PER_SECOND);
    filledAt = Math.max(filledAt, at);
  };

  return {
    setTerms(nextRate, nextBurst, at) {
      // The moment of the change is not known, so the lower rate counts for the time before.
      rate = Math.min(rate, nextRate);
      fill(at);
      rate = nextRate;
      size = nextBurst;
      tokens = Math.min(tokens, size);
    },
    takeUpTo(count, at) {
      fill(at);
      const taken = Math.min(Math.max(0, Math.floor(count)), Math.floor(tokens));
      tokens -= taken;
      return taken;
    },
  };
}
