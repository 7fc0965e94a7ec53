/**
 * Load balancing by expected completion time, which combines network locality, the remaining work of
 * running and queued calls, the expected work of the call, speed and failure share of each target.
 * Targets differ in speed, some are slow or failing for a while, and new ones have no measurements yet.
 * Reports are as old as the last response of their target, so they are aged towards the usual load.
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
  /** Expected work of the calls that this process has sent since the last load report and are open. */
  sentWork: number;
  /** Last load report; undefined before the first. */
  load: types.TargetLoad | undefined;
  loadAgeMs: number;
  /** Age of its queue and remaining work, which is below `loadAgeMs` for the target of this host. */
  queueAgeMs: number;
  /** True during the slow start of the target. */
  isCold: boolean;
}

/** What decides the cost of a call at a target. */
export interface PlacementCall {
  /** Size of the request body and of the expected response. */
  kilobytes: number;
  /** Expected work, relative to the mean of its service. */
  work: number;
  mayBeLate: boolean;
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
  /**
   * Time after which a target's load is unrelated to its report, as a multiple of the time in which
   * its slots finish the reported work and one more call.
   */
  relaxationFactor: number;
  /**
   * Load of a target whose report no longer counts, as a share of the mean of the reports. These come with
   * responses, so they over-represent busy targets and busy moments.
   */
  unreportedLoadShare: number;
  /** Assumed service time before the first measurement, in milliseconds. */
  initialServiceMs: number;
  /** Multiple of the service time during the slow start of a target. */
  slowStartFactor: number;
  /** Cost of a failed call, in milliseconds; weighted by the failure share. */
  failureCostMs: number;
  /** Probability that a target without measurements is preferred. */
  explorationShare: number;
  /**
   * Random variation of the expected time at the target, so that not all processes choose the same one.
   * The costs of the network do not vary, so that chance sends no call to another region.
   */
  jitterShare: number;
}

export const placementDefaults: PlacementOptions = {
  localityCostMs: { 'own-host': 0, 'data-centre': 2, region: 20, remote: 110 },
  // Above the transmission time: links between regions are shared by all calls and are the dearest.
  kilobyteCostMs: { 'own-host': 0, 'data-centre': 0, region: 2, remote: 10 },
  loadHalfLifeMs: 1_500,
  relaxationFactor: 8,
  unreportedLoadShare: 0.5,
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
  remainingMs: 0,
  lateRemainingMs: 0,
  unitMs: 0,
};

/** Size of the headers and metadata of a request and its response, which are not part of its bodies. */
const ENVELOPE_KILOBYTES = 1.5;

const localityRanks: Record<Locality, number> = {
  'own-host': 0,
  'data-centre': 1,
  region: 2,
  remote: 3,
};

export interface Placement {
  hostId: string;
  /** Expected completion time with the costs of the network, in milliseconds. */
  expectedMs: number;
  /** Expected time of the call at the target once it has started, in milliseconds. */
  serviceMs: number;
}

/** Means over the candidates with a load report, which stand for what is not known of the others. */
export interface UsualLoad {
  /** Service time of a call. */
  serviceMs: number;
  /** Time for one unit of work; 0 if no candidate reports it. */
  unitMs: number;
  /** Running and waiting calls per slot. */
  callsPerSlot: number;
  /** Remaining work per slot, in units of work. */
  workPerSlot: number;
  kilobyteMs: number;
}

/**
 * Computes the usual load of a service from the reports of its targets. Old ones count for less, but
 * they count: many targets have no recent one.
 *
 * @example
 * const usual = computeUsualLoad(candidates, placementDefaults);
 */
