/**
 * Keeps every customer within its contract for the fleet as a whole, without a central counter:
 * processes lend their shares to a keeper per data centre, keepers lend on to one for the fleet,
 * and tokens come back to where the calls are.
 */
import * as timersModule from 'node:timers/promises';
import * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import type * as configTask from './config-task.js';
import type * as gossipTask from './gossip-task.js';

const { z } = zod;

/** Groups over which customers are divided, each with its own keepers. */
const GROUPS = 4;
/** Term of a loan from a process to the keeper of its data centre. */
const MEMBER_TERM_MS = 4_000;
/** Term of a loan between keepers; shorter, so that what backs it outlasts it. */
const KEEPER_TERM_MS = 1_800;
/**
 * A loan counts from the answer before it, so it must last for more than two intervals, and
 * members' loans for a keeper's term more than that.
 */
const LEND_INTERVAL_MS = 1_000;
const KEEPER_LEND_INTERVAL_MS = 500;
const REQUEST_TIMEOUT_MS = 500;
/**
 * Time from the start until this process uses a share: by then all others know of it, and what an
 * earlier process of this host lent has run out.
 */
const JOIN_MS = MEMBER_TERM_MS;
/** Share that each level keeps for the time in which it cannot reach the next. */
const KEPT_SHARE = 0.02;
/** Share kept by a keeper, relative to what its data centre used lately. */
const KEEPER_HEADROOM = 1.3;
/**
 * Part of what is held that a keeper takes back per interval. What is taken back is of no use to
 * anyone for a term, so it is taken back slowly.
 */
const MAX_RECLAIM = 0.01;
const MS_PER_SECOND = 1_000;
/** Least time between two urgent questions about one customer. */
const URGENT_INTERVAL_MS = 50;
const NOT_ADMITTED_RETRY_MS = 250;
const MAX_COUNT = 1_000_000;

const lendSchema = z.object({
  level: z.enum(['member', 'keeper']),
  group: z.number().int().min(0).max(GROUPS),
  from: z.string(),
  share: z.number().min(0).max(1),
  exceptions: z.record(z.string(), z.number().min(0).max(1)),
  echo: z.number().nullable(),
});
const lendAnswerSchema = z.object({ stamp: z.number(), instance: z.string() });
const takeSchema = z.object({
  level: z.enum(['member', 'keeper']),
  wants: z.record(z.string(), z.number().int().min(0).max(MAX_COUNT)),
});
const takeAnswerSchema = z.object({ granted: z.record(z.string(), z.number().int()) });

type Level = zod.infer<typeof lendSchema>['level'];

/** Whether a call may go on. */
export type Admittance = { admitted: true } | { admitted: false; retryAfterMs: number };

/** The limits of this process. */
export interface LimitTask extends context.Task {
  /** Resolves when this process may use its share. */
  waitUntilJoined(): Promise<void>;
  /** Admits a call, waiting shortly for tokens when there are none here. */
  admit(contract: core.Contract): Admittance | Promise<Admittance>;
  /** Ends a call that was admitted. */
  release(customer: string): void;
  describe(customer: string): Record<string, number>;
}

interface Group {
  wallet: core.Wallet;
  /** Loans of this process to the keeper of its data centre. */
  lending: core.Lending;
  /** Loans of members, held as the keeper of a data centre. */
  pool: core.Pool;
  /** Loans of this process, as a keeper, to the keeper of the fleet. */
  onward: core.Lending;
  /** Loans of keepers, held as the keeper of the fleet. */
  fleetPool: core.Pool;
  /** Part of what is held that is not lent onward, where it is more than the least. */
  kept: Map<string, number>;
  /** Tokens taken per customer since the last loan onward. */
  taken: Map<string, number>;
}

function createGroup(): Group {
  const onward = core.createLending(KEEPER_TERM_MS);
  return {
    wallet: core.createWallet(core.walletDefaults),
    lending: core.createLending(MEMBER_TERM_MS),
    pool: core.createPool({
      termMs: MEMBER_TERM_MS,
      readLent: (customer, now) => onward.lentShare(customer, now),
    }),
    onward,
    fleetPool: core.createPool({ termMs: KEEPER_TERM_MS, readLent: () => 0 }),
    kept: new Map(),
    taken: new Map(),
  };
}

/**
 * Creates the limit task.
 *
 * @example
 * const limits = createLimitTask(context, gossip, config);
 * const admittance = await limits.admit(contract);
 */
