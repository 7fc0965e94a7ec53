/**
 * Pools the contract shares that other processes lease to this one, as the coordinator of its data
 * centre or of the fleet, and grants tokens from them. A data-centre coordinator requests the
 * tokens that its pool lacks from the fleet coordinator. In messages, status fields and metrics a
 * coordinator is called `keeper`.
 */
import * as core from '@figshed/core';
import type * as context from '../context.js';
import type * as configTask from '../tasks/config-task.js';
import * as constants from './constants.js';
import * as coordinatorClient from './coordinator-client.js';
import * as messages from './messages.js';
import * as coordinatorPlacement from './placement.js';

/** Coordinator state of one process; it exists whether or not the process is a coordinator now. */
export interface Coordinator extends coordinatorClient.CoordinatorMethods {
  client: coordinatorClient.CoordinatorClient;
  /**
   * Leases the share that the data centre does not need to the fleet coordinator. Does nothing when
   * this process is not the coordinator of its data centre.
   */
  renewFleetLease(group: number, now: number): Promise<void>;
  /** Creates the buckets of a new contract, each filled to the burst of its share. */
  createFullBuckets(contract: core.Contract, now: number): void;
  /** Updates the buckets of all customers and removes expired leases. */
  updatePools(now: number): void;
  /**
   * Returns the shares of a customer's contract that this process holds and leases as coordinator.
   */
  describe(customer: string, now: number): Record<string, number>;
}

interface GroupState {
  /** Leases from members, held as the coordinator of the data centre. */
  memberPool: core.LeasePool;
  /** Leases from this process, as the data-centre coordinator, to the fleet coordinator. */
  fleetLeases: core.GrantedLeases;
  /** Leases from data-centre coordinators, held as the coordinator of the fleet. */
  fleetPool: core.LeasePool;
  /**
   * Fraction of the held share that is not leased to the fleet coordinator, for each customer whose
   * fraction is above RESERVE_RATIO.
   */
  reservedRatios: Map<string, number>;
  /** Tokens requested per customer since the last lease to the fleet coordinator. */
  requestedTokens: Map<string, number>;
}

const MS_PER_SECOND = 1_000;

function createGroupState(): GroupState {
  const fleetLeases = core.createGrantedLeases(constants.COORDINATOR_LEASE_MS);
  return {
    memberPool: core.createLeasePool({
      leaseMs: constants.MEMBER_LEASE_MS,
      computeLeasedShare: (customer, now) => fleetLeases.computeLeasedShare(customer, now),
    }),
    fleetLeases,
    fleetPool: core.createLeasePool({
      leaseMs: constants.COORDINATOR_LEASE_MS,
      computeLeasedShare: () => 0,
    }),
    reservedRatios: new Map(),
    requestedTokens: new Map(),
  };
}

