/** Measurements whose figures a scenario already gives. */
import * as contracts from '../scenarios/contracts.js';
import type * as scenarioTypes from '../scenarios/types.js';
import type * as types from './types.js';

function isPlain(value: unknown): value is string | number {
  return typeof value === 'string' || typeof value === 'number';
}

function toRows(figures: Record<string, unknown>): types.Row[] {
  const nested = Object.entries(figures).filter(([, value]) => !isPlain(value));
  const plain = Object.entries(figures).filter(([, value]) => isPlain(value));
  const rows = nested.map(([phase, value]) => ({ phase, ...(value as types.Row) }));
  return plain.length > 0 ? [...rows, Object.fromEntries(plain) as types.Row] : rows;
}

function createMeasurement(scenario: scenarioTypes.Scenario): types.Measurement {
  return {
    description: scenario.description,
    async run(say) {
      const { figures } = await scenario.run({ seed: 1, random: Math.random, say });
      return { rows: toRows(figures), figures };
    },
  };
}

/** Admitted and used against allowed, steady, shifted, cut and with a proxy killed. */
export const limits = createMeasurement(contracts.contractLimits);

/** Goodput at five times the capacity, and what a modest customer gets. */
export const overload = createMeasurement(contracts.overload);
