/** Keeps the shares that others lend, for a data centre or for the fleet, and gives out tokens. */
import * as core from '@figshed/core';
import type * as context from '../context.js';
import type * as configTask from '../tasks/config-task.js';
import * as constants from './constants.js';
import * as keeperClient from './keeper-client.js';
import * as messages from './messages.js';
import * as placementModule from './placement.js';

/** The keeper's side of one process, whether or not it is a keeper at the moment. */
export interface Keeper extends keeperClient.KeeperMethods {
  client: keeperClient.KeeperClient;
  /** Lends onward what the data centre does not need, as its keeper. */
  lendOnward(group: number, now: number): Promise<void>;
  /** Starts a contract that was not in force before. */
  open(contract: core.Contract, now: number): void;
  tick(now: number): void;
  describe(customer: string, now: number): Record<string, number>;
}

interface Group {
  /** Loans of members, held as the keeper of a data centre. */
  pool: core.Pool;
  /** Loans of this process, as a keeper, to the keeper of the fleet. */
  onward: core.Lending;
  /** Loans of keepers, held as the keeper of the fleet. */
  fleetPool: core.Pool;
  /** Part of what is held that is not lent onward, where it is more than the least. */
  kept: Map<string, number>;
  /** Tokens asked for per customer since the last loan onward. */
  taken: Map<string, number>;
}

const MS_PER_SECOND = 1_000;

function createGroup(): Group {
  const onward = core.createLending(constants.KEEPER_TERM_MS);
  return {
    pool: core.createPool({
      termMs: constants.MEMBER_TERM_MS,
      readLent: (customer, now) => onward.lentShare(customer, now),
    }),
    onward,
    fleetPool: core.createPool({ termMs: constants.KEEPER_TERM_MS, readLent: () => 0 }),
    kept: new Map(),
    taken: new Map(),
  };
}

function subtract(
  wants: messages.TokenCounts,
  granted: messages.TokenCounts,
): messages.TokenCounts {
  return Object.fromEntries(
    Object.entries(wants)
      .map(([customer, count]) => [customer, count - (granted[customer] ?? 0)] as const)
      .filter(([, count]) => count > 0),
  );
}

/**
 * Creates the keeper's side.
 *
 * @example
 * const keeper = createKeeper(context, config, placement);
 */
export function createKeeper(
  ctx: context.Context,
  config: configTask.ConfigTask,
  placement: placementModule.Placement,
): Keeper {
  const { settings, clock, metrics, instance } = ctx;
  const groups = Array.from({ length: constants.GROUPS }, createGroup);
  const getGroup = (index: number): Group => groups[index] as Group;

  const receiveLoan = (params: unknown): messages.LendAnswer => {
    const { level, group, ...loan } = messages.lendSchema.parse(params);
    const now = clock.monotonic();
    const { pool, fleetPool } = getGroup(group);
    (level === 'member' ? pool : fleetPool).receiveLoan(loan, now);
    return { stamp: now, instance };
  };

  const computeOnward = (index: number, now: number): core.ShareTable => {
    const { pool, taken, kept } = getGroup(index);
    const until = now + constants.KEEPER_TERM_MS;
    const compiled = config.current();
    const exceptions: Record<string, number> = {};
    new Set([...taken.keys(), ...kept.keys()]).forEach((customer) => {
      const rate = compiled?.contracts.get(customer)?.ratePerSecond ?? 0;
      const calls =
        ((taken.get(customer) ?? 0) * MS_PER_SECOND) / constants.KEEPER_LEND_INTERVAL_MS;
      const held = pool.shareUntil(customer, until);
      const wanted = rate > 0 && held > 0 ? (calls * constants.KEEPER_HEADROOM) / rate / held : 0;
      const before = kept.get(customer) ?? constants.KEPT_SHARE;
      const ratio = Math.max(
        constants.KEPT_SHARE,
        Math.min(1, wanted, before + constants.MAX_RECLAIM),
      );
      if (ratio > constants.KEPT_SHARE) kept.set(customer, ratio);
      else kept.delete(customer);
      exceptions[customer] = held * (1 - ratio);
    });
    taken.clear();
    return { share: pool.shareUntil(undefined, until) * (1 - constants.KEPT_SHARE), exceptions };
  };

  const takeFrom = (level: messages.Level, wants: messages.TokenCounts): Record<string, number> => {
    const compiled = config.current();
    const now = clock.monotonic();
    return Object.fromEntries(
      Object.entries(wants).flatMap(([customer, count]) => {
        const contract = compiled?.contracts.get(customer);
        if (!contract) return [];
        const { pool, fleetPool, taken } = getGroup(placementModule.findGroup(customer));
        const source = level === 'member' ? pool : fleetPool;
        if (level === 'member') taken.set(customer, (taken.get(customer) ?? 0) + count);
        return [[customer, source.take(customer, contract, count, now)]];
      }),
    );
  };

  /** Answers members as the keeper of the data centre, with the fleet's keeper behind it. */
  const takeForMembers = async (wants: messages.TokenCounts): Promise<messages.TokenCounts> => {
    const granted = takeFrom('member', wants);
    const missing = subtract(wants, granted);
    const [customer] = Object.keys(missing);
    if (customer === undefined) return granted;
    const fleetKeeper = placement.findFleetKeeper(placementModule.findGroup(customer));
    if (!fleetKeeper) return granted;
    try {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the parts know each other
      const more = await client.take(fleetKeeper, 'keeper', missing);
      Object.entries(more).forEach(([name, count]) => {
        granted[name] = (granted[name] ?? 0) + count;
      });
    } catch {
      metrics.increment('limits.fleet-failures');
    }
    return granted;
  };

  const take: Keeper['take'] = async (level, wants) =>
    level === 'member' ? takeForMembers(wants) : takeFrom('keeper', wants);

  const client = keeperClient.createKeeperClient(ctx, { receiveLoan, take });

  const lendOnward = async (index: number, now: number): Promise<void> => {
    const { onward, pool } = getGroup(index);
    if (placement.findKeeper(settings.dataCentre, index)?.id !== settings.id) return;
    const fleetKeeper = placement.findFleetKeeper(index);
    if (!fleetKeeper) return;
    const table = computeOnward(index, now);
    const holder = fleetKeeper.info.instance;
    const before = onward.lentShare(undefined, now, holder);
    const share = Math.max(0, Math.min(table.share, pool.shareUntil(undefined, now) - before));
    const limited = { share, exceptions: before > 0 ? {} : table.exceptions };
    onward.lend(holder, limited, now);
    await client.lend(fleetKeeper, { level: 'keeper', group: index, ...limited });
  };

  return {
    client,
    receiveLoan,
    take,
    lendOnward,
    open(contract, now) {
      const { pool, fleetPool } = getGroup(placementModule.findGroup(contract.name));
      pool.open(contract.name, contract, now);
      fleetPool.open(contract.name, contract, now);
    },
    tick(now) {
      const contracts = [...(config.current()?.contracts ?? [])];
      groups.forEach(({ pool, fleetPool }, index) => {
        const customers = new Map(
          contracts.filter(([customer]) => placementModule.findGroup(customer) === index),
        );
        pool.tick(customers, now);
        fleetPool.tick(customers, now);
      });
    },
    describe(customer, now) {
      const { pool, onward, fleetPool } = getGroup(placementModule.findGroup(customer));
      return {
        keeperShare: pool.share(customer, now),
        keeperLentOn: onward.lentShare(customer, now),
        fleetKeeperShare: fleetPool.share(customer, now),
      };
    },
  };
}