function computeMissingTokens(
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
 * Creates the coordinator state of a process, without leases.
 *
 * @example
 * const coordinator = createCoordinator(context, config, placement);
 */
export function createCoordinator(
  ctx: context.Context,
  config: configTask.ConfigTask,
  placement: coordinatorPlacement.Placement,
): Coordinator {
  const { settings, clock, metrics, instance } = ctx;
  const groups = Array.from({ length: constants.GROUP_COUNT }, createGroupState);
  const getGroup = (index: number): GroupState => groups[index] as GroupState;

  const receiveLease = (params: unknown): messages.LeaseResponse => {
    const { level, group, ...lease } = messages.leaseSchema.parse(params);
    const now = clock.monotonic();
    const { memberPool, fleetPool } = getGroup(group);
    (level === 'member' ? memberPool : fleetPool).receiveLease(lease, now);
    return { stamp: now, instance };
  };

  const computeFleetLease = (index: number, now: number): core.ShareTable => {
    const { memberPool, requestedTokens, reservedRatios } = getGroup(index);
    const until = now + constants.COORDINATOR_LEASE_MS;
    const compiled = config.getCurrent();
    const exceptions: Record<string, number> = {};
    new Set([...requestedTokens.keys(), ...reservedRatios.keys()]).forEach((customer) => {
      const rate = compiled?.contracts.get(customer)?.ratePerSecond ?? 0;
      const callsPerSecond =
        ((requestedTokens.get(customer) ?? 0) * MS_PER_SECOND) /
        constants.COORDINATOR_RENEWAL_INTERVAL_MS;
      const heldShare = memberPool.computeShareHeldUntil(customer, until);
      const wantedRatio =
        rate > 0 && heldShare > 0
          ? (callsPerSecond * constants.RESERVE_HEADROOM) / rate / heldShare
          : 0;
      const previousRatio = reservedRatios.get(customer) ?? constants.RESERVE_RATIO;
      const ratio = Math.max(
        constants.RESERVE_RATIO,
        Math.min(1, wantedRatio, previousRatio + constants.MAX_RECLAIM_RATIO),
      );
      if (ratio > constants.RESERVE_RATIO) reservedRatios.set(customer, ratio);
      else reservedRatios.delete(customer);
      exceptions[customer] = heldShare * (1 - ratio);
    });
    requestedTokens.clear();
    return {
      share: memberPool.computeShareHeldUntil(undefined, until) * (1 - constants.RESERVE_RATIO),
      exceptions,
    };
  };

  const takeFromPool = (
    level: messages.Level,
    wants: messages.TokenCounts,
  ): Record<string, number> => {
    const compiled = config.getCurrent();
    const now = clock.monotonic();
    return Object.fromEntries(
      Object.entries(wants).flatMap(([customer, count]) => {
        const contract = compiled?.contracts.get(customer);
        if (!contract) return [];
        const { memberPool, fleetPool, requestedTokens } = getGroup(
          coordinatorPlacement.computeGroup(customer),
        );
        const pool = level === 'member' ? memberPool : fleetPool;
        if (level === 'member')
          requestedTokens.set(customer, (requestedTokens.get(customer) ?? 0) + count);
        return [[customer, pool.takeTokens(customer, contract, count, now)]];
      }),
    );
  };

  /** Grants tokens from the data centre's pool and requests the missing ones from the fleet. */
  const takeForMember = async (wants: messages.TokenCounts): Promise<messages.TokenCounts> => {
    const granted = takeFromPool('member', wants);
    const missing = computeMissingTokens(wants, granted);
    // All customers of a request are in the same group.
    const [customer] = Object.keys(missing);
    if (customer === undefined) return granted;
    const fleetCoordinator = placement.findFleetCoordinator(
      coordinatorPlacement.computeGroup(customer),
    );
    if (!fleetCoordinator) return granted;
    try {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
      const grantedByFleet = await client.requestTokens(fleetCoordinator, 'keeper', missing);
      Object.entries(grantedByFleet).forEach(([name, count]) => {
        granted[name] = (granted[name] ?? 0) + count;
      });
    } catch {
      metrics.increment('limits.fleet-failures');
    }
    return granted;
  };

  const grantTokens: Coordinator['grantTokens'] = async (level, wants) =>
    level === 'member' ? takeForMember(wants) : takeFromPool('keeper', wants);

  const client = coordinatorClient.createCoordinatorClient(ctx, { receiveLease, grantTokens });

  const renewFleetLease = async (index: number, now: number): Promise<void> => {
    const { fleetLeases, memberPool } = getGroup(index);
    if (placement.findCoordinator(settings.dataCentre, index)?.id !== settings.id) return;
    const fleetCoordinator = placement.findFleetCoordinator(index);
    if (!fleetCoordinator) return;
    const wantedLease = computeFleetLease(index, now);
    const coordinatorInstance = fleetCoordinator.info.instance;
    const leasedElsewhere = fleetLeases.computeLeasedShare(undefined, now, coordinatorInstance);
    // Leases to an earlier fleet coordinator may be in force; their share is not leased twice.
    const share = Math.max(
      0,
      Math.min(
        wantedLease.share,
        memberPool.computeShareHeldUntil(undefined, now) - leasedElsewhere,
      ),
    );
    const lease = { share, exceptions: leasedElsewhere > 0 ? {} : wantedLease.exceptions };
    fleetLeases.grant(coordinatorInstance, lease, now);
    await client.sendLease(fleetCoordinator, { level: 'keeper', group: index, ...lease });
  };

  return {
    client,
    receiveLease,
    grantTokens,
    renewFleetLease,
    createFullBuckets(contract, now) {
      const { memberPool, fleetPool } = getGroup(coordinatorPlacement.computeGroup(contract.name));
      memberPool.createFullBucket(contract.name, contract, now);
      fleetPool.createFullBucket(contract.name, contract, now);
    },
    updatePools(now) {
      const contracts = [...(config.getCurrent()?.contracts ?? [])];
      groups.forEach(({ memberPool, fleetPool }, index) => {
        const customers = new Map(
          contracts.filter(([customer]) => coordinatorPlacement.computeGroup(customer) === index),
        );
        memberPool.updateBuckets(customers, now);
        fleetPool.updateBuckets(customers, now);
      });
    },
    describe(customer, now) {
      const { memberPool, fleetLeases, fleetPool } = getGroup(
        coordinatorPlacement.computeGroup(customer),
      );
      return {
        keeperShare: memberPool.computeAvailableShare(customer, now),
        keeperLentOn: fleetLeases.computeLeasedShare(customer, now),
        fleetKeeperShare: fleetPool.computeAvailableShare(customer, now),
      };
    },
  };
}
