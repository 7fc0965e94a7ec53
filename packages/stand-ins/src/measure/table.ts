import * as convergence from './convergence.js';
import * as latency from './latency.js';
import * as orders from './orders.js';
import * as retries from './retries.js';
import * as scenarioFigures from './scenario-figures.js';
import type * as types from './types.js';

export const measurements: Readonly<Record<string, types.Measurement>> = {
  convergence: convergence.convergence,
  'control-bytes': convergence.convergence,
  orders: orders.orders,
  retries: retries.retries,
  limits: scenarioFigures.limits,
  overload: scenarioFigures.overload,
  'added-latency': latency.addedLatency,
};
