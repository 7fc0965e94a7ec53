/** Claims orders: asks the claimer of a key's partition, and is the claimer of some partitions. */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as uuid from 'uuid';
import type * as context from '../context.js';
import type * as gossipTask from './gossip-task.js';

/** Claimers tried for one request before it is refused. */
const MAX_CLAIMERS = 3;
const TICK_MS = 25;
const IDLE_TICK_MS = 250;
const SETTLE_RETRY_MS = 1_000;
const SETTLE_TTL_MS = 300_000;
/** A claimer that failed is passed over for this long. */
const AVOID_MS = 2_000;
/** Partitions unused for this long are let go. */
const IDLE_MS = 600_000;

/** Claims and settles orders for this process. */
export interface OrderTask extends context.Task {
  claim(orderKey: string, claimId: string, fingerprint: string): Promise<core.ClaimResult>;
  /** Frees the key of a claim under which nothing ran or will run. */
  release(orderKey: string, claimId: string): Promise<void>;
  /** Reads what is known of a key that is taken, without claiming it. */
  stats(): { partitions: number; orders: number; waiting: number };
}

interface ActiveClaimer {
  claimer: core.Claimer;
  usedAt: number;
}

interface Settlement {
  entry: core.OrderEntry;
  until: number;
  isSending: boolean;
  nextAt: number;
}

/**
 * Creates the order task.
 *
 * @example
 * const orders = createOrderTask(context, gossip);
 * const result = await orders.claim(orderKey, claimId, fingerprint);
 */
