/** Load balancing: chooses the target of a call among the members that announce its service. */
import type * as clock from '../shared/clock.js';

/** Network locality of a target; nearer targets are preferred. */
export type Locality = 'data-centre' | 'region' | 'remote';

/** A target that announces the service of the call. */
export interface TargetCandidate {
  id: string;
  locality: Locality;
  slots: number;
  /** Number of calls from this process that are in progress at the target. */
  inFlight: number;
  /** Running and queued calls, as last reported by the target's proxy. */
  reportedLoad: number;
  /** Age of the load report, in milliseconds. */
  reportAgeMs: number;
  /** Time since the target was first observed as up, in milliseconds. */
  upForMs: number;
  /** Whether the target's circuit breaker admits a call. */
  mayCall: boolean;
}

export interface TargetChoice {
  id: string;
  reason: 'least-of-two' | 'only-one' | 'spill';
  locality: Locality;
  /** Skipped candidates, each as `id:reason`. */
  passedOver: string[];
}

/** Options of the choice; durations in milliseconds. */
export interface TargetChoiceOptions {
  /** Time over which a new target's share of the load rises to its full value. */
  slowStartMs: number;
  /** Load per slot above which a call may be sent to a more distant data centre. */
  spillLoad: number;
  /** Age at which a load report is ignored; its weight falls linearly until then. */
  reportTtlMs: number;
}

export const targetChoiceDefaults: TargetChoiceOptions = {
  slowStartMs: 10_000,
  spillLoad: 1.2,
  reportTtlMs: 2_000,
};

const MIN_SLOW_START_FACTOR = 0.1;
const localities: readonly Locality[] = ['data-centre', 'region', 'remote'];

/**
 * Computes the load per slot of a candidate, counting the call to be sent. During slow start the
 * slots count only in part, which raises the load.
 *
 * @example
 * computeTargetLoad(candidate, targetChoiceDefaults); // 0.5
 */
export function computeTargetLoad(
  candidate: TargetCandidate,
  options: TargetChoiceOptions,
): number {
  const reportWeight = Math.max(0, 1 - candidate.reportAgeMs / options.reportTtlMs);
  const calls = Math.max(candidate.inFlight, candidate.reportedLoad * reportWeight);
  const slowStartFactor = Math.max(
    MIN_SLOW_START_FACTOR,
    Math.min(1, candidate.upForMs / options.slowStartMs),
  );
  return (calls + 1) / (Math.max(1, candidate.slots) * slowStartFactor);
}

interface LoadedCandidate {
  candidate: TargetCandidate;
  load: number;
}

function chooseLessLoadedOfTwo(
  group: readonly TargetCandidate[],
  options: TargetChoiceOptions,
  random: clock.Random,
): LoadedCandidate | undefined {
  const first = Math.floor(random() * group.length);
  const step = 1 + Math.floor(random() * Math.max(1, group.length - 1));
  const pair = [group[first], group[(first + step) % group.length]];
  return pair
    .filter((candidate): candidate is TargetCandidate => candidate !== undefined)
    .map((candidate) => ({ candidate, load: computeTargetLoad(candidate, options) }))
    .sort((left, right) => left.load - right.load)[0];
}

/**
 * Chooses a target by the power of two choices: the less loaded of two random candidates, within
 * the nearest locality whose pick has a load of at most `spillLoad`. When there is none, the pick
 * of the nearest locality is chosen. Candidates in `excluded` and those whose circuit breaker
 * is open are skipped. Returns undefined when no candidate is left.
 *
 * @example
 * const choice = chooseTarget(candidates, new Set(), targetChoiceDefaults, Math.random);
 */
export function chooseTarget(
  candidates: readonly TargetCandidate[],
  excluded: ReadonlySet<string>,
  options: TargetChoiceOptions,
  random: clock.Random,
): TargetChoice | undefined {
  const available = candidates.filter(({ mayCall, id }) => mayCall && !excluded.has(id));
  const passedOver = candidates
    .filter((candidate) => !available.includes(candidate))
    .map(({ id, mayCall }) => `${id}:${mayCall ? 'tried' : 'circuit-open'}`);
  const picks = localities
    .map((locality) => available.filter((candidate) => candidate.locality === locality))
    .filter((group) => group.length > 0)
    .map((group) => chooseLessLoadedOfTwo(group, options, random))
    .filter((pick): pick is LoadedCandidate => pick !== undefined);
  const nearest = picks[0];
  if (!nearest) return undefined;
  const nearestWithCapacity = picks.find(({ load }) => load <= options.spillLoad);
  const chosen = nearestWithCapacity ?? nearest;
  const isSpill = chosen !== nearest;
  const localReason = available.length === 1 ? 'only-one' : 'least-of-two';
  return {
    id: chosen.candidate.id,
    reason: isSpill ? 'spill' : localReason,
    locality: chosen.candidate.locality,
    passedOver,
  };
}
