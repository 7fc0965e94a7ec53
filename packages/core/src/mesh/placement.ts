/**
 * Chooses where a call runs by its expected completion: distance, what runs and waits at each
 * target, how fast the target has been and how often it failed. Load pattern: targets of unequal
 * speed, some of them slow or failing for a while, and newcomers that nothing is known of.
 */
import type * as clock from '../shared/clock.js';
import * as constants from './constants.js';
import type * as types from './types.js';

/** How far a target's host is from here. */
export type Reach = 'own-host' | 'data-centre' | 'region' | 'remote';

/** A target that may be called. */
export interface PlacementCandidate {
  hostId: string;
  reach: Reach;
  slots: number;
  /** Calls of this process that are open there. */
  openCalls: number;
  load: types.TargetLoad | undefined;
  loadAgeMs: number;
  /** True while the target has just started. */
  isCold: boolean;
}

/** Settings of the choice. */
export interface PlacementOptions {
  /**
   * What each reach costs a call, in milliseconds: its round trip, and for links between data
   * centres and regions the delay that their use is worth.
   */
  reachCostMs: Record<Reach, number>;
  /** The same for each kilobyte of the answer; large answers stay where they are made. */
  kilobyteCostMs: Record<Reach, number>;
  /** Time in which knowledge of a target loses half of its weight, in milliseconds. */
  loadHalfLifeMs: number;
  /** Time of a call that is assumed before any was measured, in milliseconds. */
  initialServiceMs: number;
  /** How much longer a call takes at a target that has just started. */
  coldFactor: number;
  /** Time that a failure costs the caller, in milliseconds. */
  failureCostMs: number;
  /** Share of choices in which a target that nothing is known of is tried first. */
  explorationShare: number;
  /** Estimates vary at random by this share, so that processes do not all choose the same. */
  noise: number;
}

export const placementDefaults: PlacementOptions = {
  reachCostMs: { 'own-host': 0, 'data-centre': 2, region: 20, remote: 110 },
  kilobyteCostMs: { 'own-host': 0, 'data-centre': 0, region: 2, remote: 6 },
  loadHalfLifeMs: 1_500,
  initialServiceMs: 100,
  coldFactor: 2,
  failureCostMs: 1_500,
  explorationShare: 0.3,
  noise: 0.2,
};

const unknownLoad: types.TargetLoad = {
  running: 0,
  waiting: 0,
  late: 0,
  slots: 0,
  serviceMs: 0,
  failureShare: 0,
  backlogMs: 0,
  kilobyteMs: 0,
};

/** The choice and what it was based on. */
export interface Placement {
  hostId: string;
  expectedMs: number;
}

/**
 * Computes the time until an answer of a candidate is expected, in milliseconds.
 *
 * @example
 * const call = { meanServiceMs: 120, answerKilobytes: 5, mayBeLate: false };
 * computeExpectedMs(candidate, call, placementDefaults);
 */
export function computeExpectedMs(
  candidate: PlacementCandidate,
  call: { meanServiceMs: number; answerKilobytes: number; mayBeLate: boolean },
  options: PlacementOptions,
): number {
  const { meanServiceMs, answerKilobytes, mayBeLate } = call;
  const weight = candidate.load ? 0.5 ** (candidate.loadAgeMs / options.loadHalfLifeMs) : 0;
  const known = candidate.load ?? unknownLoad;
  const serviceMs = known.serviceMs * weight + meanServiceMs * (1 - weight);
  // Calls that are late already wait behind one that is not.
  const ahead = known.running + known.waiting + (mayBeLate ? known.late : 0);
  const open = Math.max(ahead * weight, candidate.openCalls);
  const slots = Math.max(1, candidate.slots);
  const waitMs = Math.max(0, (open + 1 - slots) / slots) * serviceMs;
  // A target slows down as it fills, so its share in use counts before it is full.
  const crowdMs = (Math.min(1, open / slots) ** 2 * serviceMs) / 2;
  const coldMs = candidate.isCold ? serviceMs * (options.coldFactor - 1) : 0;
  const failureMs = known.failureShare * weight * options.failureCostMs;
  const reachMs =
    options.reachCostMs[candidate.reach] +
    options.kilobyteCostMs[candidate.reach] * answerKilobytes;
  const isLarge = answerKilobytes * constants.BYTES_PER_KILOBYTE >= constants.LARGE_ANSWER_BYTES;
  const backlogMs = isLarge ? known.backlogMs * weight : 0;
  const linkMs =
    candidate.reach === 'own-host' ? 0 : backlogMs + known.kilobyteMs * answerKilobytes;
  return reachMs + linkMs + serviceMs + waitMs + crowdMs + coldMs + failureMs;
}

/**
 * Tells whether a candidate is known to have had a free slot lately.
 *
 * @example
 * candidates.some((candidate) => hasFreeSlot(candidate, placementDefaults));
 */
export function hasFreeSlot(candidate: PlacementCandidate, options: PlacementOptions): boolean {
  const { load, loadAgeMs, slots, openCalls } = candidate;
  if (!load || loadAgeMs > options.loadHalfLifeMs) return false;
  return Math.max(load.running + load.waiting + load.late, openCalls) < slots;
}

/**
 * Chooses the candidate with the earliest expected completion.
 *
 * @example
 * const call = { answerKilobytes: 5, mayBeLate: false };
 * choosePlacement(candidates, new Set(['10.0.0.7']), call, placementDefaults, random)?.hostId;
 */
export function choosePlacement(
  candidates: readonly PlacementCandidate[],
  tried: ReadonlySet<string>,
  call: { answerKilobytes: number; mayBeLate: boolean },
  options: PlacementOptions,
  random: clock.Random,
): Placement | undefined {
  const open = candidates.filter(({ hostId }) => !tried.has(hostId));
  const samples = candidates
    .map(({ load }) => load?.serviceMs)
    .filter((value): value is number => value !== undefined);
  const meanServiceMs =
    samples.length > 0
      ? samples.reduce((sum, value) => sum + value, 0) / samples.length
      : options.initialServiceMs;
  const described = { meanServiceMs, ...call };
  const unknown = open.filter(({ load, openCalls }) => !load && openCalls === 0);
  const explored = unknown[Math.floor(random() * unknown.length)];
  if (explored && unknown.length < open.length && random() < options.explorationShare) {
    const expectedMs = computeExpectedMs(explored, described, options);
    return { hostId: explored.hostId, expectedMs };
  }
  return open.reduce<Placement | undefined>((best, candidate) => {
    const estimate = computeExpectedMs(candidate, described, options);
    const expectedMs = estimate * (1 + options.noise * random());
    if (best && best.expectedMs <= expectedMs) return best;
    return { hostId: candidate.hostId, expectedMs };
  }, undefined);
}
