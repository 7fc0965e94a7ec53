/** Every measurement by its name. */
import * as convergence from './convergence.js';
import * as latency from './latency.js';
import type * as types from './types.js';

export const measurements: Readonly<Record<string, types.Measurement>> = {
  convergence: convergence.convergence,
  'control-bytes': convergence.convergence,
  'added-latency': latency.addedLatency,
};