export function createOrderTask(ctx: context.Context, gossip: gossipTask.GossipTask): OrderTask {
  const { settings, clock, bus, log, metrics, peers, platform } = ctx;
  const claimers = new Map<number, ActiveClaimer>();
  const waiting = new Map<string, (result: core.ClaimResult) => void>();
  const avoidUntil = new Map<string, number>();
  const settlements: Settlement[] = [];
  let timer: NodeJS.Timeout | undefined;

  const perform = (partition: number, effects: readonly core.ClaimerEffect[]): void => {
    effects.forEach((effect) => {
      /* eslint-disable @typescript-eslint/no-use-before-define -- mutual recursion */
      if (effect.type === 'append') append(partition, effect.batch);
      else if (effect.type === 'read') read(partition, effect.from);
      else {
        const resolve = waiting.get(effect.requestId);
        waiting.delete(effect.requestId);
        resolve?.(effect.result);
      }
      /* eslint-enable @typescript-eslint/no-use-before-define */
    });
  };

  const handle = (
    partition: number,
    action: (claimer: core.Claimer, now: number) => core.ClaimerEffect[],
  ): void => {
    const active = claimers.get(partition);
    if (!active) return;
    try {
      perform(partition, action(active.claimer, clock.monotonic()));
    } catch (error) {
      ctx.reportError('claimer', error);
      claimers.delete(partition);
    }
  };

  const append = (partition: number, batch: core.OrderBatch): void => {
    metrics.increment('orders.appends');
    platform
      .append(core.formatStream(partition), batch)
      .then((offset) => handle(partition, (claimer, now) => claimer.receiveAppended(offset, now)))
      .catch((error: unknown) => {
        metrics.increment('orders.append-failures');
        log.warn('claim-append-failed', { partition, reason: (error as Error).message });
        handle(partition, (claimer, now) => claimer.receiveAppendFailure(now));
      });
  };

  const read = (partition: number, from: number): void => {
    metrics.increment('orders.reads');
    platform
      .read(core.formatStream(partition), Math.max(0, from), 0)
      .then(({ records, first, head }) =>
        handle(partition, (claimer, now) => claimer.receiveRecords(records, first, head, now)),
      )
      .catch(() => handle(partition, (claimer, now) => claimer.receiveReadFailure(now)));
  };

  const getClaimer = (partition: number): ActiveClaimer => {
    const known = claimers.get(partition);
    if (known) return known;
    const active = {
      claimer: core.createClaimer(settings.orders, () => uuid.v4()),
      usedAt: clock.monotonic(),
    };
    claimers.set(partition, active);
    log.info('claimer-started', { partition });
    return active;
  };

  const requestHere = (entry: core.OrderEntry): Promise<core.ClaimResult> => {
    const partition = core.computePartition(entry.key);
    getClaimer(partition).usedAt = clock.monotonic();
    const requestId = uuid.v4();
    return new Promise((resolve) => {
      waiting.set(requestId, resolve);
      handle(partition, (claimer, now) => claimer.request(requestId, entry, now));
    });
  };

  const listClaimers = (partition: number): core.Member[] => {
    const now = clock.monotonic();
    const usable = gossip.membership
      .list()
      .filter(
        ({ id, info, status }) =>
          status === 'alive' && info.ready && (avoidUntil.get(id) ?? 0) <= now,
      );
    const ids = core.chooseHolders(
      `orders|${partition}`,
      usable.map(({ id }) => id),
      MAX_CLAIMERS,
    );
    return ids.map((id) => gossip.membership.get(id) as core.Member);
  };

  const requestAt = async (
    member: core.Member,
    entry: core.OrderEntry,
  ): Promise<core.ClaimResult> => {
    if (member.id === settings.id) return requestHere(entry);
    const peer = ctx.locate(member.info);
    const timeoutMs = settings.orders.requestTimeoutMs + settings.platform.timeoutMs;
    return (await peers.request(peer, 'orders.request', { entry }, timeoutMs)) as core.ClaimResult;
  };

  const request = async (entry: core.OrderEntry): Promise<core.ClaimResult> => {
    const candidates = listClaimers(core.computePartition(entry.key));
    let last: core.ClaimResult = { type: 'unavailable', reason: 'no claimer' };
    for (const member of candidates) {
      try {
        // The next claimer is asked only when the one before could not be reached.
        // eslint-disable-next-line no-await-in-loop
        last = await requestAt(member, entry);
        if (last.type !== 'unavailable') return last;
        log.warn('claim-unavailable', { claimer: member.id, reason: last.reason });
        if (last.reason !== 'claimer is not ready') return last;
      } catch (error) {
        avoidUntil.set(member.id, clock.monotonic() + AVOID_MS);
        last = { type: 'unavailable', reason: (error as Error).message };
      }
    }
    return last;
  };

  const settle = (entry: core.OrderEntry): Settlement => {
    const settlement = {
      entry,
      until: clock.monotonic() + SETTLE_TTL_MS,
      isSending: false,
      nextAt: 0,
    };
    settlements.push(settlement);
    return settlement;
  };

  const drop = (settlement: Settlement): void => {
    const index = settlements.indexOf(settlement);
    if (index >= 0) settlements.splice(index, 1);
  };

  const sendSettlement = async (settlement: Settlement): Promise<void> => {
    settlement.isSending = true;
    const result = await request(settlement.entry);
    settlement.isSending = false;
    settlement.nextAt = clock.monotonic() + SETTLE_RETRY_MS;
    if (result.type === 'granted') drop(settlement);
    else metrics.increment('orders.settle-retries');
  };

  const tickSettlements = (now: number): void => {
    settlements
      .filter(({ isSending, nextAt }) => !isSending && now >= nextAt)
      .forEach((settlement) => {
        if (now >= settlement.until) drop(settlement);
        else sendSettlement(settlement).catch((error: unknown) => ctx.reportError('settle', error));
      });
  };

  const tick = (): void => {
    const now = clock.monotonic();
    claimers.forEach(({ usedAt }, partition) => {
      handle(partition, (claimer) => claimer.tick(now, clock.now()));
      if (now - usedAt >= IDLE_MS) claimers.delete(partition);
    });
    tickSettlements(now);
  };

  const scheduleTick = (): void => {
    const isIdle = claimers.size === 0 && settlements.length === 0;
    timer = setTimeout(
      () => {
        tick();
        scheduleTick();
      },
      isIdle ? IDLE_TICK_MS : TICK_MS,
    );
  };

  bus.on('order-done', ({ orderKey, claimId, answer }) => {
    const settlement = settle({ type: 'done', key: orderKey, claimId, answer });
    sendSettlement(settlement).catch((error: unknown) => ctx.reportError('settle', error));
  });

  ctx.peerServer.addMethods({
    'orders.request': (params) => {
      const { entry } = params as { entry: unknown };
      return requestHere(core.orderEntrySchema.parse(entry));
    },
  });

  return {
    claim: (orderKey, claimId, fingerprint) =>
      request({ type: 'claim', key: orderKey, claimId, fingerprint }),
    async release(orderKey, claimId) {
      const settlement = settle({ type: 'release', key: orderKey, claimId });
      await sendSettlement(settlement);
    },
    stats: () => {
      const all = [...claimers.values()].map(({ claimer }) => claimer.stats());
      return {
        partitions: all.length,
        orders: all.reduce((sum, { orders }) => sum + orders, 0),
        waiting: waiting.size + settlements.length,
      };
    },
    async start() {
      scheduleTick();
    },
    async stop() {
      // Outcomes that are not recorded yet are sent before the process ends.
      const until = clock.monotonic() + SETTLE_RETRY_MS;
      while (settlements.length > 0 && clock.monotonic() < until) {
        // eslint-disable-next-line no-await-in-loop
        await timers.setTimeout(TICK_MS);
      }
      clearTimeout(timer);
    },
  };
}