export function createLimitTask(
  ctx: context.Context,
  gossip: gossipTask.GossipTask,
  config: configTask.ConfigTask,
): LimitTask {
  const { settings, clock, metrics, peers, instance, log } = ctx;
  const groups = Array.from({ length: GROUPS }, createGroup);
  const ownBuckets = new Map<string, core.TokenBucket>();
  const open = new Map<string, number>();
  const stamps = new Map<string, number>();
  const urgent = new Map<string, { at: number; answer: Promise<void> }>();
  const startedAt = clock.monotonic();
  const timers: NodeJS.Timeout[] = [];

  const findGroup = (customer: string): number => core.computeHash32(customer) % GROUPS;
  const getGroup = (index: number): Group => groups[index] as Group;

  /** Share of this process in every contract, lent or not. */
  const readBase = (now: number): number => {
    const compiled = config.current();
    if (!compiled) return 0;
    if (now - startedAt < JOIN_MS) return 0;
    const { dataCentres } = compiled;
    if (dataCentres.length > 0 && !dataCentres.includes(settings.dataCentre)) return 0;
    const known = gossip.membership
      .list()
      .filter(({ info, status }) => info.dataCentre === settings.dataCentre && status !== 'left');
    return 1 / (Math.max(1, dataCentres.length) * Math.max(1, known.length));
  };

  const findKeeper = (dataCentre: string, group: number): core.Member | undefined => {
    const holders = gossip.listHolders({ dataCentre });
    const ids = holders.map(({ id }) => id);
    const [id] = core.chooseHolders(`limits|${dataCentre}|${group}`, ids, 1);
    return holders.find((member) => member.id === id);
  };

  const findFleetKeeper = (group: number): core.Member | undefined => {
    const names = config.current()?.dataCentres ?? [];
    const [dataCentre] = core.chooseHolders(`limits|${group}`, names, 1);
    return findKeeper(dataCentre ?? settings.dataCentre, group);
  };

  const receiveLoan = (params: unknown): zod.infer<typeof lendAnswerSchema> => {
    const { level, group, ...loan } = lendSchema.parse(params);
    const now = clock.monotonic();
    const { pool, fleetPool } = getGroup(group);
    (level === 'member' ? pool : fleetPool).receiveLoan(loan, now);
    return { stamp: now, instance };
  };

  const lendTo = async (
    holder: core.Member,
    level: Level,
    group: number,
    table: core.ShareTable,
  ): Promise<void> => {
    const key = `${level}|${group}|${holder.info.instance}`;
    const loan = { level, group, from: instance, ...table, echo: stamps.get(key) ?? null };
    const answer =
      holder.id === settings.id
        ? receiveLoan(loan)
        : lendAnswerSchema.parse(
            await peers.request(ctx.locate(holder.info), 'limits.lend', loan, REQUEST_TIMEOUT_MS),
          );
    if (answer.instance === holder.info.instance) stamps.set(key, answer.stamp);
  };

  const lendAsMember = async (index: number, now: number): Promise<void> => {
    const { lending } = getGroup(index);
    const keeper = findKeeper(settings.dataCentre, index);
    if (!keeper) return;
    const holder = keeper.info.instance;
    const free = readBase(now) - lending.lentShare(undefined, now, holder);
    const table = { share: Math.max(0, free * (1 - KEPT_SHARE)), exceptions: {} };
    // Noted before it is sent, as it may arrive although the answer does not.
    lending.lend(holder, table, now);
    await lendTo(keeper, 'member', index, table);
  };

  const computeOnward = (index: number, now: number): core.ShareTable => {
    const { pool, taken, kept } = getGroup(index);
    const until = now + KEEPER_TERM_MS;
    const compiled = config.current();
    const exceptions: Record<string, number> = {};
    new Set([...taken.keys(), ...kept.keys()]).forEach((customer) => {
      const rate = compiled?.contracts.get(customer)?.ratePerSecond ?? 0;
      const calls = ((taken.get(customer) ?? 0) * MS_PER_SECOND) / KEEPER_LEND_INTERVAL_MS;
      const held = pool.shareUntil(customer, until);
      const wanted = rate > 0 && held > 0 ? (calls * KEEPER_HEADROOM) / rate / held : 0;
      const before = kept.get(customer) ?? KEPT_SHARE;
      const ratio = Math.max(KEPT_SHARE, Math.min(1, wanted, before + MAX_RECLAIM));
      if (ratio > KEPT_SHARE) kept.set(customer, ratio);
      else kept.delete(customer);
      exceptions[customer] = held * (1 - ratio);
    });
    taken.clear();
    return { share: pool.shareUntil(undefined, until) * (1 - KEPT_SHARE), exceptions };
  };

  const lendAsKeeper = async (index: number, now: number): Promise<void> => {
    const { onward, pool } = getGroup(index);
    if (findKeeper(settings.dataCentre, index)?.id !== settings.id) return;
    const fleetKeeper = findFleetKeeper(index);
    if (!fleetKeeper) return;
    const table = computeOnward(index, now);
    const holder = fleetKeeper.info.instance;
    const before = onward.lentShare(undefined, now, holder);
    const share = Math.max(0, Math.min(table.share, pool.shareUntil(undefined, now) - before));
    const limited = { share, exceptions: before > 0 ? {} : table.exceptions };
    onward.lend(holder, limited, now);
    await lendTo(fleetKeeper, 'keeper', index, limited);
  };

  const takeFrom = (
    level: Level,
    wants: Readonly<Record<string, number>>,
  ): Record<string, number> => {
    const compiled = config.current();
    const now = clock.monotonic();
    return Object.fromEntries(
      Object.entries(wants).flatMap(([customer, count]) => {
        const contract = compiled?.contracts.get(customer);
        if (!contract) return [];
        const { pool, fleetPool, taken } = getGroup(findGroup(customer));
        const source = level === 'member' ? pool : fleetPool;
        if (level === 'member') taken.set(customer, (taken.get(customer) ?? 0) + count);
        return [[customer, source.take(customer, contract, count, now)]];
      }),
    );
  };

  const requestTokens = async (
    keeper: core.Member,
    level: Level,
    wants: Readonly<Record<string, number>>,
  ): Promise<Record<string, number>> => {
    const answer = await peers.request(
      ctx.locate(keeper.info),
      'limits.take',
      { level, wants },
      REQUEST_TIMEOUT_MS,
    );
    return takeAnswerSchema.parse(answer).granted;
  };

  const subtract = (
    wants: Readonly<Record<string, number>>,
    granted: Readonly<Record<string, number>>,
  ): Record<string, number> =>
    Object.fromEntries(
      Object.entries(wants)
        .map(([customer, count]) => [customer, count - (granted[customer] ?? 0)] as const)
        .filter(([, count]) => count > 0),
    );

  /** Answers members as the keeper of the data centre, with the fleet's keeper behind it. */
  const takeForMembers = async (
    wants: Readonly<Record<string, number>>,
  ): Promise<Record<string, number>> => {
    const granted = takeFrom('member', wants);
    const missing = subtract(wants, granted);
    const [customer] = Object.keys(missing);
    if (customer === undefined) return granted;
    const keeper = findFleetKeeper(findGroup(customer));
    if (!keeper) return granted;
    try {
      const more =
        keeper.id === settings.id
          ? takeFrom('keeper', missing)
          : await requestTokens(keeper, 'keeper', missing);
      Object.entries(more).forEach(([name, count]) => {
        granted[name] = (granted[name] ?? 0) + count;
      });
    } catch {
      metrics.increment('limits.fleet-failures');
    }
    return granted;
  };

  const fetchTokens = async (
    group: number,
    wants: Readonly<Record<string, number>>,
  ): Promise<void> => {
    const keeper = findKeeper(settings.dataCentre, group);
    if (!keeper || Object.keys(wants).length === 0) return;
    const granted =
      keeper.id === settings.id
        ? await takeForMembers(wants)
        : await requestTokens(keeper, 'member', wants);
    const now = clock.monotonic();
    Object.entries(granted).forEach(([customer, count]) =>
      getGroup(group).wallet.deposit(customer, count, now),
    );
  };

  /** Brings the tokens that this process earns by what it has not lent up to date. */
  const updateOwn = (contract: core.Contract, base: number, now: number): core.TokenBucket => {
    const { lending } = getGroup(findGroup(contract.name));
    const share = Math.max(0, base - lending.lentShare(undefined, now));
    const bucket = ownBuckets.get(contract.name) ?? core.createTokenBucket(0, 0, now);
    ownBuckets.set(contract.name, bucket);
    bucket.setTerms(contract.ratePerSecond * share, contract.burst * share, now);
    return bucket;
  };

  const spendOwn = (contract: core.Contract, now: number): boolean =>
    updateOwn(contract, readBase(now), now).takeUpTo(1, now) === 1;

  const tickOwn = (now: number): void => {
    const base = readBase(now);
    const contracts = config.current()?.contracts ?? new Map<string, core.Contract>();
    contracts.forEach((contract) => updateOwn(contract, base, now));
    [...ownBuckets.keys()]
      .filter((customer) => !contracts.has(customer))
      .forEach((customer) => ownBuckets.delete(customer));
  };

  const spend = (contract: core.Contract, now: number): boolean => {
    const { wallet } = getGroup(findGroup(contract.name));
    return wallet.spend(contract.name, now) || spendOwn(contract, now);
  };

  const askUrgently = (customer: string, now: number): Promise<void> => {
    const known = urgent.get(customer);
    if (known && now - known.at < URGENT_INTERVAL_MS) return known.answer;
    const group = findGroup(customer);
    const count = Math.max(1, getGroup(group).wallet.listWants(now)[customer] ?? 0);
    const answer = fetchTokens(group, { [customer]: count }).catch(() => {
      metrics.increment('limits.keeper-failures');
    });
    urgent.set(customer, { at: now, answer });
    return answer;
  };

  const admitLater = async (contract: core.Contract): Promise<Admittance> => {
    await askUrgently(contract.name, clock.monotonic());
    if (!spend(contract, clock.monotonic())) {
      return { admitted: false, retryAfterMs: NOT_ADMITTED_RETRY_MS };
    }
    open.set(contract.name, (open.get(contract.name) ?? 0) + 1);
    return { admitted: true };
  };

  const runTick = (event: string, action: (now: number) => Promise<unknown>[]): void => {
    try {
      action(clock.monotonic()).forEach((pending) => {
        pending.catch(() => metrics.increment(`limits.${event}-failures`));
      });
    } catch (error) {
      ctx.reportError(event, error);
    }
  };

  ctx.peerServer.addMethods({
    'limits.lend': receiveLoan,
    'limits.take': async (params) => {
      const { level, wants } = takeSchema.parse(params);
      const granted = level === 'member' ? await takeForMembers(wants) : takeFrom('keeper', wants);
      return { granted };
    },
  });

  return {
    admit(contract) {
      const now = clock.monotonic();
      const { name } = contract;
      const maxOpen = Math.max(1, Math.ceil(contract.concurrency * readBase(now)));
      if ((open.get(name) ?? 0) >= maxOpen) {
        return { admitted: false, retryAfterMs: NOT_ADMITTED_RETRY_MS };
      }
      if (!spend(contract, now)) return admitLater(contract);
      open.set(name, (open.get(name) ?? 0) + 1);
      return { admitted: true };
    },
    release(customer) {
      const count = (open.get(customer) ?? 1) - 1;
      if (count > 0) open.set(customer, count);
      else open.delete(customer);
    },
    describe(customer) {
      const now = clock.monotonic();
      const group = getGroup(findGroup(customer));
      return {
        baseShare: readBase(now),
        lentShare: group.lending.lentShare(customer, now),
        keeperShare: group.pool.share(customer, now),
        keeperLentOn: group.onward.lentShare(customer, now),
        fleetKeeperShare: group.fleetPool.share(customer, now),
        demandPerSecond: group.wallet.demand(customer),
        open: open.get(customer) ?? 0,
      };
    },
    async waitUntilJoined() {
      const waitMs = JOIN_MS - (clock.monotonic() - startedAt);
      if (waitMs > 0) await timersModule.setTimeout(waitMs);
    },
    async start() {
      timers.push(
        setInterval(
          () =>
            runTick('lend', (now) => {
              tickOwn(now);
              return groups.flatMap((group, index) => {
                group.pool.tick(now);
                group.fleetPool.tick(now);
                return [lendAsMember(index, now)];
              });
            }),
          LEND_INTERVAL_MS,
        ),
        setInterval(
          () => runTick('lend', (now) => groups.map((_, index) => lendAsKeeper(index, now))),
          KEEPER_LEND_INTERVAL_MS,
        ),
        setInterval(
          () =>
            runTick('take', (now) =>
              groups.map((group, index) => fetchTokens(index, group.wallet.listWants(now))),
            ),
          core.walletDefaults.intervalMs,
        ),
      );
      log.debug('limits-started');
    },
    async stop() {
      timers.forEach((timer) => clearInterval(timer));
    },
  };
}
