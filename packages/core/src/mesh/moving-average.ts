/**
 * Exponential moving average of a duration and its mean deviation, in milliseconds, as TCP uses
 * them for its retransmission time-out.
 */
export interface MovingAverage {
  meanMs: number;
  deviationMs: number;
}

/**
 * Adds one sample with the weight `gain`, between 0 and 1.
 *
 * @example
 * addSample(average, 120, 0.125);
 */
export function addSample(average: MovingAverage, sampleMs: number, gain: number): void {
  const absoluteErrorMs = Math.abs(sampleMs - average.meanMs);
  average.deviationMs += (absoluteErrorMs - average.deviationMs) * gain;
  average.meanMs += (sampleMs - average.meanMs) * gain;
}

/**
 * Returns the mean plus a number of mean deviations, in milliseconds.
 *
 * @example
 * computeUpperBoundMs({ meanMs: 100, deviationMs: 20 }, 4); // 180
 */
export function computeUpperBoundMs(
  { meanMs, deviationMs }: MovingAverage,
  deviationFactor: number,
): number {
  return meanMs + deviationMs * deviationFactor;
}
