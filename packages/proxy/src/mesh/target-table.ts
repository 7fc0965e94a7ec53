import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as constants from './constants.js';
import type * as context from './context.js';
import type * as localTarget from './local-target.js';

/** Targets that this process may call, with the load and circuit breaker of each. */
export interface TargetTable {
  setMember(member: core.Member): void;
  /** Chooses the target of the next attempt; undefined if no target is available. */
  chooseTarget(
    service: string,
    triedHosts: ReadonlySet<string>,
    call: mesh.PlacementCall,
    admits?: TargetFilter,
  ): mesh.Placement | undefined;
  /**
   * Returns whether an untried target has a free slot according to its last load report;
   * with `mayGuess`, of older reports as well.
   */
  hasFreeSlot(
    service: string,
    triedHosts: ReadonlySet<string>,
    mayGuess: boolean,
    admits?: TargetFilter,
  ): boolean;
  /** Counts the open attempts of this process at the targets of a service that the filter admits. */
  countOpenCalls(service: string, admits: TargetFilter): number;
  recordLoad(hostId: string, load: mesh.TargetLoad): void;
  /** Records an attempt of which `work` is expected, relative to the mean of its service. */
  recordAttemptStart(hostId: string, work: number): void;
  /** Records the end of an attempt that was opened at `openedAt`. */
  recordAttemptEnd(hostId: string, work: number, openedAt: number): void;
  /**
   * Opens the circuit breaker of a host that did not respond to an attempt, unless it has responded
   * on another connection since `openedAt`.
   */
  recordUnreachable(hostId: string, openedAt: number): void;
  /** Closes the circuit breaker of the host. */
  recordResponse(hostId: string): void;
  /**
   * Excludes one incarnation of the target of a host from further calls, also if the host's process
   * restarts and announces it as available again.
   */
  recordLeaving(hostId: string, leavingTarget: string): void;
  getEndpoint(hostId: string): core.Endpoint | undefined;
}

/** Restricts the targets of a call; without one, all are admitted. */
export type TargetFilter = (member: core.Member) => boolean;

const admitAll: TargetFilter = () => true;

interface TargetEntry {
  member: core.Member;
  /** Updated in place, so that the choice of a target creates no object for each candidate. */
  candidate: mesh.PlacementCandidate;
  loadReceivedAt: number;
  lastResponseAt: number;
  circuitBreaker: core.CircuitBreaker;
  leavingTarget: string | undefined;
}

/** One failure opens the circuit breaker, since a live host acknowledges within the time-out. */
const circuitBreakerOptions: core.CircuitBreakerOptions = {
  failuresToOpen: 1,
  windowMs: constants.CIRCUIT_OPEN_MS,
  openMs: constants.CIRCUIT_OPEN_MS,
};

/**
 * Creates an empty table. `getOwnTarget` returns the target on this host, whose load needs no reports
 * once a service time has been measured; like a report, it ages from the last measurement.
 *
 * @example
 * const targets = createTargetTable(ctx, () => target);
 */
