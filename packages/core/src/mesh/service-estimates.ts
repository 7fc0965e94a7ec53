/** Learns how long calls of each kind take at one target. */

/** Settings of the estimates. */
export interface EstimateOptions {
  /** Weight of the newest sample once there are enough of them. */
  gain: number;
  /** Share of the objective that a call is assumed to take before any was measured. */
  priorShare: number;
  /** Time of any call that is assumed before any was measured, in milliseconds. */
  priorMs: number;
}

export const estimateDefaults: EstimateOptions = { gain: 0.1, priorShare: 0.4, priorMs: 100 };

/** Moving means of one target. */
export interface ServiceEstimates {
  note(kind: string, sampleMs: number): void;
  /** Expected time of a call of a kind, or `priorMs` while none was measured. */
  expectMs(kind: string, priorMs: number): number;
  /** Time that a call is assumed to take whose objective is `objectiveMs` away. */
  assumeMs(objectiveMs: number): number;
  /** Expected time of any call. */
  meanMs(): number;
}

interface Mean {
  value: number;
  samples: number;
}

/**
 * Creates estimates without samples. The first samples count as in a plain mean, so that a target
 * that has just started is known after a few calls.
 *
 * @example
 * const times = createServiceEstimates(estimateDefaults);
 */
export function createServiceEstimates(options: EstimateOptions): ServiceEstimates {
  const kinds = new Map<string, Mean>();
  const all: Mean = { value: options.priorMs, samples: 0 };

  const add = (mean: Mean, sampleMs: number): void => {
    mean.samples += 1;
    mean.value += (sampleMs - mean.value) * Math.max(options.gain, 1 / mean.samples);
  };

  return {
    note(kind, sampleMs) {
      const known = kinds.get(kind) ?? { value: 0, samples: 0 };
      add(known, sampleMs);
      kinds.set(kind, known);
      add(all, sampleMs);
    },
    expectMs: (kind, priorMs) => kinds.get(kind)?.value ?? priorMs,
    assumeMs: (objectiveMs) =>
      objectiveMs > 0 ? objectiveMs * options.priorShare : options.priorMs,
    meanMs: () => all.value,
  };
}
