/** A moving mean and its mean deviation, as retransmission time-outs are computed from. */

/** Moving figures of one kind of time, in milliseconds. */
export interface Deviation {
  meanMs: number;
  deviationMs: number;
}

/**
 * Takes one sample into the figures, with the weight `gain`.
 *
 * @example
 * addSample(figures, 120, 0.125);
 */
export function addSample(figures: Deviation, sampleMs: number, gain: number): void {
  const distance = Math.abs(sampleMs - figures.meanMs);
  figures.deviationMs += (distance - figures.deviationMs) * gain;
  figures.meanMs += (sampleMs - figures.meanMs) * gain;
}

/**
 * Computes the bound that lies a number of mean deviations above the mean.
 *
 * @example
 * computeBoundMs({ meanMs: 100, deviationMs: 20 }, 4); // 180
 */
export function computeBoundMs({ meanMs, deviationMs }: Deviation, deviations: number): number {
  return meanMs + deviationMs * deviations;
}
