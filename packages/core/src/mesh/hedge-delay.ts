/**
 * Computes the delay after which a call is overdue and may be hedged, from the mean response time
 * of its kind and the mean deviation. A hedged request is worthwhile when a single target becomes
 * slow, stops responding or loses responses while most others are healthy; it is not worthwhile
 * for the latency tail of a healthy target.
 */
import * as movingAverage from './moving-average.js';

export interface HedgeDelayOptions {
  /** Weight of the newest sample; the first 1 / `gain` samples form a plain mean. */
  gain: number;
  /** Minimum number of samples before a call may be hedged. */
  minSamples: number;
  /** The delay is at least the mean plus this many mean deviations. */
  deviationFactor: number;
  /** The delay is at least this multiple of the mean. */
  minMeanFactor: number;
}

export const hedgeDelayDefaults: HedgeDelayOptions = {
  gain: 0.05,
  minSamples: 20,
  // Hedges about 3% of the calls to a long-tailed target, well within the retry budget.
  deviationFactor: 4,
  minMeanFactor: 2,
};

/** Estimates hedge delays from the response times that one process has measured. */
export interface HedgeDelayEstimator {
  addSample(kind: string, tookMs: number): void;
  /** Returns the hedge delay of a kind; undefined while there are too few samples. */
  computeHedgeDelayMs(kind: string): number | undefined;
  /** Returns the mean response time of a kind; undefined while there are too few samples. */
  getMeanMs(kind: string): number | undefined;
}

interface ResponseTimeStats extends movingAverage.MovingAverage {
  samples: number;
}

/**
 * Creates an estimator without samples.
 *
 * @example
 * const hedgeDelays = createHedgeDelayEstimator(hedgeDelayDefaults);
 * hedgeDelays.addSample('read', 120);
 */
export function createHedgeDelayEstimator(options: HedgeDelayOptions): HedgeDelayEstimator {
  const statsByKind = new Map<string, ResponseTimeStats>();

  const getReliableStats = (kind: string): ResponseTimeStats | undefined => {
    const stats = statsByKind.get(kind);
    return stats && stats.samples >= options.minSamples ? stats : undefined;
  };

  return {
    addSample(kind, tookMs) {
      const stats = statsByKind.get(kind) ?? { samples: 0, meanMs: tookMs, deviationMs: 0 };
      stats.samples += 1;
      const gain = Math.max(options.gain, 1 / stats.samples);
      movingAverage.addSample(stats, tookMs, gain);
      statsByKind.set(kind, stats);
    },
    computeHedgeDelayMs(kind) {
      const stats = getReliableStats(kind);
      if (!stats) return undefined;
      const upperBoundMs = movingAverage.computeUpperBoundMs(stats, options.deviationFactor);
      return Math.max(stats.meanMs * options.minMeanFactor, upperBoundMs);
    },
    getMeanMs: (kind) => getReliableStats(kind)?.meanMs,
  };
}