export function computeUsualLoad(
  candidates: readonly PlacementCandidate[],
  options: PlacementOptions,
): UsualLoad {
  const sums = { weight: 0, serviceMs: 0, kilobyteMs: 0 };
  const workSums = { weight: 0, unitMs: 0, calls: 0, work: 0 };
  for (const { load, loadAgeMs, slots } of candidates) {
    if (load) {
      const weight = options.loadHalfLifeMs / (options.loadHalfLifeMs + loadAgeMs);
      sums.weight += weight;
      sums.serviceMs += weight * load.serviceMs;
      sums.kilobyteMs += weight * load.kilobyteMs;
      if (load.unitMs > 0) {
        const slotWeight = weight / Math.max(1, slots);
        workSums.weight += weight;
        workSums.unitMs += weight * load.unitMs;
        workSums.calls += slotWeight * (load.running + load.waiting);
        workSums.work += slotWeight * (load.remainingMs / load.unitMs);
      }
    }
  }
  const { weight } = sums;
  const workWeight = Math.max(Number.EPSILON, workSums.weight);
  return {
    serviceMs: weight > 0 ? sums.serviceMs / weight : options.initialServiceMs,
    unitMs: workSums.unitMs / workWeight,
    callsPerSlot: workSums.calls / workWeight,
    workPerSlot: workSums.work / workWeight,
    kilobyteMs: weight > 0 ? sums.kilobyteMs / weight : 0,
  };
}

/**
 * Computes the cost of the network for a call: its distance, its bytes between data centres and regions,
 * and their transmission on the link of the target's host.
 */
function computeNetworkMs(
  { locality, load = emptyLoad }: PlacementCandidate,
  kilobytes: number,
  { usual, freshness }: { usual: UsualLoad; freshness: number },
  options: PlacementOptions,
): number {
  if (locality === 'own-host') return options.localityCostMs[locality];
  const isLarge = kilobytes * constants.BYTES_PER_KILOBYTE >= constants.LARGE_RESPONSE_BYTES;
  const kilobyteMs = load.kilobyteMs > 0 ? load.kilobyteMs : usual.kilobyteMs;
  return (
    options.localityCostMs[locality] +
    (options.kilobyteCostMs[locality] + kilobyteMs) * (kilobytes + ENVELOPE_KILOBYTES) +
    (isLarge ? load.backlogMs * freshness : 0)
  );
}

/** Computes the expected time at a target that reports only counts of calls, in milliseconds. */
function computeTimeByCounts(
  { load: lastLoad = emptyLoad, slots: slotCount, openCalls }: PlacementCandidate,
  { mayBeLate }: PlacementCall,
  { serviceMs, freshness }: { serviceMs: number; freshness: number },
): number {
  // A call that is not late overtakes the queued late calls.
  const callsAhead = lastLoad.running + lastLoad.waiting + (mayBeLate ? lastLoad.late : 0);
  const occupancy = Math.max(callsAhead * freshness, openCalls);
  const slots = Math.max(1, slotCount);
  const waitMs = Math.max(
    ((occupancy + 1 - slots) / slots) * serviceMs,
    lastLoad.startDelayMs * freshness,
    0,
  );
  // Targets slow down as utilisation rises, so partial utilisation has a cost as well.
  const utilisationMs = (Math.min(1, occupancy / slots) ** 2 * serviceMs) / 2;
  return serviceMs + waitMs + utilisationMs;
}

/**
 * Computes the expected time at a target that reports its remaining work, in milliseconds. The reported
 * load is aged towards the usual one, since others send calls as well while its slots work.
 */
function computeTimeByWork(
  { load: lastLoad, queueAgeMs, slots: slotCount, openCalls, sentWork }: PlacementCandidate,
  { mayBeLate, work }: PlacementCall,
  { usual, unitMs, freshness }: { usual: UsualLoad; unitMs: number; freshness: number },
  options: PlacementOptions,
): number {
  const load = lastLoad ?? emptyLoad;
  const slots = Math.max(1, slotCount);
  const reportedMs = load.remainingMs + (mayBeLate ? load.lateRemainingMs : 0);
  const reportedCalls = load.running + load.waiting + (mayBeLate ? load.late : 0);
  const relaxationMs = options.relaxationFactor * (reportedMs / slots + unitMs);
  const relevance = lastLoad ? 1 / (1 + queueAgeMs / relaxationMs) : 0;
  const usualSlots = options.unreportedLoadShare * slots * (1 - relevance);
  const calls = reportedCalls * relevance + usual.callsPerSlot * usualSlots + sentWork;
  const aheadMs = reportedMs * relevance + (usual.workPerSlot * usualSlots + sentWork) * unitMs;
  const occupancy = Math.max(calls, openCalls);
  const meanAheadMs = calls > 0 ? aheadMs / calls : unitMs;
  const waitMs = Math.max(
    ((occupancy + 1 - slots) / slots) * meanAheadMs,
    load.startDelayMs * freshness,
    0,
  );
  const utilisationMs = (Math.min(1, occupancy / slots) ** 2 * unitMs) / 2;
  return unitMs * work + waitMs + utilisationMs;
}

