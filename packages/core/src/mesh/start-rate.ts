import * as tokenBucket from '../limits/token-bucket.js';

export interface StartRateOptions {
  /**
   * Time for which unused starts accumulate, in milliseconds; short, so that any few seconds see
   * little more than the limit.
   */
  burstMs: number;
  /** Lowest rate, in starts per second; one in four seconds, to notice the end of a limit of zero. */
  minPerSecond: number;
}

export const startRateDefaults: StartRateOptions = { burstMs: 500, minPerSecond: 0.25 };

/** Limits the rate at which calls start at a target that has asked for it. */
export interface StartRate {
  /** Sets the limit in calls per second; undefined removes it. */
  setLimit(perSecond: number | undefined, now: number): void;
  /** Admits one start; false if the limit is reached. */
  tryStart(now: number): boolean;
  /** Computes the time until `count` more starts will have been admitted, in milliseconds. */
  computeDelayMs(count: number, now: number): number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a rate without a limit.
 *
 * @example
 * const startRate = createStartRate(startRateDefaults);
 * startRate.setLimit(12.5, now);
 */
export function createStartRate(options: StartRateOptions): StartRate {
  let bucket: tokenBucket.TokenBucket | undefined;

  return {
    setLimit(perSecond, now) {
      if (perSecond === undefined) {
        bucket = undefined;
        return;
      }
      const rate = Math.max(options.minPerSecond, perSecond);
      const burst = Math.max(1, (rate * options.burstMs) / MS_PER_SECOND);
      if (bucket) bucket.setLimits(rate, burst, now);
      else bucket = tokenBucket.createTokenBucket(rate, burst, now);
    },
    tryStart: (now) => !bucket || bucket.takeUpTo(1, now) === 1,
    computeDelayMs: (count, now) => bucket?.computeDelayMs(count, now) ?? 0,
  };
}
