/**
 * Claims orders. Each order key belongs to a partition, and rendezvous hashing assigns every
 * partition to one member, its claimer. This task submits entries to claimers and runs the claimers
 * of the partitions that are assigned to this process.
 */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as uuid from 'uuid';
import type * as context from '../context.js';
import type * as gossipTask from './gossip-task.js';

const MAX_CLAIMERS_PER_ENTRY = 3;
const TICK_INTERVAL_MS = 25;
const IDLE_TICK_INTERVAL_MS = 250;
const ENTRY_RETRY_MS = 1_000;
const ENTRY_TTL_MS = 300_000;
/** Time for which a claimer is not chosen after a request to it failed. */
const CLAIMER_BACK_OFF_MS = 2_000;
/** Time without requests after which a claimer is removed. */
const CLAIMER_IDLE_TIMEOUT_MS = 600_000;

/** Submits claims, outcomes and releases of orders for this process. */
export interface OrderTask extends context.Task {
  /** Claims an order key; the result is of type `unavailable` if no claimer could decide. */
  claim(orderKey: string, claimId: string, fingerprint: string): Promise<core.ClaimResult>;
  /** Releases the key of a claim whose order has not run and will not run. */
  release(orderKey: string, claimId: string): Promise<void>;
  /**
   * Counts the claimers in this process, the orders that they store, and the requests and entries
   * that are not resolved yet.
   */
  getStats(): { partitions: number; orders: number; waiting: number };
}

interface ActiveClaimer {
  claimer: core.Claimer;
  lastUsedAt: number;
}

/** A `done` or `release` entry, sent again until a claimer has recorded it or it expires. */
interface PendingEntry {
  entry: core.OrderEntry;
  expiresAt: number;
  isSending: boolean;
  nextAttemptAt: number;
}

/**
 * Creates the order task.
 *
 * @example
 * const orders = createOrderTask(context, gossip);
 * const result = await orders.claim(orderKey, claimId, fingerprint);
 */
