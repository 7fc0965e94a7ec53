/** Chooses the target of a call among the members that announce the service. */
import type * as clock from '../shared/clock.js';

/** How near a target is; nearer ones are preferred. */
export type Distance = 'data-centre' | 'region' | 'remote';

/** A target that could run the call. */
export interface Candidate {
  id: string;
  distance: Distance;
  slots: number;
  /** Calls that this process has open to the target. */
  inFlight: number;
  /** Calls in slots and in the queue, as the target's proxy last reported. */
  reportedLoad: number;
  /** Age of the report, in milliseconds. */
  reportAgeMs: number;
  /** Time since the target was first seen up, in milliseconds. */
  upForMs: number;
  mayCall: boolean;
}

/** The chosen target, why, and what was passed over. */
export interface Choice {
  id: string;
  reason: 'least-of-two' | 'only-one' | 'spill';
  distance: Distance;
  passedOver: string[];
}

/** Settings of the choice; durations in milliseconds. */
export interface ChoiceOptions {
  slowStartMs: number;
  /** Load per slot from which a call may leave for a farther data centre. */
  spillLoad: number;
  /** Age after which a load report counts for nothing. */
  reportTtlMs: number;
}

export const choiceDefaults: ChoiceOptions = {
  slowStartMs: 10_000,
  spillLoad: 1.2,
  reportTtlMs: 2_000,
};

const MIN_SLOW_START_SHARE = 0.1;
const distances: readonly Distance[] = ['data-centre', 'region', 'remote'];

/**
 * Computes the load per slot of a candidate, higher while its target is cold.
 *
 * @example
 * computeLoad(candidate, choiceDefaults); // 0.5
 */
export function computeLoad(candidate: Candidate, options: ChoiceOptions): number {
  const freshness = Math.max(0, 1 - candidate.reportAgeMs / options.reportTtlMs);
  const open = Math.max(candidate.inFlight, candidate.reportedLoad * freshness);
  const warmth = Math.max(
    MIN_SLOW_START_SHARE,
    Math.min(1, candidate.upForMs / options.slowStartMs),
  );
  return (open + 1) / (Math.max(1, candidate.slots) * warmth);
}

interface Pick {
  candidate: Candidate;
  load: number;
}

function chooseOfTwo(
  pool: readonly Candidate[],
  options: ChoiceOptions,
  random: clock.Random,
): Pick | undefined {
  const first = Math.floor(random() * pool.length);
  const shift = 1 + Math.floor(random() * Math.max(1, pool.length - 1));
  const pair = [pool[first], pool[(first + shift) % pool.length]];
  return pair
    .filter((candidate): candidate is Candidate => candidate !== undefined)
    .map((candidate) => ({ candidate, load: computeLoad(candidate, options) }))
    .sort((left, right) => left.load - right.load)[0];
}

/**
 * Chooses by the power of two choices within the nearest distance that has room, and by least
 * load when none has room. Candidates in `excluded` were tried before and come last.
 *
 * @example
 * const choice = chooseTarget(candidates, new Set(), choiceDefaults, Math.random);
 */
export function chooseTarget(
  candidates: readonly Candidate[],
  excluded: ReadonlySet<string>,
  options: ChoiceOptions,
  random: clock.Random,
): Choice | undefined {
  const open = candidates.filter(({ mayCall, id }) => mayCall && !excluded.has(id));
  const passedOver = candidates
    .filter((candidate) => !open.includes(candidate))
    .map(({ id, mayCall }) => `${id}:${mayCall ? 'tried' : 'circuit-open'}`);
  const picks = distances
    .map((distance) => open.filter((candidate) => candidate.distance === distance))
    .filter((pool) => pool.length > 0)
    .map((pool) => chooseOfTwo(pool, options, random))
    .filter((pick): pick is Pick => pick !== undefined);
  const nearest = picks[0];
  if (!nearest) return undefined;
  const roomy = picks.find(({ load }) => load <= options.spillLoad);
  const best = roomy ?? nearest;
  const spilled = best !== nearest;
  const onlyOne = open.length === 1 ? 'only-one' : 'least-of-two';
  return {
    id: best.candidate.id,
    reason: spilled ? 'spill' : onlyOne,
    distance: best.candidate.distance,
    passedOver,
  };
}
