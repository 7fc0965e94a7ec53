/** Keeps this process on the newest configuration: from the log when it is a reader, from peers always. */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import type * as context from '../context.js';
import type * as gossipTask from './gossip-task.js';

/** Readers of the log per region. */
const READERS_PER_REGION = 2;
/** Members told at once of a new configuration. */
const PUSH_FANOUT = 4;
const FETCH_TIMEOUT_MS = 1_500;
const READ_RETRY_MS = 500;
const DUTY_CHECK_MS = 250;
/** A snapshot is written when the last one is older than this share of the retention. */
const SNAPSHOT_SHARE = 0.25;
/** Records after the last snapshot that make a new one due. */
const SNAPSHOT_RECORDS = 500;
/** Share of the start's time that readers leave to peers. */
const READER_PATIENCE_SHARE = 0.3;
const START_JITTER_SHARE = 0.1;
const STREAM = 'config';
const MS_PER_SECOND = 1_000;

/** The configuration of this process. */
export interface ConfigTask extends context.Task {
  /** The configuration in force, or undefined before the first. */
  current(): core.CompiledConfig | undefined;
  replica: core.Replica;
  /** What is in force here; the digest is empty while nothing is. */
  readMark(): core.ConfigMark;
  /** Resolves when a first configuration is in force, or when the bound has passed. */
  waitForFirst(timeoutMs: number): Promise<boolean>;
  /** Notes what a process of another data centre holds. */
  receiveMark(id: string, mark: core.ConfigMark): void;
}

/**
 * Creates the configuration task.
 *
 * @example
 * const config = createConfigTask(context, gossip);
 */
