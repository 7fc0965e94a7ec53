/**
 * Load balancing by expected completion time, which combines network locality, running and queued
 * calls, service time and failure share of each target. Targets differ in speed, some are slow or
 * failing for a while, and new ones have no measurements yet.
 */
import type * as clock from '../shared/clock.js';
import * as constants from './constants.js';
import type * as types from './types.js';

/** Network locality of a target's host, relative to this host. */
export type Locality = 'own-host' | 'data-centre' | 'region' | 'remote';

/** A target that is eligible for a call. */
export interface PlacementCandidate {
  hostId: string;
  locality: Locality;
  slots: number;
  /** Open attempts of this process at the target. */
  openCalls: number;
  /** Last load report; undefined before the first. */
  load: types.TargetLoad | undefined;
  loadAgeMs: number;
  /** True during the slow start of the target. */
  isCold: boolean;
}

export interface PlacementOptions {
  /**
   * Cost of each locality per call, in milliseconds: the round-trip time, plus a penalty for the
   * use of links between data centres and regions.
   */
  localityCostMs: Record<Locality, number>;
  /** Cost per kilobyte of a call's bodies, which keeps large transfers local. */
  kilobyteCostMs: Record<Locality, number>;
  /** Half-life of the weight of a load report, in milliseconds. */
  loadHalfLifeMs: number;
  /** Assumed service time before the first measurement, in milliseconds. */
  initialServiceMs: number;
  /** Multiple of the service time during the slow start of a target. */
  slowStartFactor: number;
  /** Cost of a failed call, in milliseconds; weighted by the failure share. */
  failureCostMs: number;
  /** Probability that a target without measurements is preferred. */
  explorationShare: number;
  /** Random variation of the estimates, so that not all processes choose the same target. */
  jitterShare: number;
}

export const placementDefaults: PlacementOptions = {
  localityCostMs: { 'own-host': 0, 'data-centre': 2, region: 20, remote: 110 },
  kilobyteCostMs: { 'own-host': 0, 'data-centre': 0, region: 2, remote: 6 },
  loadHalfLifeMs: 1_500,
  initialServiceMs: 100,
  slowStartFactor: 2,
  failureCostMs: 1_500,
  explorationShare: 0.3,
  jitterShare: 0.2,
};

const emptyLoad: types.TargetLoad = {
  running: 0,
  waiting: 0,
  late: 0,
  slots: 0,
  serviceMs: 0,
  startDelayMs: 0,
  failureShare: 0,
  backlogMs: 0,
  kilobyteMs: 0,
};

/** The chosen host and the expected completion time, in milliseconds. */
export interface Placement {
  hostId: string;
  expectedMs: number;
}

/**
 * Computes the expected completion time of a call at a candidate, in milliseconds. The weight of
 * the last load report decays with its age, in favour of `meanServiceMs` and the open calls.
 *
 * @example
 * const call = { meanServiceMs: 120, kilobytes: 5, mayBeLate: false };
 * computeExpectedCompletionMs(candidate, call, placementDefaults);
 */
