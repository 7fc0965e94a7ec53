/** Learns how long calls of each kind take at one target. */

/** Settings of the estimates. */
export interface EstimateOptions {
  /** Weight of the newest sample once there are enough of them. */
  gain: number;
  /** Share of the objective that a call is assumed to take before any was measured. */
  priorShare: number;
  /** Time of any call that is assumed before any was measured, in milliseconds. */
  priorMs: number;
  /** Time without samples in which knowledge of a kind loses half of its weight, in milliseconds. */
  halfLifeMs: number;
}

export const estimateDefaults: EstimateOptions = {
  gain: 0.1,
  priorShare: 0.4,
  priorMs: 100,
  // A target that was found slow is tried again about as often as a new one gets warm.
  halfLifeMs: 3_000,
};

/** Moving means of one target. */
export interface ServiceEstimates {
  note(kind: string, sampleMs: number, now: number): void;
  /** Expected time of a call of a kind; nears `priorMs` while none is measured. */
  expectMs(kind: string, priorMs: number, now: number): number;
  /** Time that a call is assumed to take whose objective is `objectiveMs` away. */
  assumeMs(objectiveMs: number): number;
  /** Expected time of any call. */
  meanMs(): number;
}

interface Mean {
  value: number;
  samples: number;
  /** When it was measured last, monotonic, in milliseconds. */
  at: number;
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
  const all: Mean = { value: options.priorMs, samples: 0, at: 0 };

  const add = (mean: Mean, sampleMs: number, now: number): void => {
    mean.at = now;
    mean.samples += 1;
    mean.value += (sampleMs - mean.value) * Math.max(options.gain, 1 / mean.samples);
  };

  return {
    note(kind, sampleMs, now) {
      const known = kinds.get(kind) ?? { value: 0, samples: 0, at: now };
      add(known, sampleMs, now);
      kinds.set(kind, known);
      add(all, sampleMs, now);
    },
    expectMs(kind, priorMs, now) {
      const known = kinds.get(kind);
      if (!known) return priorMs;
      const weight = 0.5 ** ((now - known.at) / options.halfLifeMs);
      return known.value * weight + priorMs * (1 - weight);
    },
    assumeMs: (objectiveMs) =>
      objectiveMs > 0 ? objectiveMs * options.priorShare : options.priorMs,
    meanMs: () => all.value,
  };
}
