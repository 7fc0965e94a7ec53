/**
 * Keeps the configuration of this process up to date. A few readers per region read it from the
 * log; every process also fetches newer versions from peers.
 */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import type * as context from '../context.js';
import type * as gossipTask from './gossip-task.js';

const READERS_PER_REGION = 2;
/** Number of members that are pinged at once after a configuration was applied. */
const PING_FANOUT = 4;
const FETCH_TIMEOUT_MS = 1_500;
const LOG_RETRY_MS = 500;
const READER_CHECK_INTERVAL_MS = 250;
/** Age at which a new snapshot is due, as a share of the log's retention time. */
const SNAPSHOT_AGE_SHARE = 0.25;
/** Number of records after the last snapshot above which a new one is due. */
const MAX_RECORDS_AFTER_SNAPSHOT = 500;
/** Share of the start time-out for which readers wait for a configuration from peers. */
const READER_DELAY_SHARE = 0.3;
/** Share of the start time-out over which the first reads of started processes are spread. */
const START_JITTER_SHARE = 0.1;
const CONFIG_STREAM = 'config';
const MS_PER_SECOND = 1_000;

export interface ConfigTask extends context.Task {
  /** Returns the configuration in force, or undefined before the first. */
  getCurrent(): core.CompiledConfig | undefined;
  replica: core.Replica;
  /**
   * Returns the watermark of the configuration in force; the digest is empty before the first.
   */
  getWatermark(): core.ConfigWatermark;
  /**
   * Waits up to `timeoutMs` until a first configuration is in force, and returns whether one is.
   */
  waitForConfig(timeoutMs: number): Promise<boolean>;
  /**
   * Records the configuration watermark of another process, and fetches its configuration if it
   * is newer.
   */
  receiveWatermark(id: string, watermark: core.ConfigWatermark): void;
}

/**
 * Creates the configuration task.
 *
 * @example
 * const config = createConfigTask(context, gossip);
 */
