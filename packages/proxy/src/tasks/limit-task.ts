/**
 * Enforces the rate limit of each customer's contract over the whole fleet, without a central
 * counter. Every process has a share of each contract and leases most of it to the coordinator of
 * its data centre, a member that pools these shares. These coordinators lease what their data
 * centre does not use to the coordinator of the fleet. Processes with calls take tokens from the
 * pools.
 */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import type * as context from '../context.js';
import * as constants from '../limits/constants.js';
import * as coordinators from '../limits/coordinator.js';
import * as messages from '../limits/messages.js';
import * as coordinatorPlacement from '../limits/placement.js';
import type * as configTask from './config-task.js';
import type * as gossipTask from './gossip-task.js';

/** Maximum number of token requests that one call waits for. */
const MAX_TOKEN_REQUESTS = 4;

/** Whether a call is admitted, and if not, the delay before a retry in milliseconds. */
export type Admission = { isAdmitted: true } | { isAdmitted: false; retryAfterMs: number };

/** Admits calls within the limits of their contracts. */
export interface LimitTask extends context.Task {
  /** Waits until this process may use its share of the contracts. */
  waitUntilJoined(): Promise<void>;
  /**
   * Admits or refuses a call; requests tokens from the coordinator first if this process has none
   * left.
   */
  admit(contract: core.Contract): Admission | Promise<Admission>;
  /** Ends a call that was admitted. */
  release(customer: string): void;
  /** Returns shares, demand (calls per second) and open calls of a customer. */
  describe(customer: string): Record<string, number>;
}

interface TokenRequestState {
  /** Calls that wait for tokens. */
  waitingCalls: number;
  /** Time of the last request that returned no tokens. */
  lastEmptyAt: number;
  pendingRequest: Promise<void> | undefined;
}

/** State of one group of customers; each group has its own coordinators. */
interface CustomerGroup {
  tokens: core.TokenCache;
  /** Leases from this process to the coordinator of its data centre. */
  leases: core.GrantedLeases;
}

function createCustomerGroup(): CustomerGroup {
  return {
    tokens: core.createTokenCache(core.tokenCacheDefaults),
    leases: core.createGrantedLeases(constants.MEMBER_LEASE_MS),
  };
}

/**
 * Creates the limit task.
 *
 * @example
 * const limits = createLimitTask(context, gossip, config);
 * const { isAdmitted } = await limits.admit(contract);
 */
