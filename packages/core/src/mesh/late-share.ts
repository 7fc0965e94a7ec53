/**
 * Measures how much of a target's capacity late calls get. Calls that can meet their objective
 * overtake them, so under a sustained overload late calls hardly ever start, while after a short burst
 * they get all of it.
 */

export interface LateShareOptions {
  /** Weight of the newest start. */
  gain: number;
  /** Assumed share while no starts have been measured. */
  priorShare: number;
  /** Lower bound of the share, so that the expected delay remains finite. */
  minShare: number;
  /** Half-life of the weight of the measurement since the last start, in milliseconds. */
  halfLifeMs: number;
}

export const lateShareDefaults: LateShareOptions = {
  gain: 0.2,
  priorShare: 0.5,
  minShare: 0.02,
  halfLifeMs: 3_000,
};

export interface LateShare {
  /** Records a start while late calls are queued; `isLate` if it is the start of one of them. */
  recordStart(isLate: boolean, now: number): void;
  /** Returns the share of starts that go to late calls while some are queued, above 0 and up to 1. */
  estimate(now: number): number;
}

/**
 * Creates a measurement without starts.
 *
 * @example
 * const lateShare = createLateShare(lateShareDefaults);
 * lateShare.estimate(now); // 0.5
 */
export function createLateShare(options: LateShareOptions): LateShare {
  let share = options.priorShare;
  let measuredAt = Number.NEGATIVE_INFINITY;

  const estimateShare = (now: number): number => {
    const freshness = 0.5 ** ((now - measuredAt) / options.halfLifeMs);
    return share * freshness + options.priorShare * (1 - freshness);
  };

  return {
    recordStart(isLate, now) {
      const current = estimateShare(now);
      share = current + ((isLate ? 1 : 0) - current) * options.gain;
      measuredAt = now;
    },
    estimate: (now) => Math.max(options.minShare, estimateShare(now)),
  };
}
