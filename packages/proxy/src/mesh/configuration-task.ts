import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';
import * as errors from './errors.js';
import type * as gossipMembers from './gossip-members.js';
import type * as types from './types.js';

/** What a process knows of the age of its version. */
export interface Confirmation {
  /** Time since the version was confirmed to be the newest, in milliseconds; undefined if never. */
  ageMs: number | undefined;
  /** `source`, or the member that sent the confirmation. */
  confirmedBy: string | undefined;
  /** Newer version that a member is known to hold. */
  newerVersion: number | undefined;
  /** Duration of the read of the source that is under way, in milliseconds. */
  readMs: number | undefined;
  /** Whether the last finished read succeeded. */
  isSourceReachable: boolean;
}

/** Proof by another process; both times are monotonic and in milliseconds. */
export interface VersionProofRecord {
  version: number;
  askedAt: number;
  provenAt: number;
}

/** Keeps the configuration of one process up to date, from the source or from peers. */
export interface ConfigurationTask {
  /**
   * Records the version that a member holds and, if it is newer, starts or schedules a fetch. `ageMs`
   * is the time since that version was confirmed to be the newest.
   */
  recordVersion(member: core.Member, version: number, ageMs: number | undefined): void;
  /**
   * Returns whether a route that the version in force lacks is absent for certain; if a read of the
   * source is to tell, it starts at once.
   */
  checkUnknownRoute(): mesh.UnknownRouteVerdict;
  /**
   * Records that a member's version was the newest at `provenAt`, by its response to a question that
   * was asked at `askedAt`.
   */
  recordProof(member: core.Member, proof: VersionProofRecord): void;
  /**
   * Returns the age of the proof that the version in force is the newest, in milliseconds; infinite
   * without one.
   */
  getProofAgeMs(): number;
  /** Returns the proof to pass on to other members; undefined without one. */
  getProof(): { version: number; ageMs: number } | undefined;
  /** Returns what is known of the age of the version in force, for logs. */
  getConfirmation(): Confirmation;
  start(): void;
  stop(): void;
}

export interface ConfigurationTaskInput {
  ctx: context.MeshContext;
  source: types.ConfigurationSource;
  getMembers: () => Pick<gossipMembers.Members, 'list' | 'sendVersion' | 'requestProof'>;
  fetchFromPeer: (member: core.Member) => Promise<types.FetchedConfiguration>;
  /** Returns the version in force; undefined before the first configuration. */
  getVersion: () => number | undefined;
  /** `transfer` tells how a configuration came from a peer. */
  applyConfig: (
    config: mesh.MeshConfig,
    from: string,
    transfer?: Omit<types.FetchedConfiguration, 'config'>,
  ) => void;
}

/**
 * Delay after a read that returned a change, as a share of `applyWithinMs`. Changes in quick
 * succession are then read together, which limits the requests to the source.
 */
const BATCH_DELAY_SHARE = 0.15;
/**
 * How long a host waits for a peer in its own data centre to hold a newer version before it fetches
 * it from another data centre, as a share of `applyWithinMs`. One host per data centre, and a host
 * without a configuration, fetch at once.
 */
const NEARBY_WAIT_SHARE = 0.1;
/**
 * Hosts that one reader of the source notifies directly; a larger region has one reader per data
 * centre.
 */
const MAX_HOSTS_PER_READER = 128;
/** Lower than any version, for a process without a configuration. */
const NO_VERSION = -1;

type Scope = (info: core.MemberInfo) => boolean;

interface VersionHolder {
  member: core.Member;
  version: number;
  /** Monotonic time at which the version was confirmed to be the newest, in milliseconds. */
  confirmedAt: number;
}

/**
 * Creates the task; it reads the source from `start` on.
 *
 * @example
 * const configuration = createConfigurationTask(input);
 * configuration.start();
 */