export function computeExpectedCompletionMs(
  candidate: PlacementCandidate,
  call: { meanServiceMs: number; kilobytes: number; mayBeLate: boolean },
  options: PlacementOptions,
): number {
  const { meanServiceMs, kilobytes, mayBeLate } = call;
  const freshness = candidate.load ? 0.5 ** (candidate.loadAgeMs / options.loadHalfLifeMs) : 0;
  const lastLoad = candidate.load ?? emptyLoad;
  const serviceMs = lastLoad.serviceMs * freshness + meanServiceMs * (1 - freshness);
  // A call that is not late overtakes the queued late calls.
  const callsAhead = lastLoad.running + lastLoad.waiting + (mayBeLate ? lastLoad.late : 0);
  const occupancy = Math.max(callsAhead * freshness, candidate.openCalls);
  const slots = Math.max(1, candidate.slots);
  const waitMs = Math.max(
    ((occupancy + 1 - slots) / slots) * serviceMs,
    lastLoad.startDelayMs * freshness,
    0,
  );
  // Targets slow down as utilisation rises, so partial utilisation has a cost as well.
  const utilisationMs = (Math.min(1, occupancy / slots) ** 2 * serviceMs) / 2;
  const slowStartMs = candidate.isCold ? serviceMs * (options.slowStartFactor - 1) : 0;
  const failureMs = lastLoad.failureShare * freshness * options.failureCostMs;
  const localityMs =
    options.localityCostMs[candidate.locality] +
    options.kilobyteCostMs[candidate.locality] * kilobytes;
  const isLarge = kilobytes * constants.BYTES_PER_KILOBYTE >= constants.LARGE_RESPONSE_BYTES;
  const backlogMs = isLarge ? lastLoad.backlogMs * freshness : 0;
  const linkMs =
    candidate.locality === 'own-host' ? 0 : backlogMs + lastLoad.kilobyteMs * kilobytes;
  return localityMs + linkMs + serviceMs + waitMs + utilisationMs + slowStartMs + failureMs;
}

/**
 * Returns whether a recent load report of the candidate shows a free slot. With `mayGuess`, the
 * reported load decays with its age, and no report counts as no load.
 *
 * @example
 * candidates.some((candidate) => hasFreeSlot(candidate, placementDefaults));
 */
export function hasFreeSlot(
  candidate: PlacementCandidate,
  options: PlacementOptions,
  mayGuess = false,
): boolean {
  const { load = emptyLoad, loadAgeMs, slots, openCalls } = candidate;
  const isRecent = candidate.load !== undefined && loadAgeMs <= options.loadHalfLifeMs;
  if (!isRecent && !mayGuess) return false;
  if (isRecent && load.startDelayMs > 0) return false;
  const weight = mayGuess ? 0.5 ** (loadAgeMs / options.loadHalfLifeMs) : 1;
  return Math.max((load.running + load.waiting + load.late) * weight, openCalls) < slots;
}

/**
 * Chooses, among the hosts not in `tried`, the candidate with the earliest expected completion or,
 * with probability `explorationShare`, one without measurements. Returns undefined when no
 * candidate is left.
 *
 * @example
 * const call = { kilobytes: 5, mayBeLate: false };
 * choosePlacement(candidates, new Set(['10.0.0.7']), call, placementDefaults, random)?.hostId;
 */
export function choosePlacement(
  candidates: readonly PlacementCandidate[],
  tried: ReadonlySet<string>,
  call: { kilobytes: number; mayBeLate: boolean },
  options: PlacementOptions,
  random: clock.Random,
): Placement | undefined {
  const untried = candidates.filter(({ hostId }) => !tried.has(hostId));
  const serviceTimes = candidates
    .map(({ load }) => load?.serviceMs)
    .filter((value): value is number => value !== undefined);
  const meanServiceMs =
    serviceTimes.length > 0
      ? serviceTimes.reduce((sum, value) => sum + value, 0) / serviceTimes.length
      : options.initialServiceMs;
  const callWithMean = { meanServiceMs, ...call };
  const unmeasured = untried.filter(({ load, openCalls }) => !load && openCalls === 0);
  const explorationCandidate = unmeasured[Math.floor(random() * unmeasured.length)];
  if (
    explorationCandidate &&
    unmeasured.length < untried.length &&
    random() < options.explorationShare
  ) {
    const expectedMs = computeExpectedCompletionMs(explorationCandidate, callWithMean, options);
    return { hostId: explorationCandidate.hostId, expectedMs };
  }
  return untried.reduce<Placement | undefined>((earliest, candidate) => {
    const estimate = computeExpectedCompletionMs(candidate, callWithMean, options);
    const expectedMs = estimate * (1 + options.jitterShare * random());
    if (earliest && earliest.expectedMs <= expectedMs) return earliest;
    return { hostId: candidate.hostId, expectedMs };
  }, undefined);
}