export function createConfigTask(ctx: context.Context, gossip: gossipTask.GossipTask): ConfigTask {
  const { settings, clock, random, bus, log, metrics, peers, platform } = ctx;
  const replica = core.createReplica();
  let compiled: core.CompiledConfig | undefined;
  let isStopped = false;
  let abort = new AbortController();
  let firstAppliedWaiters: (() => void)[] = [];
  let snapshotPosition = -1;
  let snapshotAt = -Infinity;
  let logPosition = -1;
  let startedAt = 0;

  const apply = (state: core.State, source: string): void => {
    const before = compiled;
    compiled = core.compileConfig(state);
    metrics.gauge('config.version', compiled.version);
    if (!before || before.version !== compiled.version) {
      log.info('config-applied', {
        version: compiled.version,
        position: compiled.position,
        digest: compiled.digest.slice(0, 12),
        source,
      });
    }
    bus.send('config-applied', { config: compiled, source });
    gossip.advertise(PUSH_FANOUT);
    firstAppliedWaiters.forEach((resolve) => resolve());
    firstAppliedWaiters = [];
  };

  const perform = (effects: readonly core.ReplicaEffect[]): void => {
    effects.forEach((effect) => {
      if (effect.type === 'apply') apply(effect.state, effect.source);
      else if (effect.type === 'refused') {
        metrics.increment('config.refused');
        log.warn('config-refused', { reason: effect.reason, source: effect.source });
      } else {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        fetchFrom(effect.from, effect.position);
      }
    });
  };

  const runGuarded = (event: string, action: () => void): void => {
    try {
      action();
    } catch (error) {
      ctx.reportError(event, error);
    }
  };

  const fetchFrom = (id: string, position: number): void => {
    const member = gossip.membership.get(id);
    if (!member) {
      replica.receiveFailure(id);
      return;
    }
    const peer = ctx.locate(member.info);
    metrics.increment('config.fetches');
    peers
      .request(peer, 'config.fetch', { position }, FETCH_TIMEOUT_MS)
      .then((answer) =>
        runGuarded('config-answer', () =>
          perform(replica.receiveAnswer(id, answer as core.FetchAnswer, clock.monotonic())),
        ),
      )
      .catch(() => replica.receiveFailure(id));
  };

  const receiveMark = (id: string, mark: core.ConfigMark): void =>
    runGuarded('config-mark', () => {
      // A peer that has read an empty log spares this process the same.
      const isEmptyAtPeer = mark.position === replica.state().position && mark.digest !== '';
      if (!compiled && isEmptyAtPeer) apply(replica.state(), id);
      perform(replica.receiveMark(id, mark, clock.monotonic()));
    });

  const isReader = (): boolean => {
    // Reading needs no readiness, and this set is steadier while a fleet starts.
    const ids = gossip.listAlive({ region: settings.region }).map(({ id }) => id);
    const duty = `config-reader|${settings.region}`;
    return core.chooseHolders(duty, ids, READERS_PER_REGION).includes(settings.id);
  };

  const isSnapshotWriter = (): boolean => {
    const ids = gossip.listHolders({}).map(({ id }) => id);
    return core.chooseHolders('snapshot-writer', ids, 1).includes(settings.id);
  };

  const noteSnapshots = (records: readonly core.OffsetRecord[]): void => {
    records.forEach(({ offset, body }) => {
      const isSnapshot = (body as { type?: string } | null)?.type === 'snapshot';
      if (!isSnapshot) return;
      snapshotPosition = offset;
      snapshotAt = clock.now();
    });
  };

  const isSnapshotDue = (): boolean => {
    const { position } = replica.state();
    if (position < 0 || logPosition < position) return false;
    const isOld = clock.now() - snapshotAt > settings.platform.retentionMs * SNAPSHOT_SHARE;
    return isOld || position - snapshotPosition > SNAPSHOT_RECORDS;
  };

  const writeSnapshot = async (): Promise<void> => {
    if (!isSnapshotDue() || !isSnapshotWriter()) return;
    // Set before the append, so that a lost answer does not make this process append again.
    snapshotAt = clock.now();
    await platform.append(STREAM, core.createSnapshot(replica.state()));
    metrics.increment('config.snapshots');
    log.info('snapshot-written', { position: replica.state().position });
  };

  const readOnce = async (waitMs: number): Promise<void> => {
    const from = replica.state().position + 1;
    const answer = await platform.read(STREAM, from, waitMs, abort.signal);
    metrics.increment('config.log-reads');
    noteSnapshots(answer.records);
    runGuarded('config-records', () => perform(replica.receiveRecords(answer.records, 'log')));
    logPosition = answer.head - 1;
    const isEmptyLog = answer.head === 0 && !compiled;
    if (isEmptyLog) runGuarded('config-empty', () => apply(replica.state(), 'empty-log'));
    if (isReader()) await writeSnapshot();
  };

  const mayRead = (): boolean => {
    if (compiled) return isReader();
    // Peers come first, then the readers, and the log itself when neither has shown anything.
    const hasPeers = gossip.membership.marks().size > 0 || settings.peers.length > 0;
    if (!hasPeers) return true;
    const waitedMs = clock.monotonic() - startedAt;
    if (waitedMs >= settings.startTimeoutMs) return true;
    return waitedMs >= settings.startTimeoutMs * READER_PATIENCE_SHARE && isReader();
  };

  const readLog = async (): Promise<void> => {
    while (!isStopped) {
      /* eslint-disable no-await-in-loop -- one read after the other */
      if (!mayRead()) {
        await timers.setTimeout(DUTY_CHECK_MS);
      } else {
        try {
          await readOnce(compiled ? settings.platform.readWaitMs : 0);
        } catch (error) {
          if (isStopped) return;
          metrics.increment('config.log-failures');
          log.warn('log-unavailable', { reason: (error as Error).message });
          await timers.setTimeout(READ_RETRY_MS * (1 + random()));
        }
      }
      /* eslint-enable no-await-in-loop */
    }
  };

  bus.on('mark-seen', ({ id, mark }) => receiveMark(id, mark));
  ctx.peerServer.addMethods({
    'config.fetch': (params) => {
      const { position } = params as core.FetchRequest;
      const others = gossip
        .listReady(settings.dataCentre)
        .map(({ id }) => id)
        .filter((id) => id !== settings.id);
      return replica.answerFetch({ position: Number(position) }, clock.monotonic(), others);
    },
  });

  return {
    current: () => compiled,
    replica,
    readMark: () => ({
      position: compiled?.position ?? -1,
      version: compiled?.version ?? -1,
      digest: compiled?.digest ?? '',
    }),
    receiveMark,
    async waitForFirst(timeoutMs) {
      if (compiled) return true;
      await Promise.race([
        new Promise<void>((resolve) => {
          firstAppliedWaiters.push(resolve);
        }),
        timers.setTimeout(timeoutMs, undefined, { ref: false }),
      ]);
      return compiled !== undefined;
    },
    async start() {
      startedAt = clock.monotonic() - settings.startTimeoutMs * START_JITTER_SHARE * random();
      snapshotAt = clock.now() - settings.platform.retentionMs * SNAPSHOT_SHARE * random();
      readLog().catch((error: unknown) => ctx.reportError('read-log', error));
      await timers.setTimeout(MS_PER_SECOND / PUSH_FANOUT, undefined, { ref: false });
    },
    async stop() {
      isStopped = true;
      abort.abort();
      abort = new AbortController();
    },
  };
}
