/** Keeps the configuration of this process the newest: asks the source, or hears from others. */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as contextModule from './context.js';
import type * as membersModule from './members.js';
import type * as types from './types.js';

/** The configuration of one process. */
export interface ConfigurationTask {
  /** Hears which version a member holds, and how long ago that was known to be the newest. */
  noteVersion(member: core.Member, version: number, ageMs: number | undefined): void;
  start(): void;
  stop(): void;
}

/** What the task needs. */
export interface ConfigurationTaskInput {
  ctx: contextModule.MeshContext;
  source: types.ConfigurationSource;
  members: () => Pick<membersModule.Members, 'list' | 'tellVersion'>;
  fetchFromPeer: (member: core.Member) => Promise<mesh.MeshConfig>;
  /** Version in force; undefined before the first. */
  getVersion: () => number | undefined;
  apply: (config: mesh.MeshConfig, from: string) => void;
}

/** Changes in quick succession are read together, which keeps questions few. */
const GATHER_SHARE = 0.15;
/** How long a host waits for a holder in its data centre before it fetches from farther away. */
const NEAR_HOLDER_SHARE = 0.1;
/** Hosts that one reader tells itself; above that each data centre has a reader of its own. */
const MAX_TOLD = 128;
const DUTY = 'configuration';
/** Version that a process tells while it holds none. */
const NO_VERSION = -1;

interface Holder {
  member: core.Member;
  version: number;
  /** Monotonic time at which the version was known to be the newest, in milliseconds. */
  confirmedAt: number;
}

/**
 * Creates the task; it asks from `start` on.
 *
 * @example
 * const configuration = createConfigurationTask(input);
 * configuration.start();
 */
export function createConfigurationTask(input: ConfigurationTaskInput): ConfigurationTask {
  const { ctx, source, members, fetchFromPeer, getVersion, apply } = input;
  const { settings, clock, log, metrics } = ctx;
  const { applyWithinMs } = settings;
  const watch = mesh.createSourceWatch({ ...mesh.sourceWatchDefaults, applyWithinMs }, ctx.random);
  let isStopped = false;
  let isReachable = true;
  let isFetching = false;
  let isAskingNow = false;
  /** Newest version that another process is known to hold. */
  let holder: Holder | undefined;
  let question: AbortController | undefined;
  let rest: AbortController | undefined;
  let nearTimer: NodeJS.Timeout | undefined;

  const listLive = (isInScope: (info: core.MemberInfo) => boolean): string[] =>
    members()
      .list()
      .filter(({ status, info }) => status === 'alive' && isInScope(info))
      .map(({ id }) => id);

  const listDataCentre = (): string[] =>
    listLive(({ dataCentre }) => dataCentre === settings.dataCentre);

  /** Hosts that share one reader, which is the first of them by rank. */
  const listScope = (): string[] => {
    const region = listLive((info) => info.region === settings.region);
    return region.length <= MAX_TOLD ? region : listDataCentre();
  };

  const readRank = (ids: readonly string[]): number =>
    Math.max(0, core.chooseHolders(DUTY, ids, ids.length).indexOf(settings.id));

  const tell = (ids: readonly string[]): void => {
    const ageMs = watch.ageMs(clock.monotonic());
    if (getVersion() !== undefined && Number.isFinite(ageMs)) members().tellVersion(ids, ageMs);
  };

  const wake = (): void => rest?.abort();

  const isBehind = (): boolean =>
    holder !== undefined && holder.version > (getVersion() ?? NO_VERSION);

  const fetch = async (): Promise<void> => {
    if (isFetching || !isBehind() || !holder) return;
    isFetching = true;
    const from = holder;
    try {
      const config = await fetchFromPeer(from.member);
      apply(config, from.member.id);
      if (config.version === from.version) watch.noteConfirmed(from.confirmedAt);
      const near = listDataCentre();
      if (readRank(near) === 0) tell(near);
    } catch (error) {
      log.warn('configuration-fetch-failed', {
        from: from.member.id,
        version: from.version,
        message: (error as Error).message,
      });
      if (holder === from) holder = undefined;
      isAskingNow = true;
      wake();
    } finally {
      isFetching = false;
    }
    await fetch();
  };

  const fetchSoon = (): void => {
    clearTimeout(nearTimer);
    fetch().catch((error: Error) => log.error('fetch-failed', { message: error.message }));
  };

  const noteVersion = (member: core.Member, version: number, ageMs: number | undefined): void => {
    const own = getVersion();
    const confirmedAt = ageMs === undefined ? Number.NEGATIVE_INFINITY : clock.monotonic() - ageMs;
    if (version === own) watch.noteConfirmed(confirmedAt);
    if (version <= (own ?? NO_VERSION)) return;
    const isNear = member.info.dataCentre === settings.dataCentre;
    if (!holder || version > holder.version || isNear) holder = { member, version, confirmedAt };
    if (isNear || own === undefined || readRank(listDataCentre()) === 0) fetchSoon();
    else {
      clearTimeout(nearTimer);
      nearTimer = setTimeout(fetchSoon, NEAR_HOLDER_SHARE * applyWithinMs);
    }
  };

  const noteReachable = (): void => {
    if (!isReachable) log.info('source-regained', { version: getVersion() });
    isReachable = true;
  };

  const noteUnreachable = (error: Error): void => {
    if (isReachable) {
      const ageMs = Math.round(watch.ageMs(clock.monotonic()));
      log.warn('source-lost', { message: error.message, version: getVersion(), ageMs });
    }
    isReachable = false;
    watch.noteFailed(clock.monotonic());
  };

  const ask = async (waitMs: number): Promise<void> => {
    question = new AbortController();
    const askedAt = clock.monotonic();
    isAskingNow = false;
    try {
      metrics.count('source_questions_total');
      const configs = await source.read(waitMs, question.signal);
      configs.forEach((config) => apply(config, 'source'));
      noteReachable();
      // An empty answer was given when the wait was over; another one at once.
      watch.noteConfirmed(configs.length === 0 ? askedAt + waitMs : askedAt);
      tell(listScope());
      if (configs.length > 0) await timers.setTimeout(GATHER_SHARE * applyWithinMs);
    } catch (error) {
      if (!isStopped) noteUnreachable(error as Error);
    }
  };

  const follow = async (): Promise<void> => {
    while (!isStopped) {
      const step = watch.next(readRank(listScope()), clock.monotonic());
      /* eslint-disable no-await-in-loop -- questions and rests follow one another */
      if (step.type === 'ask') await ask(step.waitMs);
      else if (isAskingNow) await ask(0);
      else {
        rest = new AbortController();
        await timers
          .setTimeout(step.restMs, undefined, { signal: rest.signal })
          .catch(() => undefined);
      }
      /* eslint-enable no-await-in-loop */
    }
  };

  return {
    noteVersion,
    start() {
      follow().catch((error: Error) => log.error('follow-failed', { message: error.message }));
    },
    stop() {
      isStopped = true;
      clearTimeout(nearTimer);
      question?.abort();
      wake();
    },
  };
}