export function createTargetTable(
  ctx: context.MeshContext,
  getOwnTarget: () => Pick<localTarget.LocalTarget, 'getLoad' | 'getSampledAt'>,
): TargetTable {
  const { settings, clock, random, log } = ctx;
  const entries = new Map<string, TargetEntry>();

  const computeLocality = ({ id, info }: core.Member): mesh.Locality => {
    if (id === settings.id) return 'own-host';
    if (info.dataCentre === settings.dataCentre) return 'data-centre';
    return info.region === settings.region ? 'region' : 'remote';
  };

  const isCallable = ({ member, leavingTarget }: TargetEntry, service: string): boolean =>
    (member.status === 'alive' || member.status === 'suspect') &&
    member.info.ready &&
    member.info.target?.state === 'up' &&
    member.info.target.service === service &&
    (leavingTarget === undefined || member.info.target.id !== leavingTarget);

  const listCallable = (service: string, admits: TargetFilter): TargetEntry[] =>
    [...entries.values()].filter((entry) => isCallable(entry, service) && admits(entry.member));

  /** Updates what ages in the description of a candidate, and returns it. */
  const updateCandidate = (
    { member, candidate, loadReceivedAt }: TargetEntry,
    now: number,
  ): mesh.PlacementCandidate => {
    if (member.id !== settings.id) {
      candidate.loadAgeMs = now - loadReceivedAt;
      candidate.queueAgeMs = candidate.loadAgeMs;
      return candidate;
    }
    const ownTarget = getOwnTarget();
    const sampledAt = ownTarget.getSampledAt();
    candidate.load =
      sampledAt === undefined ? undefined : { ...ownTarget.getLoad(), backlogMs: 0, kilobyteMs: 0 };
    candidate.loadAgeMs = now - (sampledAt ?? 0);
    candidate.queueAgeMs = 0;
    candidate.sentWork = 0;
    return candidate;
  };

  return {
    setMember(member) {
      const existing = entries.get(member.id);
      const isSameProcess = existing?.member.info.instance === member.info.instance;
      const isSameTarget =
        isSameProcess && existing.member.info.target?.id === member.info.target?.id;
      entries.set(member.id, {
        member,
        candidate: {
          hostId: member.id,
          locality: computeLocality(member),
          slots: member.info.target?.slots ?? 1,
          openCalls: existing?.candidate.openCalls ?? 0,
          sentWork: isSameTarget ? existing.candidate.sentWork : 0,
          load: isSameTarget ? existing.candidate.load : undefined,
          loadAgeMs: 0,
          queueAgeMs: 0,
          isCold: member.info.target?.isCold === true,
        },
        loadReceivedAt: isSameTarget ? existing.loadReceivedAt : 0,
        lastResponseAt: existing?.lastResponseAt ?? 0,
        circuitBreaker: isSameProcess
          ? existing.circuitBreaker
          : core.createCircuitBreaker(circuitBreakerOptions),
        leavingTarget: member.info.departedTarget ?? existing?.leavingTarget,
      });
    },
    chooseTarget(service, triedHosts, call, admits = admitAll) {
      const now = clock.monotonic();
      const allowed: mesh.PlacementCandidate[] = [];
      const callable: mesh.PlacementCandidate[] = [];
      entries.forEach((entry) => {
        if (!isCallable(entry, service) || !admits(entry.member)) return;
        const candidate = updateCandidate(entry, now);
        callable.push(candidate);
        if (entry.circuitBreaker.mayCall(now)) allowed.push(candidate);
      });
      const placement = mesh.choosePlacement(
        allowed.length > 0 ? allowed : callable,
        triedHosts,
        call,
        mesh.placementDefaults,
        random,
      );
      if (placement) entries.get(placement.hostId)?.circuitBreaker.recordSent(now);
      return placement;
    },
    hasFreeSlot(service, triedHosts, mayGuess, admits = admitAll) {
      const now = clock.monotonic();
      return listCallable(service, admits).some(
        (entry) =>
          !triedHosts.has(entry.member.id) &&
          entry.circuitBreaker.mayCall(now) &&
          mesh.hasFreeSlot(updateCandidate(entry, now), mesh.placementDefaults, mayGuess),
      );
    },
    countOpenCalls: (service, admits) =>
      [...entries.values()]
        .filter(({ member }) => member.info.target?.service === service && admits(member))
        .reduce((sum, { candidate }) => sum + candidate.openCalls, 0),
    recordLoad(hostId, load) {
      const entry = entries.get(hostId);
      if (!entry) return;
      entry.candidate.load = load;
      entry.candidate.sentWork = 0;
      entry.loadReceivedAt = clock.monotonic();
    },
    recordAttemptStart(hostId, work) {
      const candidate = entries.get(hostId)?.candidate;
      if (!candidate) return;
      candidate.openCalls += 1;
      candidate.sentWork += work;
    },
    recordAttemptEnd(hostId, work, openedAt) {
      const entry = entries.get(hostId);
      if (!entry) return;
      const { candidate, loadReceivedAt } = entry;
      candidate.openCalls = Math.max(0, candidate.openCalls - 1);
      if (openedAt >= loadReceivedAt) candidate.sentWork = Math.max(0, candidate.sentWork - work);
    },
    recordUnreachable(hostId, openedAt) {
      const entry = entries.get(hostId);
      if (entry && entry.lastResponseAt < openedAt)
        entry.circuitBreaker.recordFailure(clock.monotonic());
    },
    recordResponse(hostId) {
      const entry = entries.get(hostId);
      if (!entry) return;
      entry.lastResponseAt = clock.monotonic();
      entry.circuitBreaker.recordSuccess();
    },
    recordLeaving(hostId, leavingTarget) {
      const entry = entries.get(hostId);
      if (!entry || entry.leavingTarget === leavingTarget) return;
      entry.leavingTarget = leavingTarget;
      log.info('target-leaving', { host: hostId, target: leavingTarget });
    },
    getEndpoint(hostId) {
      const info = entries.get(hostId)?.member.info;
      return info ? { address: info.address, port: info.peerPort } : undefined;
    },
  };
}
