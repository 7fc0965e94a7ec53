/** Measurements that run a scenario and report its figures. */
import * as contracts from '../scenarios/contracts.js';
import type * as scenarioTypes from '../scenarios/types.js';
import type * as types from './types.js';

function isScalar(value: unknown): value is string | number {
  return typeof value === 'string' || typeof value === 'number';
}

function convertToRows(figures: Record<string, unknown>): types.Row[] {
  const nested = Object.entries(figures).filter(([, value]) => !isScalar(value));
  const scalars = Object.entries(figures).filter(([, value]) => isScalar(value));
  const rows = nested.map(([phase, value]) => ({ phase, ...(value as types.Row) }));
  return scalars.length > 0 ? [...rows, Object.fromEntries(scalars) as types.Row] : rows;
}

function createMeasurement(scenario: scenarioTypes.Scenario): types.Measurement {
  return {
    description: scenario.description,
    async run(print) {
      const { figures } = await scenario.run({ seed: 1, random: Math.random, print });
      return { rows: convertToRows(figures), figures };
    },
  };
}

/**
 * Admitted calls compared with the contract's rate and burst: under steady and shifted demand,
 * during a network partition and after a proxy is killed.
 */
export const limits = createMeasurement(contracts.contractLimits);

/** Goodput at five times the capacity, and the share of calls that a modest customer gets served. */
export const overload = createMeasurement(contracts.overload);