export function createLimitTask(
  ctx: context.Context,
  gossip: gossipTask.GossipTask,
  config: configTask.ConfigTask,
): LimitTask {
  const { settings, clock, metrics, log } = ctx;
  const placement = coordinatorPlacement.createPlacement(settings.dataCentre, gossip, config);
  const coordinator = coordinators.createCoordinator(ctx, config, placement);
  const groups = Array.from({ length: constants.GROUP_COUNT }, createCustomerGroup);
  const localBuckets = new Map<string, core.TokenBucket>();
  const openCalls = new Map<string, number>();
  const tokenRequests = new Map<string, TokenRequestState>();
  let previousConfig: core.CompiledConfig | undefined;
  const startedAt = clock.monotonic();
  const intervals: NodeJS.Timeout[] = [];

  const getGroup = (index: number): CustomerGroup => groups[index] as CustomerGroup;

  /** Computes the share of this process in every contract, leased or not. */
  const computeBaseShare = (now: number): number => {
    const compiled = config.getCurrent();
    if (!compiled) return 0;
    if (now - startedAt < constants.JOIN_DELAY_MS) return 0;
    const { dataCentres } = compiled;
    if (dataCentres.length > 0 && !dataCentres.includes(settings.dataCentre)) return 0;
    const members = gossip.membership
      .listMembers()
      .filter(({ info, status }) => info.dataCentre === settings.dataCentre && status !== 'left');
    return 1 / (Math.max(1, dataCentres.length) * Math.max(1, members.length));
  };

  const renewMemberLease = async (index: number, now: number): Promise<void> => {
    const { leases } = getGroup(index);
    const coordinatorMember = placement.findCoordinator(settings.dataCentre, index);
    if (!coordinatorMember) return;
    const { instance } = coordinatorMember.info;
    const freeShare = computeBaseShare(now) - leases.computeLeasedShare(undefined, now, instance);
    const table = { share: Math.max(0, freeShare * (1 - constants.RESERVE_RATIO)), exceptions: {} };
    // Recorded before it is sent, because the lease may take effect although the response is lost.
    leases.grant(instance, table, now);
    await coordinator.client.sendLease(coordinatorMember, {
      level: 'member',
      group: index,
      ...table,
    });
  };

  const fetchTokens = async (
    group: number,
    wants: messages.TokenCounts,
  ): Promise<messages.TokenCounts> => {
    const coordinatorMember = placement.findCoordinator(settings.dataCentre, group);
    if (!coordinatorMember || Object.keys(wants).length === 0) return {};
    const granted = await coordinator.client.requestTokens(coordinatorMember, 'member', wants);
    const now = clock.monotonic();
    Object.entries(granted).forEach(([customer, count]) =>
      getGroup(group).tokens.addTokens(customer, count, now),
    );
    return granted;
  };

  const computeLocalShare = (customer: string, baseShare: number, now: number): number => {
    const { leases } = getGroup(coordinatorPlacement.computeGroup(customer));
    return Math.max(0, baseShare - leases.computeLeasedShare(undefined, now));
  };

  /** Updates the bucket that is filled at the rate of the share that is not leased. */
  const updateLocalBucket = (
    contract: core.Contract,
    baseShare: number,
    now: number,
  ): core.TokenBucket => {
    const share = computeLocalShare(contract.name, baseShare, now);
    const bucket = localBuckets.get(contract.name) ?? core.createTokenBucket(0, 0, now);
    localBuckets.set(contract.name, bucket);
    bucket.setLimits(contract.ratePerSecond * share, contract.burst * share, now);
    return bucket;
  };

  /** Creates full buckets for the contracts that the previous configuration did not have. */
  const createBucketsOfNewContracts = (next: core.CompiledConfig): void => {
    const previous = previousConfig;
    previousConfig = next;
    if (!previous) return;
    const now = clock.monotonic();
    next.contracts.forEach((contract, customer) => {
      if (previous.contracts.has(customer)) return;
      coordinator.createFullBuckets(contract, now);
      const share = computeLocalShare(customer, computeBaseShare(now), now);
      const [rate, burst] = [contract.ratePerSecond * share, contract.burst * share];
      localBuckets.set(customer, core.createTokenBucket(rate, burst, now, burst));
    });
  };

  const tryTakeLocalToken = (contract: core.Contract, now: number): boolean =>
    updateLocalBucket(contract, computeBaseShare(now), now).takeUpTo(1, now) === 1;

  const updateLocalBuckets = (now: number): void => {
    const baseShare = computeBaseShare(now);
    const contracts = config.getCurrent()?.contracts ?? new Map<string, core.Contract>();
    contracts.forEach((contract) => updateLocalBucket(contract, baseShare, now));
    [...localBuckets.keys()]
      .filter((customer) => !contracts.has(customer))
      .forEach((customer) => localBuckets.delete(customer));
  };

  const tryTakeToken = (contract: core.Contract, now: number): boolean => {
    const { tokens } = getGroup(coordinatorPlacement.computeGroup(contract.name));
    return tokens.takeToken(contract.name, now) || tryTakeLocalToken(contract, now);
  };

  const getTokenRequestState = (customer: string): TokenRequestState => {
    const state = tokenRequests.get(customer) ?? {
      waitingCalls: 0,
      lastEmptyAt: -Infinity,
      pendingRequest: undefined,
    };
    tokenRequests.set(customer, state);
    return state;
  };

  /** Requests a token for each waiting call, with one request per customer at a time. */
  const requestTokensForWaitingCalls = (customer: string): Promise<void> => {
    const state = getTokenRequestState(customer);
    if (state.pendingRequest) return state.pendingRequest;
    const group = coordinatorPlacement.computeGroup(customer);
    state.pendingRequest = fetchTokens(group, { [customer]: Math.max(1, state.waitingCalls) })
      .then((granted) => {
        if ((granted[customer] ?? 0) === 0) state.lastEmptyAt = clock.monotonic();
      })
      .catch(() => {
        state.lastEmptyAt = clock.monotonic();
        metrics.increment('limits.keeper-failures');
      })
      .finally(() => {
        state.pendingRequest = undefined;
      });
    return state.pendingRequest;
  };

  const isRecentlyEmpty = (customer: string): boolean => {
    const state = tokenRequests.get(customer);
    return (
      state !== undefined &&
      clock.monotonic() - state.lastEmptyAt < constants.EMPTY_GRANT_BACK_OFF_MS
    );
  };

  const addToWaitingCalls = (customer: string, change: number): void => {
    getTokenRequestState(customer).waitingCalls += change;
  };

  const admitAfterRequest = async (contract: core.Contract): Promise<Admission> => {
    const { name } = contract;
    addToWaitingCalls(name, 1);
    let isAdmitted = false;
    // Tries again, because the pending request may have been sent before this call was counted.
    for (
      let attempt = 0;
      attempt < MAX_TOKEN_REQUESTS && !isAdmitted && !isRecentlyEmpty(name);
      attempt += 1
    ) {
      // eslint-disable-next-line no-await-in-loop -- sequential requests
      await requestTokensForWaitingCalls(name);
      isAdmitted = tryTakeToken(contract, clock.monotonic());
    }
    addToWaitingCalls(name, -1);
    if (!isAdmitted) {
      return { isAdmitted: false, retryAfterMs: constants.NOT_ADMITTED_RETRY_AFTER_MS };
    }
    openCalls.set(name, (openCalls.get(name) ?? 0) + 1);
    return { isAdmitted: true };
  };

  const runPeriodicAction = (
    operation: string,
    action: (now: number) => Promise<unknown>[],
  ): void => {
    try {
      action(clock.monotonic()).forEach((pending) => {
        pending.catch(() => metrics.increment(`limits.${operation}-failures`));
      });
    } catch (error) {
      ctx.reportError(operation, error);
    }
  };

  ctx.bus.on('config-applied', ({ config: next }) => createBucketsOfNewContracts(next));
  ctx.peerServer.addMethods({
    'limits.lend': (params) => coordinator.receiveLease(params),
    'limits.take': async (params) => {
      const { level, wants } = messages.takeRequestSchema.parse(params);
      return { granted: await coordinator.grantTokens(level, wants) };
    },
  });

  return {
    admit(contract) {
      const now = clock.monotonic();
      const { name } = contract;
      const maxOpenCalls = Math.max(1, Math.ceil(contract.concurrency * computeBaseShare(now)));
      if ((openCalls.get(name) ?? 0) >= maxOpenCalls) {
        return { isAdmitted: false, retryAfterMs: constants.NOT_ADMITTED_RETRY_AFTER_MS };
      }
      if (!tryTakeToken(contract, now)) return admitAfterRequest(contract);
      openCalls.set(name, (openCalls.get(name) ?? 0) + 1);
      return { isAdmitted: true };
    },
    release(customer) {
      const count = (openCalls.get(customer) ?? 1) - 1;
      if (count > 0) openCalls.set(customer, count);
      else openCalls.delete(customer);
    },
    describe(customer) {
      const now = clock.monotonic();
      const group = getGroup(coordinatorPlacement.computeGroup(customer));
      return {
        baseShare: computeBaseShare(now),
        lentShare: group.leases.computeLeasedShare(customer, now),
        ...coordinator.describe(customer, now),
        demandPerSecond: group.tokens.getDemandPerSecond(customer),
        open: openCalls.get(customer) ?? 0,
      };
    },
    async waitUntilJoined() {
      const waitMs = constants.JOIN_DELAY_MS - (clock.monotonic() - startedAt);
      if (waitMs > 0) await timers.setTimeout(waitMs);
    },
    async start() {
      intervals.push(
        setInterval(
          () =>
            runPeriodicAction('lend', (now) => {
              updateLocalBuckets(now);
              coordinator.updatePools(now);
              return groups.map((_, index) => renewMemberLease(index, now));
            }),
          constants.MEMBER_RENEWAL_INTERVAL_MS,
        ),
        setInterval(
          () =>
            runPeriodicAction('lend', (now) =>
              groups.map((_, index) => coordinator.renewFleetLease(index, now)),
            ),
          constants.COORDINATOR_RENEWAL_INTERVAL_MS,
        ),
        setInterval(
          () =>
            runPeriodicAction('take', (now) =>
              groups.map((group, index) =>
                fetchTokens(index, group.tokens.computeTokenRequests(now)),
              ),
            ),
          core.tokenCacheDefaults.intervalMs,
        ),
      );
      log.debug('limits-started');
    },
    async stop() {
      intervals.forEach((timer) => clearInterval(timer));
    },
  };
}