export function createConfigurationTask(input: ConfigurationTaskInput): ConfigurationTask {
  const { ctx, source, getMembers, fetchFromPeer, getVersion, applyConfig } = input;
  const { settings, clock, log, metrics } = ctx;
  const { applyWithinMs } = settings;
  const pollSchedule = mesh.createPollSchedule(
    { ...mesh.pollScheduleDefaults, applyWithinMs },
    ctx.random,
  );
  const proof = mesh.createVersionProof(clock, mesh.versionProofDefaults);
  /** Without a bound on withdrawn keys, proofs are neither requested nor needed. */
  const needsProof = settings.revokeWithinMs !== undefined;
  /** Proof of a version that is being fetched. */
  let proofToCome: VersionProofRecord | undefined;
  let isStopped = false;
  let isSourceReachable = true;
  let isFetching = false;
  let isReadDue = false;
  let readStartedAt: number | undefined;
  let confirmedBy: string | undefined;
  /**
   * Peer from which a newer version is fetched; a peer in this data centre replaces any other,
   * even one with a newer version.
   */
  let preferredHolder: VersionHolder | undefined;
  /** Newest version that a member is known to hold, whether or not it can be fetched. */
  let newestKnown: { version: number; heardAt: number } | undefined;
  let readController: AbortController | undefined;
  let pauseController: AbortController | undefined;
  let nearbyWaitTimer: NodeJS.Timeout | undefined;

  const isInDataCentre: Scope = ({ dataCentre }) => dataCentre === settings.dataCentre;
  const isInRegion: Scope = ({ region }) => region === settings.region;

  const listMembers = (
    isInScope: Scope,
    statuses: readonly core.MemberStatus[],
  ): readonly core.Member[] =>
    getMembers()
      .list()
      .filter(({ status, info }) => statuses.includes(status) && isInScope(info));

  /** Lists the hosts to notify of a version; a suspect one may only have been late. */
  const listReceiverIds = (isInScope: Scope): string[] =>
    listMembers(isInScope, ['alive', 'suspect']).map(({ id }) => id);

  /** Returns the scope of the hosts that share one reader, which is the one with rank 0. */
  const computeReaderScope = (): Scope =>
    listMembers(isInRegion, ['alive']).length <= MAX_HOSTS_PER_READER ? isInRegion : isInDataCentre;

  const computeRank = (isInScope: Scope): number => {
    const candidates = listMembers(isInScope, ['alive']).map(({ id, info }) => ({
      id,
      linkMbps: info.linkMbps,
    }));
    return Math.max(0, mesh.rankReaders(candidates).indexOf(settings.id));
  };

  const recordConfirmation = (at: number, from: string): void => {
    const now = clock.monotonic();
    if (now - at < pollSchedule.getConfirmationAgeMs(now)) confirmedBy = from;
    pollSchedule.recordConfirmation(at);
  };

  /** A response to a question that was asked is also a confirmation; one that was not may be late. */
  const storeProof = ({ askedAt, provenAt }: VersionProofRecord, from: string): void => {
    proof.record({ askedAt, provenAt });
    if (proof.getAgeMs() <= clock.monotonic() - provenAt) recordConfirmation(provenAt, from);
  };

  const adoptProofToCome = (from: string): void => {
    if (proofToCome && proofToCome.version === getVersion()) storeProof(proofToCome, from);
  };

  const sendVersion = (ids: readonly string[]): void => {
    const ageMs = pollSchedule.getConfirmationAgeMs(clock.monotonic());
    if (getVersion() !== undefined && Number.isFinite(ageMs)) getMembers().sendVersion(ids, ageMs);
  };

  const interruptPause = (): void => pauseController?.abort();

  /** Reads the source at once, or directly after the read that is under way. */
  const startRead = (): void => {
    isReadDue = true;
    interruptPause();
  };

  const isBehind = (): boolean =>
    preferredHolder !== undefined && preferredHolder.version > (getVersion() ?? NO_VERSION);

  /** Returns the newest version known, if it is newer and no later confirmation contradicts it. */
  const findNewerVersion = (): number | undefined => {
    const now = clock.monotonic();
    return newestKnown &&
      newestKnown.version > (getVersion() ?? NO_VERSION) &&
      now - newestKnown.heardAt <= pollSchedule.getConfirmationAgeMs(now)
      ? newestKnown.version
      : undefined;
  };

  const fetchFromHolder = async (): Promise<void> => {
    if (isStopped || isFetching || !isBehind() || !preferredHolder) return;
    isFetching = true;
    const holder = preferredHolder;
    try {
      const { config, ...transfer } = await fetchFromPeer(holder.member);
      applyConfig(config, holder.member.id, transfer);
      adoptProofToCome(holder.member.id);
      if (config.version < holder.version) throw new errors.OlderVersionError(config.version);
      if (config.version === holder.version && !needsProof)
        recordConfirmation(holder.confirmedAt, holder.member.id);
      if (computeRank(isInDataCentre) === 0) sendVersion(listReceiverIds(isInDataCentre));
    } catch (error) {
      log.warn('configuration-fetch-failed', {
        from: holder.member.id,
        version: holder.version,
        message: (error as Error).message,
      });
      if (preferredHolder === holder) preferredHolder = undefined;
      startRead();
    } finally {
      isFetching = false;
    }
    await fetchFromHolder();
  };

  const startFetch = (): void => {
    clearTimeout(nearbyWaitTimer);
    fetchFromHolder().catch((error: Error) =>
      log.error('fetch-failed', { message: error.message }),
    );
  };

  const recordVersion = (member: core.Member, version: number, ageMs: number | undefined): void => {
    const ownVersion = getVersion();
    const confirmedAt = ageMs === undefined ? Number.NEGATIVE_INFINITY : clock.monotonic() - ageMs;
    if (version === ownVersion && !needsProof) recordConfirmation(confirmedAt, member.id);
    if (needsProof && ageMs !== undefined && version >= (ownVersion ?? NO_VERSION))
      getMembers().requestProof(member);
    if (version <= (ownVersion ?? NO_VERSION)) return;
    if (version >= (findNewerVersion() ?? NO_VERSION))
      newestKnown = { version, heardAt: clock.monotonic() };
    const isNearby = member.info.dataCentre === settings.dataCentre;
    if (!preferredHolder || version > preferredHolder.version || isNearby)
      preferredHolder = { member, version, confirmedAt };
    if (isNearby || ownVersion === undefined || computeRank(isInDataCentre) === 0) startFetch();
    else {
      clearTimeout(nearbyWaitTimer);
      nearbyWaitTimer = setTimeout(startFetch, NEARBY_WAIT_SHARE * applyWithinMs);
    }
  };

  const markSourceReachable = (): void => {
    if (!isSourceReachable) log.info('source-regained', { version: getVersion() });
    isSourceReachable = true;
  };

  const markSourceUnreachable = (error: Error): void => {
    if (isSourceReachable) {
      const ageMs = Math.round(pollSchedule.getConfirmationAgeMs(clock.monotonic()));
      log.warn('source-lost', { message: error.message, version: getVersion(), ageMs });
    }
    isSourceReachable = false;
    pollSchedule.recordFailure(clock.monotonic());
  };

  const readSource = async (waitMs: number): Promise<void> => {
    readController = new AbortController();
    const readAt = clock.monotonic();
    readStartedAt = readAt;
    isReadDue = false;
    try {
      metrics.count('source_questions_total');
      const configs = await source.read(waitMs, readController.signal);
      configs.forEach((config) => applyConfig(config, 'source'));
      markSourceReachable();
      // An empty result came at the end of the wait, or earlier when the source has no configuration.
      const respondedAt = Math.min(readAt + waitMs, clock.monotonic());
      const isWholeWait = configs.length === 0 && clock.monotonic() - readAt >= waitMs;
      const provenAt = isWholeWait ? readAt + waitMs : readAt;
      recordConfirmation(configs.length === 0 ? respondedAt : readAt, 'source');
      proof.record({ askedAt: readAt, provenAt });
      readStartedAt = undefined;
      sendVersion(listReceiverIds(computeReaderScope()));
      if (configs.length > 0) await timers.setTimeout(BATCH_DELAY_SHARE * applyWithinMs);
    } catch (error) {
      if (!isStopped) markSourceUnreachable(error as Error);
    } finally {
      readStartedAt = undefined;
    }
  };

  const followSource = async (): Promise<void> => {
    while (!isStopped) {
      const step = pollSchedule.computeNextStep(
        computeRank(computeReaderScope()),
        clock.monotonic(),
      );
      /* eslint-disable no-await-in-loop -- reads and pauses are sequential */
      if (step.type === 'poll') await readSource(step.waitMs);
      else if (isReadDue) await readSource(0);
      else {
        pauseController = new AbortController();
        await timers
          .setTimeout(step.delayMs, undefined, { signal: pauseController.signal })
          .catch(() => undefined);
      }
      /* eslint-enable no-await-in-loop */
    }
  };

  return {
    recordVersion,
    recordProof(member, record) {
      if (!needsProof) return;
      if (record.version === getVersion()) storeProof(record, member.id);
      else if (record.version > (getVersion() ?? NO_VERSION)) proofToCome = record;
    },
    getProofAgeMs: proof.getAgeMs,
    getProof() {
      const version = getVersion();
      const ageMs = proof.getAgeMs();
      return needsProof && version !== undefined && Number.isFinite(ageMs)
        ? { version, ageMs: Math.ceil(ageMs) }
        : undefined;
    },
    checkUnknownRoute() {
      const confirmationAgeMs = pollSchedule.getConfirmationAgeMs(clock.monotonic());
      // Unlike a confirmation, a proof is void after a suspension, whose duration is not known.
      const ageMs = needsProof ? Math.max(confirmationAgeMs, proof.getAgeMs()) : confirmationAgeMs;
      const verdict = mesh.decideUnknownRoute(
        {
          hasVersion: getVersion() !== undefined,
          ageMs,
          isBehind: isBehind() || findNewerVersion() !== undefined,
          isSourceReachable,
        },
        { ...mesh.unknownRouteDefaults, applyWithinMs },
      );
      const shouldRead = verdict.type === 'undecided' && verdict.shouldRead;
      if (shouldRead && readStartedAt === undefined) startRead();
      return verdict;
    },
    getConfirmation() {
      const now = clock.monotonic();
      const ageMs = pollSchedule.getConfirmationAgeMs(now);
      return {
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        confirmedBy,
        newerVersion: findNewerVersion() ?? (isBehind() ? preferredHolder?.version : undefined),
        readMs: readStartedAt === undefined ? undefined : Math.round(now - readStartedAt),
        isSourceReachable,
      };
    },
    start() {
      followSource().catch((error: Error) =>
        log.error('follow-failed', { message: error.message }),
      );
    },
    stop() {
      isStopped = true;
      clearTimeout(nearbyWaitTimer);
      readController?.abort();
      interruptPause();
    },
  };
}
