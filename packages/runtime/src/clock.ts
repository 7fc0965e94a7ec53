/** The clock and random source of a real process. */
import * as perfHooks from 'node:perf_hooks';
import type * as core from '@figshed/core';
import * as float64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** The clock of the machine. */
export const systemClock: core.Clock = {
  now: () => Date.now(),
  monotonic: () => perfHooks.performance.now(),
};

/**
 * Creates a random source that gives the same numbers for the same seed.
 *
 * @example
 * const random = createRandom(42);
 */
export function createRandom(seed: number): core.Random {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => float64.uniformFloat64(generator);
}
