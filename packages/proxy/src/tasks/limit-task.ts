/**
 * Keeps every customer within its contract for the fleet as a whole, without a central counter:
 * processes lend their shares to a keeper per data centre, keepers lend on to one for the fleet,
 * and tokens come back to where the calls are.
 */
import * as timersModule from 'node:timers/promises';
import * as core from '@figshed/core';
import type * as context from '../context.js';
import * as constants from '../limits/constants.js';
import * as keeperModule from '../limits/keeper.js';
import * as messages from '../limits/messages.js';
import * as placementModule from '../limits/placement.js';
import type * as configTask from './config-task.js';
import type * as gossipTask from './gossip-task.js';

/** Questions for tokens that one call waits for at most. */
const MAX_ASKS = 4;

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

interface UrgentState {
  /** Calls that wait for tokens. */
  waiting: number;
  /** When a question last brought none. */
  emptyAt: number;
  asking: Promise<void> | undefined;
}

interface Group {
  wallet: core.Wallet;
  /** Loans of this process to the keeper of its data centre. */
  lending: core.Lending;
}

function createGroup(): Group {
  return {
    wallet: core.createWallet(core.walletDefaults),
    lending: core.createLending(constants.MEMBER_TERM_MS),
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
  const { settings, clock, metrics, log } = ctx;
  const placement = placementModule.createPlacement(settings.dataCentre, gossip, config);
  const keeper = keeperModule.createKeeper(ctx, config, placement);
  const groups = Array.from({ length: constants.GROUPS }, createGroup);
  const ownBuckets = new Map<string, core.TokenBucket>();
  const open = new Map<string, number>();
  const urgent = new Map<string, UrgentState>();
  let lastConfig: core.CompiledConfig | undefined;
  const startedAt = clock.monotonic();
  const timers: NodeJS.Timeout[] = [];

  const getGroup = (index: number): Group => groups[index] as Group;

  /** Share of this process in every contract, lent or not. */
  const readBase = (now: number): number => {
    const compiled = config.current();
    if (!compiled) return 0;
    if (now - startedAt < constants.JOIN_MS) return 0;
    const { dataCentres } = compiled;
    if (dataCentres.length > 0 && !dataCentres.includes(settings.dataCentre)) return 0;
    const known = gossip.membership
      .list()
      .filter(({ info, status }) => info.dataCentre === settings.dataCentre && status !== 'left');
    return 1 / (Math.max(1, dataCentres.length) * Math.max(1, known.length));
  };

  const lendAsMember = async (index: number, now: number): Promise<void> => {
    const { lending } = getGroup(index);
    const holder = placement.findKeeper(settings.dataCentre, index);
    if (!holder) return;
    const { instance } = holder.info;
    const free = readBase(now) - lending.lentShare(undefined, now, instance);
    const table = { share: Math.max(0, free * (1 - constants.KEPT_SHARE)), exceptions: {} };
    // Noted before it is sent, as it may arrive although the answer does not.
    lending.lend(instance, table, now);
    await keeper.client.lend(holder, { level: 'member', group: index, ...table });
  };

  const fetchTokens = async (
    group: number,
    wants: messages.TokenCounts,
  ): Promise<messages.TokenCounts> => {
    const holder = placement.findKeeper(settings.dataCentre, group);
    if (!holder || Object.keys(wants).length === 0) return {};
    const granted = await keeper.client.take(holder, 'member', wants);
    const now = clock.monotonic();
    Object.entries(granted).forEach(([customer, count]) =>
      getGroup(group).wallet.deposit(customer, count, now),
    );
    return granted;
  };

  const readOwnShare = (customer: string, base: number, now: number): number => {
    const { lending } = getGroup(placementModule.findGroup(customer));
    return Math.max(0, base - lending.lentShare(undefined, now));
  };

  /** Brings the tokens that this process earns by what it has not lent up to date. */
  const updateOwn = (contract: core.Contract, base: number, now: number): core.TokenBucket => {
    const share = readOwnShare(contract.name, base, now);
    const bucket = ownBuckets.get(contract.name) ?? core.createTokenBucket(0, 0, now);
    ownBuckets.set(contract.name, bucket);
    bucket.setTerms(contract.ratePerSecond * share, contract.burst * share, now);
    return bucket;
  };

  /** Contracts that were not in force before start with their burst, wherever shares are held. */
  const openNew = (next: core.CompiledConfig): void => {
    const before = lastConfig;
    lastConfig = next;
    if (!before) return;
    const now = clock.monotonic();
    next.contracts.forEach((contract, customer) => {
      if (before.contracts.has(customer)) return;
      keeper.open(contract, now);
      const share = readOwnShare(customer, readBase(now), now);
      const [rate, burst] = [contract.ratePerSecond * share, contract.burst * share];
      ownBuckets.set(customer, core.createTokenBucket(rate, burst, now, burst));
    });
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
    const { wallet } = getGroup(placementModule.findGroup(contract.name));
    return wallet.spend(contract.name, now) || spendOwn(contract, now);
  };

  const getUrgent = (customer: string): UrgentState => {
    const state = urgent.get(customer) ?? { waiting: 0, emptyAt: -Infinity, asking: undefined };
    urgent.set(customer, state);
    return state;
  };

  /** Asks for as many tokens as calls wait; one question per customer at a time. */
  const askUrgently = (customer: string): Promise<void> => {
    const state = getUrgent(customer);
    if (state.asking) return state.asking;
    const group = placementModule.findGroup(customer);
    state.asking = fetchTokens(group, { [customer]: Math.max(1, state.waiting) })
      .then((granted) => {
        if ((granted[customer] ?? 0) === 0) state.emptyAt = clock.monotonic();
      })
      .catch(() => {
        state.emptyAt = clock.monotonic();
        metrics.increment('limits.keeper-failures');
      })
      .finally(() => {
        state.asking = undefined;
      });
    return state.asking;
  };

  const isEmptyLately = (customer: string): boolean => {
    const state = urgent.get(customer);
    return state !== undefined && clock.monotonic() - state.emptyAt < constants.URGENT_INTERVAL_MS;
  };

  const countWaiting = (customer: string, change: number): void => {
    getUrgent(customer).waiting += change;
  };

  const admitLater = async (contract: core.Contract): Promise<Admittance> => {
    const { name } = contract;
    countWaiting(name, 1);
    let isAdmitted = false;
    // The first question may have been asked before this call came, for others.
    for (let tries = 0; tries < MAX_ASKS && !isAdmitted && !isEmptyLately(name); tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- one question after the other
      await askUrgently(name);
      isAdmitted = spend(contract, clock.monotonic());
    }
    countWaiting(name, -1);
    if (!isAdmitted) {
      return { admitted: false, retryAfterMs: constants.NOT_ADMITTED_RETRY_MS };
    }
    open.set(name, (open.get(name) ?? 0) + 1);
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

  ctx.bus.on('config-applied', ({ config: next }) => openNew(next));
  ctx.peerServer.addMethods({
    'limits.lend': (params) => keeper.receiveLoan(params),
    'limits.take': async (params) => {
      const { level, wants } = messages.takeSchema.parse(params);
      return { granted: await keeper.take(level, wants) };
    },
  });

  return {
    admit(contract) {
      const now = clock.monotonic();
      const { name } = contract;
      const maxOpen = Math.max(1, Math.ceil(contract.concurrency * readBase(now)));
      if ((open.get(name) ?? 0) >= maxOpen) {
        return { admitted: false, retryAfterMs: constants.NOT_ADMITTED_RETRY_MS };
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
      const group = getGroup(placementModule.findGroup(customer));
      return {
        baseShare: readBase(now),
        lentShare: group.lending.lentShare(customer, now),
        ...keeper.describe(customer, now),
        demandPerSecond: group.wallet.demand(customer),
        open: open.get(customer) ?? 0,
      };
    },
    async waitUntilJoined() {
      const waitMs = constants.JOIN_MS - (clock.monotonic() - startedAt);
      if (waitMs > 0) await timersModule.setTimeout(waitMs);
    },
    async start() {
      timers.push(
        setInterval(
          () =>
            runTick('lend', (now) => {
              tickOwn(now);
              keeper.tick(now);
              return groups.map((_, index) => lendAsMember(index, now));
            }),
          constants.LEND_INTERVAL_MS,
        ),
        setInterval(
          () => runTick('lend', (now) => groups.map((_, index) => keeper.lendOnward(index, now))),
          constants.KEEPER_LEND_INTERVAL_MS,
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