export function createConfigTask(ctx: context.Context, gossip: gossipTask.GossipTask): ConfigTask {
  const { settings, clock, random, bus, log, metrics, peerClient, logClient } = ctx;
  const replica = core.createReplica();
  let compiled: core.CompiledConfig | undefined;
  let isStopped = false;
  let abortController = new AbortController();
  let firstConfigWaiters: (() => void)[] = [];
  let lastSnapshotPosition = -1;
  let lastSnapshotAt = -Infinity;
  let logHeadPosition = -1;
  let startedAt = 0;

  const applyState = (state: core.State, source: string): void => {
    const previous = compiled;
    compiled = core.compileConfig(state);
    metrics.setGauge('config.version', compiled.version);
    if (!previous || previous.version !== compiled.version) {
      log.info('config-applied', {
        version: compiled.version,
        position: compiled.position,
        digest: compiled.digest.slice(0, 12),
        source,
      });
    }
    bus.send('config-applied', { config: compiled, source });
    gossip.pingRandomMembers(PING_FANOUT);
    firstConfigWaiters.forEach((resolve) => resolve());
    firstConfigWaiters = [];
  };

  const performEffects = (effects: readonly core.ReplicaEffect[]): void => {
    effects.forEach((effect) => {
      if (effect.type === 'apply') applyState(effect.state, effect.source);
      else if (effect.type === 'refused') {
        metrics.increment('config.refused');
        log.warn('config-refused', { reason: effect.reason, source: effect.source });
      } else {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        fetchFromPeer(effect.from, effect.position);
      }
    });
  };

  /** Reports an error of the action instead of throwing it. */
  const runSafely = (operation: string, action: () => void): void => {
    try {
      action();
    } catch (error) {
      ctx.reportError(operation, error);
    }
  };

  const fetchFromPeer = (id: string, position: number): void => {
    const member = gossip.membership.getMember(id);
    if (!member) {
      replica.recordFetchFailure(id);
      return;
    }
    const peer = ctx.resolveEndpoint(member.info);
    metrics.increment('config.fetches');
    peerClient
      .request(peer, 'config.fetch', { position }, FETCH_TIMEOUT_MS)
      .then((response) =>
        runSafely('config-answer', () =>
          performEffects(
            replica.receiveResponse(id, response as core.FetchResponse, clock.monotonic()),
          ),
        ),
      )
      .catch(() => replica.recordFetchFailure(id));
  };

  const receiveWatermark = (id: string, watermark: core.ConfigWatermark): void =>
    runSafely('config-mark', () => {
      // A peer at the same position that has a digest has read the empty log, so the empty
      // configuration applies here without a read of the log.
      const hasPeerReadEmptyLog =
        watermark.position === replica.getState().position && watermark.digest !== '';
      if (!compiled && hasPeerReadEmptyLog) applyState(replica.getState(), id);
      performEffects(replica.receiveWatermark(id, watermark, clock.monotonic()));
    });

  const isReader = (): boolean => {
    // All live members are candidates: reading the log does not require readiness, and this set
    // changes less while a fleet starts.
    const ids = gossip.listAlive({ region: settings.region }).map(({ id }) => id);
    const duty = `config-reader|${settings.region}`;
    return core.chooseByRendezvousHash(duty, ids, READERS_PER_REGION).includes(settings.id);
  };

  const isSnapshotWriter = (): boolean => {
    const ids = gossip.listDutyCandidates({}).map(({ id }) => id);
    return core.chooseByRendezvousHash('snapshot-writer', ids, 1).includes(settings.id);
  };

  const recordSnapshots = (records: readonly core.OffsetRecord[]): void => {
    records.forEach(({ offset, body }) => {
      const isSnapshot = (body as { type?: string } | null)?.type === 'snapshot';
      if (!isSnapshot) return;
      lastSnapshotPosition = offset;
      lastSnapshotAt = clock.now();
    });
  };

  const isSnapshotDue = (): boolean => {
    const { position } = replica.getState();
    if (position < 0 || logHeadPosition < position) return false;
    const isSnapshotOld =
      clock.now() - lastSnapshotAt > settings.platform.retentionMs * SNAPSHOT_AGE_SHARE;
    return isSnapshotOld || position - lastSnapshotPosition > MAX_RECORDS_AFTER_SNAPSHOT;
  };

  const writeSnapshot = async (): Promise<void> => {
    if (!isSnapshotDue() || !isSnapshotWriter()) return;
    // Set before the append, so that a lost acknowledgement does not cause a second snapshot.
    lastSnapshotAt = clock.now();
    await logClient.append(CONFIG_STREAM, core.createSnapshot(replica.getState()));
    metrics.increment('config.snapshots');
    log.info('snapshot-written', { position: replica.getState().position });
  };

  const readLogOnce = async (waitMs: number): Promise<void> => {
    const from = replica.getState().position + 1;
    const response = await logClient.read(CONFIG_STREAM, from, waitMs, abortController.signal);
    metrics.increment('config.log-reads');
    recordSnapshots(response.records);
    runSafely('config-records', () =>
      performEffects(replica.receiveRecords(response.records, 'log')),
    );
    logHeadPosition = response.head - 1;
    const isEmptyLog = response.head === 0 && !compiled;
    if (isEmptyLog) runSafely('config-empty', () => applyState(replica.getState(), 'empty-log'));
    if (isReader()) await writeSnapshot();
  };

  const mayReadLog = (): boolean => {
    if (compiled) return isReader();
    // A process with peers but without configuration first waits for them. After a share of the
    // start time-out the readers read the log, and after the whole time-out every process does.
    const hasPeers = gossip.membership.getWatermarks().size > 0 || settings.peers.length > 0;
    if (!hasPeers) return true;
    const waitedMs = clock.monotonic() - startedAt;
    if (waitedMs >= settings.startTimeoutMs) return true;
    return waitedMs >= settings.startTimeoutMs * READER_DELAY_SHARE && isReader();
  };

  const followLog = async (): Promise<void> => {
    while (!isStopped) {
      /* eslint-disable no-await-in-loop -- sequential reads */
      if (!mayReadLog()) {
        await timers.setTimeout(READER_CHECK_INTERVAL_MS);
      } else {
        try {
          await readLogOnce(compiled ? settings.platform.readWaitMs : 0);
        } catch (error) {
          if (isStopped) return;
          metrics.increment('config.log-failures');
          log.warn('log-unavailable', { reason: (error as Error).message });
          await timers.setTimeout(LOG_RETRY_MS * (1 + random()));
        }
      }
      /* eslint-enable no-await-in-loop */
    }
  };

  bus.on('watermark-received', ({ id, mark }) => receiveWatermark(id, mark));
  ctx.peerServer.addMethods({
    'config.fetch': (params) => {
      const { position } = params as core.FetchRequest;
      const otherIds = gossip
        .listReady(settings.dataCentre)
        .map(({ id }) => id)
        .filter((id) => id !== settings.id);
      return replica.handleFetch({ position: Number(position) }, clock.monotonic(), otherIds);
    },
  });

  return {
    getCurrent: () => compiled,
    replica,
    getWatermark: () => ({
      position: compiled?.position ?? -1,
      version: compiled?.version ?? -1,
      digest: compiled?.digest ?? '',
    }),
    receiveWatermark,
    async waitForConfig(timeoutMs) {
      if (compiled) return true;
      await Promise.race([
        new Promise<void>((resolve) => {
          firstConfigWaiters.push(resolve);
        }),
        timers.setTimeout(timeoutMs, undefined, { ref: false }),
      ]);
      return compiled !== undefined;
    },
    async start() {
      startedAt = clock.monotonic() - settings.startTimeoutMs * START_JITTER_SHARE * random();
      lastSnapshotAt = clock.now() - settings.platform.retentionMs * SNAPSHOT_AGE_SHARE * random();
      followLog().catch((error: unknown) => ctx.reportError('read-log', error));
      await timers.setTimeout(MS_PER_SECOND / PING_FANOUT, undefined, { ref: false });
    },
    async stop() {
      isStopped = true;
      abortController.abort();
      abortController = new AbortController();
    },
  };
}
