/**
 * Expected remaining time of running calls. Service times have heavy tails: a call that has run longer
 * than expected is likely one of the long ones, whose expected remaining time grows with the time run.
 */

export interface RemainingTimeOptions {
  /** Share of the time run and of the expected time below which no remaining time is assumed. */
  minShare: number;
  /** Weight of the samples that one more sample leaves. */
  retention: number;
  /** Weight of samples that a threshold needs; below it, the time over the expectation counts. */
  minSamples: number;
}

export const remainingTimeDefaults: RemainingTimeOptions = {
  minShare: 0.25,
  // About the last 500 calls.
  retention: 0.998,
  minSamples: 5,
};

export interface RemainingTimes {
  addSample(expectedMs: number, actualMs: number): void;
  /** Estimates the remaining time of a call that has run for `ranMs`, in milliseconds. */
  estimateMs(expectedMs: number, ranMs: number): number;
}

/** Multiples of the expected time for which the mean of the calls that took longer is stored. */
const THRESHOLDS = [0, 0.5, 1, 1.5, 2, 3, 4.5, 7];

/**
 * Creates an estimator without samples.
 *
 * @example
 * const remainingTimes = createRemainingTimes(remainingTimeDefaults);
 * remainingTimes.estimateMs(100, 250);
 */
export function createRemainingTimes(options: RemainingTimeOptions): RemainingTimes {
  const weights = THRESHOLDS.map(() => 0);
  const sums = THRESHOLDS.map(() => 0);

  return {
    addSample(expectedMs, actualMs) {
      const ratio = actualMs / Math.max(1, expectedMs);
      THRESHOLDS.forEach((threshold, index) => {
        weights[index] = (weights[index] ?? 0) * options.retention;
        sums[index] = (sums[index] ?? 0) * options.retention;
        if (ratio < threshold) return;
        weights[index] += 1;
        sums[index] += ratio;
      });
    },
    estimateMs(expectedMs, ranMs) {
      const ratio = ranMs / Math.max(1, expectedMs);
      let index = THRESHOLDS.length - 1;
      while (index > 0 && ratio < (THRESHOLDS[index] ?? 0)) index -= 1;
      const weight = weights[index] ?? 0;
      const remainingShare =
        weight < options.minSamples ? Math.abs(1 - ratio) : (sums[index] ?? 0) / weight - ratio;
      return Math.max(remainingShare, options.minShare) * expectedMs;
    },
  };
}
