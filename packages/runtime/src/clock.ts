import * as perfHooks from 'node:perf_hooks';
import type * as core from '@figshed/core';
import * as float64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

export const systemClock: core.Clock = {
  now: () => Date.now(),
  monotonic: () => perfHooks.performance.now(),
};

/**
 * Creates a seeded random source; equal seeds produce equal sequences. Numbers are in [0, 1).
 *
 * @example
 * const random = createSeededRandom(42);
 */
export function createSeededRandom(seed: number): core.Random {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => float64.uniformFloat64(generator);
}