export function createOrderTask(ctx: context.Context, gossip: gossipTask.GossipTask): OrderTask {
  const { settings, clock, bus, log, metrics, peerClient, logClient } = ctx;
  const claimers = new Map<number, ActiveClaimer>();
  const pendingRequests = new Map<string, (result: core.ClaimResult) => void>();
  const backOffUntilById = new Map<string, number>();
  const pendingEntries: PendingEntry[] = [];
  let tickTimer: NodeJS.Timeout | undefined;

  const performEffects = (partition: number, effects: readonly core.ClaimerEffect[]): void => {
    effects.forEach((effect) => {
      /* eslint-disable @typescript-eslint/no-use-before-define -- mutual recursion */
      if (effect.type === 'append') appendBatch(partition, effect.batch);
      else if (effect.type === 'read') readRecords(partition, effect.from);
      else {
        const resolve = pendingRequests.get(effect.requestId);
        pendingRequests.delete(effect.requestId);
        resolve?.(effect.result);
      }
      /* eslint-enable @typescript-eslint/no-use-before-define */
    });
  };

  const runClaimer = (
    partition: number,
    action: (claimer: core.Claimer, now: number) => core.ClaimerEffect[],
  ): void => {
    const active = claimers.get(partition);
    if (!active) return;
    try {
      performEffects(partition, action(active.claimer, clock.monotonic()));
    } catch (error) {
      ctx.reportError('claimer', error);
      claimers.delete(partition);
    }
  };

  const appendBatch = (partition: number, batch: core.OrderBatch): void => {
    metrics.increment('orders.appends');
    logClient
      .append(core.formatStreamName(partition), batch)
      .then((offset) =>
        runClaimer(partition, (claimer, now) => claimer.receiveAppended(offset, now)),
      )
      .catch((error: unknown) => {
        metrics.increment('orders.append-failures');
        log.warn('claim-append-failed', { partition, reason: (error as Error).message });
        runClaimer(partition, (claimer, now) => claimer.receiveAppendFailure(now));
      });
  };

  const readRecords = (partition: number, from: number): void => {
    metrics.increment('orders.reads');
    logClient
      .read(core.formatStreamName(partition), Math.max(0, from), 0)
      .then(({ records, first, head }) =>
        runClaimer(partition, (claimer, now) => claimer.receiveRecords(records, first, head, now)),
      )
      .catch(() => runClaimer(partition, (claimer, now) => claimer.receiveReadFailure(now)));
  };

  const getOrCreateClaimer = (partition: number): ActiveClaimer => {
    const existing = claimers.get(partition);
    if (existing) return existing;
    const active = {
      claimer: core.createClaimer(settings.orders, () => uuid.v4()),
      lastUsedAt: clock.monotonic(),
    };
    claimers.set(partition, active);
    log.info('claimer-started', { partition });
    return active;
  };

  const submitEntryLocally = (entry: core.OrderEntry): Promise<core.ClaimResult> => {
    const partition = core.computePartition(entry.key);
    getOrCreateClaimer(partition).lastUsedAt = clock.monotonic();
    const requestId = uuid.v4();
    return new Promise((resolve) => {
      pendingRequests.set(requestId, resolve);
      runClaimer(partition, (claimer, now) => claimer.request(requestId, entry, now));
    });
  };

  const chooseClaimers = (partition: number): core.Member[] => {
    const now = clock.monotonic();
    const available = gossip.membership
      .listMembers()
      .filter(
        ({ id, info, status }) =>
          status === 'alive' && info.ready && (backOffUntilById.get(id) ?? 0) <= now,
      );
    const ids = core.chooseByRendezvousHash(
      `orders|${partition}`,
      available.map(({ id }) => id),
      MAX_CLAIMERS_PER_ENTRY,
    );
    return ids.map((id) => gossip.membership.getMember(id) as core.Member);
  };

  const submitEntryTo = async (
    member: core.Member,
    entry: core.OrderEntry,
  ): Promise<core.ClaimResult> => {
    if (member.id === settings.id) return submitEntryLocally(entry);
    const peer = ctx.resolveEndpoint(member.info);
    const timeoutMs = settings.orders.requestTimeoutMs + settings.platform.timeoutMs;
    return (await peerClient.request(
      peer,
      'orders.request',
      { entry },
      timeoutMs,
    )) as core.ClaimResult;
  };

  const submitEntry = async (entry: core.OrderEntry): Promise<core.ClaimResult> => {
    const claimerMembers = chooseClaimers(core.computePartition(entry.key));
    let lastResult: core.ClaimResult = { type: 'unavailable', reason: 'no claimer' };
    for (const member of claimerMembers) {
      try {
        // The next claimer is tried only when this one is not ready or did not respond; its other
        // results are final.
        // eslint-disable-next-line no-await-in-loop
        lastResult = await submitEntryTo(member, entry);
        if (lastResult.type !== 'unavailable') return lastResult;
        log.warn('claim-unavailable', { claimer: member.id, reason: lastResult.reason });
        if (lastResult.reason !== 'claimer is not ready') return lastResult;
      } catch (error) {
        backOffUntilById.set(member.id, clock.monotonic() + CLAIMER_BACK_OFF_MS);
        lastResult = { type: 'unavailable', reason: (error as Error).message };
      }
    }
    return lastResult;
  };

  const addPendingEntry = (entry: core.OrderEntry): PendingEntry => {
    const pending = {
      entry,
      expiresAt: clock.monotonic() + ENTRY_TTL_MS,
      isSending: false,
      nextAttemptAt: 0,
    };
    pendingEntries.push(pending);
    return pending;
  };

  const removePendingEntry = (pending: PendingEntry): void => {
    const index = pendingEntries.indexOf(pending);
    if (index >= 0) pendingEntries.splice(index, 1);
  };

  const sendPendingEntry = async (pending: PendingEntry): Promise<void> => {
    pending.isSending = true;
    const result = await submitEntry(pending.entry);
    pending.isSending = false;
    pending.nextAttemptAt = clock.monotonic() + ENTRY_RETRY_MS;
    if (result.type === 'granted') removePendingEntry(pending);
    else metrics.increment('orders.settle-retries');
  };

  const retryPendingEntries = (now: number): void => {
    pendingEntries
      .filter(({ isSending, nextAttemptAt }) => !isSending && now >= nextAttemptAt)
      .forEach((pending) => {
        if (now >= pending.expiresAt) removePendingEntry(pending);
        else sendPendingEntry(pending).catch((error: unknown) => ctx.reportError('settle', error));
      });
  };

  const tick = (): void => {
    const now = clock.monotonic();
    claimers.forEach(({ lastUsedAt }, partition) => {
      runClaimer(partition, (claimer) => claimer.tick(now, clock.now()));
      if (now - lastUsedAt >= CLAIMER_IDLE_TIMEOUT_MS) claimers.delete(partition);
    });
    retryPendingEntries(now);
  };

  const scheduleTick = (): void => {
    const isIdle = claimers.size === 0 && pendingEntries.length === 0;
    tickTimer = setTimeout(
      () => {
        tick();
        scheduleTick();
      },
      isIdle ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS,
    );
  };

  bus.on('order-done', ({ orderKey, claimId, answer }) => {
    const pending = addPendingEntry({ type: 'done', key: orderKey, claimId, answer });
    sendPendingEntry(pending).catch((error: unknown) => ctx.reportError('settle', error));
  });

  ctx.peerServer.addMethods({
    'orders.request': (params) => {
      const { entry } = params as { entry: unknown };
      return submitEntryLocally(core.orderEntrySchema.parse(entry));
    },
  });

  return {
    claim: (orderKey, claimId, fingerprint) =>
      submitEntry({ type: 'claim', key: orderKey, claimId, fingerprint }),
    async release(orderKey, claimId) {
      const pending = addPendingEntry({ type: 'release', key: orderKey, claimId });
      await sendPendingEntry(pending);
    },
    getStats: () => {
      const claimerStats = [...claimers.values()].map(({ claimer }) => claimer.getStats());
      return {
        partitions: claimerStats.length,
        orders: claimerStats.reduce((sum, { orders }) => sum + orders, 0),
        waiting: pendingRequests.size + pendingEntries.length,
      };
    },
    async start() {
      scheduleTick();
    },
    async stop() {
      // Before the process ends, waits for pending entries to be recorded, for at most one retry
      // interval.
      const until = clock.monotonic() + ENTRY_RETRY_MS;
      while (pendingEntries.length > 0 && clock.monotonic() < until) {
        // eslint-disable-next-line no-await-in-loop
        await timers.setTimeout(TICK_INTERVAL_MS);
      }
      clearTimeout(tickTimer);
    },
  };
}
