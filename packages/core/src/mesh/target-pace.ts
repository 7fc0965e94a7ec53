/** Measures how long a target takes for one unit of work, the mean work of a call of its service. */

export interface TargetPaceOptions {
  /** Weight of the newest call; the first 1 / `gain` calls form a plain mean. */
  gain: number;
  /** Assumed time before the first call, in milliseconds. */
  priorMs: number;
}

export const targetPaceDefaults: TargetPaceOptions = { gain: 0.1, priorMs: 100 };

export interface TargetPace {
  addSample(tookMs: number, work: number): void;
  /** Returns the time for one unit of work, in milliseconds. */
  getUnitMs(): number;
}

/** A smaller estimate would let a single wrong one dominate the pace. */
const MIN_WORK = 0.1;

/**
 * Creates a measurement without calls. Since times are compared with the expected work of the same
 * calls, a heavy call is not taken for a slow target.
 *
 * @example
 * const pace = createTargetPace(targetPaceDefaults);
 * pace.addSample(700, 7);
 * pace.getUnitMs(); // 100
 */
export function createTargetPace(options: TargetPaceOptions): TargetPace {
  let samples = 0;
  let meanMs = options.priorMs;
  let meanWork = 1;

  return {
    addSample(tookMs, work) {
      samples += 1;
      const gain = Math.max(options.gain, 1 / samples);
      meanMs += (tookMs - meanMs) * gain;
      meanWork += (Math.max(MIN_WORK, work) - meanWork) * gain;
    },
    getUnitMs: () => meanMs / meanWork,
  };
}