/** Computes the time of a mean call at a candidate; the last measured one loses weight with its age. */
function computeMeanMs(
  { load, loadAgeMs }: PlacementCandidate,
  usual: UsualLoad,
  options: PlacementOptions,
): { meanMs: number; reportsWork: boolean; freshness: number } {
  const freshness = load ? 0.5 ** (loadAgeMs / options.loadHalfLifeMs) : 0;
  const reportsWork = load ? load.unitMs > 0 : usual.unitMs > 0;
  const usualMs = reportsWork ? usual.unitMs : usual.serviceMs;
  const ownMs = (reportsWork ? load?.unitMs : load?.serviceMs) ?? 0;
  return { meanMs: ownMs * freshness + usualMs * (1 - freshness), reportsWork, freshness };
}

/**
 * Computes the expected completion time of a call at a candidate, in milliseconds; `jitter` is a random
 * number that varies the time at the target.
 *
 * @example
 * const call = { work: 1, kilobytes: 5, mayBeLate: false };
 * const usual = computeUsualLoad(candidates, placementDefaults);
 * computeExpectedCompletionMs(candidate, call, usual, placementDefaults);
 */
export function computeExpectedCompletionMs(
  candidate: PlacementCandidate,
  call: PlacementCall,
  usual: UsualLoad,
  options: PlacementOptions,
  jitter = 0,
): number {
  const { load } = candidate;
  const { meanMs, reportsWork, freshness } = computeMeanMs(candidate, usual, options);
  const targetMs = reportsWork
    ? computeTimeByWork(candidate, call, { usual, unitMs: meanMs, freshness }, options)
    : computeTimeByCounts(candidate, call, { serviceMs: meanMs, freshness });
  const slowStartMs = candidate.isCold ? meanMs * (options.slowStartFactor - 1) : 0;
  const failureMs = (load?.failureShare ?? 0) * freshness * options.failureCostMs;
  return (
    computeNetworkMs(candidate, call.kilobytes, { usual, freshness }, options) +
    (targetMs + slowStartMs + failureMs) * (1 + options.jitterShare * jitter)
  );
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
 * with probability `explorationShare`, one without measurements that is no farther. Returns undefined
 * when no candidate is left.
 *
 * @example
 * const call = { kilobytes: 5, work: 1, mayBeLate: false };
 * choosePlacement(candidates, new Set(['10.0.0.7']), call, placementDefaults, random)?.hostId;
 */
export function choosePlacement(
  candidates: readonly PlacementCandidate[],
  tried: ReadonlySet<string>,
  call: PlacementCall,
  options: PlacementOptions,
  random: clock.Random,
): Placement | undefined {
  const usual = computeUsualLoad(candidates, options);
  let earliest: PlacementCandidate | undefined;
  let earliestMs = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const expectedMs = tried.has(candidate.hostId)
      ? Number.POSITIVE_INFINITY
      : computeExpectedCompletionMs(candidate, call, usual, options, random());
    if (expectedMs < earliestMs) {
      earliest = candidate;
      earliestMs = expectedMs;
    }
  }
  if (!earliest) return undefined;
  const describePlacement = (candidate: PlacementCandidate, expectedMs: number): Placement => ({
    hostId: candidate.hostId,
    expectedMs,
    serviceMs: computeMeanMs(candidate, usual, options).meanMs * call.work,
  });
  const { load, locality } = earliest;
  if (load && random() < options.explorationShare) {
    const unmeasured = candidates.filter(
      (candidate) =>
        !candidate.load &&
        candidate.openCalls === 0 &&
        !tried.has(candidate.hostId) &&
        localityRanks[candidate.locality] <= localityRanks[locality],
    );
    const chosen = unmeasured[Math.floor(random() * unmeasured.length)];
    if (chosen) {
      const expectedMs = computeExpectedCompletionMs(chosen, call, usual, options);
      return describePlacement(chosen, expectedMs);
    }
  }
  return describePlacement(earliest, earliestMs);
}
