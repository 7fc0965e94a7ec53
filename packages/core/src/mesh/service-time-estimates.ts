/** Service time estimates of one target by kind of call. */
import * as movingAverage from './moving-average.js';

export interface ServiceTimeOptions {
  /** Weight of the newest sample; the first 1 / `gain` samples form a plain mean. */
  gain: number;
  /** Assumed service time before the first sample, as a share of the time until the objective. */
  priorShare: number;
  /** Initial mean over all kinds, and prior of a call past its objective, in milliseconds. */
  priorMs: number;
  /** Half-life of the weight of an estimate since its last sample, in milliseconds. */
  halfLifeMs: number;
  /** Mean deviations by which a call should start earlier than its objective requires. */
  marginDeviations: number;
}

export const serviceTimeDefaults: ServiceTimeOptions = {
  gain: 0.1,
  priorShare: 0.4,
  priorMs: 100,
  // A slow target is retried after about the time that a new one needs for its slow start.
  halfLifeMs: 3_000,
  marginDeviations: 0.5,
};

export interface ServiceTimes {
  addSample(kind: string, sampleMs: number, now: number): void;
  /** Estimates the service time of a kind; decays to `priorMs` while there are no new samples. */
  estimateMs(kind: string, priorMs: number, now: number): number;
  /** Returns the assumed service time of a call with `objectiveMs` left until its objective. */
  computePriorMs(objectiveMs: number): number;
  getMeanMs(): number;
  /** Returns the monotonic time of the last sample, in milliseconds; undefined before the first. */
  getSampledAt(): number | undefined;
  /** Returns the safety margin for the variation of the service times of a kind, in milliseconds. */
  getMarginMs(kind: string): number;
}

interface MovingMean extends movingAverage.MovingAverage {
  samples: number;
  /** Monotonic time of the last sample, in milliseconds. */
  sampledAt: number;
}

/**
 * Creates estimates without samples. The first samples form a plain mean, so that the estimates of
 * a new target converge after a few calls.
 *
 * @example
 * const serviceTimes = createServiceTimes(serviceTimeDefaults);
 */
export function createServiceTimes(options: ServiceTimeOptions): ServiceTimes {
  const meansByKind = new Map<string, MovingMean>();
  const overallMean: MovingMean = {
    meanMs: options.priorMs,
    deviationMs: 0,
    samples: 0,
    sampledAt: 0,
  };

  const updateMean = (mean: MovingMean, sampleMs: number, now: number): void => {
    mean.sampledAt = now;
    mean.samples += 1;
    movingAverage.addSample(mean, sampleMs, Math.max(options.gain, 1 / mean.samples));
  };

  return {
    addSample(kind, sampleMs, now) {
      const mean = meansByKind.get(kind) ?? {
        meanMs: sampleMs,
        deviationMs: 0,
        samples: 0,
        sampledAt: now,
      };
      updateMean(mean, sampleMs, now);
      meansByKind.set(kind, mean);
      updateMean(overallMean, sampleMs, now);
    },
    estimateMs(kind, priorMs, now) {
      const mean = meansByKind.get(kind);
      if (!mean) return priorMs;
      const freshness = 0.5 ** ((now - mean.sampledAt) / options.halfLifeMs);
      return mean.meanMs * freshness + priorMs * (1 - freshness);
    },
    computePriorMs: (objectiveMs) =>
      objectiveMs > 0 ? objectiveMs * options.priorShare : options.priorMs,
    getMeanMs: () => overallMean.meanMs,
    getSampledAt: () => (overallMean.samples > 0 ? overallMean.sampledAt : undefined),
    getMarginMs: (kind) => (meansByKind.get(kind)?.deviationMs ?? 0) * options.marginDeviations,
  };
}
