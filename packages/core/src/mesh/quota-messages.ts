/**
 * Messages between the hosts that spend tokens and the coordinators that grant them. All times in
 * them are monotonic times of the process that wrote them; nobody else interprets them.
 */

/** Time at which a coordinator sent a reply. Hosts return it, which proves that they are recent. */
export interface QuotaStamp {
  /** Differs between the processes of a host, and after a suspension of one. */
  instance: number;
  at: number;
}

/** Leases the share of a host in every limit to the coordinators of each account. */
export interface ShareDelegation {
  /** Increases with each change of the coordinators. */
  generation: number;
  /** Hosts known to the host that have not left; its share is one in so many. */
  knownHosts: number;
  /** True while an earlier process of the host may have leased the share to other coordinators. */
  isProvisional: boolean;
  coordinators: readonly string[];
  /** Coordinators that follow; until they do, an account that moves has none. */
  next?: readonly string[] | undefined;
}

export interface QuotaAsk {
  account: string;
  /** Calls that wait for a token. */
  waiting: number;
  /** Further calls that are expected soon. */
  ahead: number;
  /** Calls that the host has refused since it last asked. */
  refused: number;
}

export interface QuotaRequest {
  sequence: number;
  from: string;
  /** Increases with each process of the host. */
  instance: number;
  /** Stamp of the last reply of this coordinator; undefined before the first. */
  echo: QuotaStamp | undefined;
  /** Undefined while the host does not know how large its share is. */
  delegation: ShareDelegation | undefined;
  asks: readonly QuotaAsk[];
}

export interface QuotaAnswer {
  granted: number;
  /** Time until a caller refused now finds a token, in milliseconds. */
  nextMs: number;
  /** Time between two tokens of the account at this coordinator, in milliseconds. */
  spacingMs: number;
  /** Part of the account's limit that the coordinator holds, between 0 and 1. */
  share: number;
}

export interface QuotaReply {
  sequence: number;
  from: string;
  stamp: QuotaStamp;
  /** Generation of the delegation that the coordinator holds from this process; -1 without one. */
  heldGeneration: number;
  /** One for each ask, in order; empty if the request was not proven to be recent. */
  answers: readonly QuotaAnswer[];
}

export interface QuotaOptions {
  /** How long a stamp proves a request to be recent, and a lease holds, in milliseconds. */
  leaseMs: number;
  /** Interval of the messages that renew a lease, in milliseconds. */
  reportMs: number;
  /** Coordinators of all accounts together. */
  maxCoordinators: number;
  /** Time after which a request counts as lost and the other coordinator is asked. */
  askTimeoutMs: number;
  /** Longest time for which a call waits for a token. */
  maxWaitMs: number;
  /** Time until a token for which a call may wait instead of being refused. */
  maxTokenDelayMs: number;
  /** Age at which a token lapses, counted from when it was asked for. */
  tokenTtlMs: number;
  /** Period of expected calls for which a host asks for tokens in advance. */
  aheadMs: number;
  /** Longest time for which a host refuses calls without asking again. */
  maxNoneMs: number;
  maxRetryAfterMs: number;
  /** Rate of an account at shares that an earlier process may have leased to others as well. */
  provisionalPerSecond: number;
  /** Burst of an account at such shares. */
  provisionalBurst: number;
  /** Difference between wall clock and monotonic clock from which on a suspension is assumed. */
  maxClockDriftMs: number;
}

export const quotaDefaults: QuotaOptions = {
  // Two lost messages in a row do not end a lease, and a new coordinator can follow a dead one as soon
  // as the membership has noticed, after 2 to 3 s.
  leaseMs: 2_000,
  reportMs: 600,
  maxCoordinators: 6,
  // Three round trips between regions, with time for a busy coordinator.
  askTimeoutMs: 100,
  maxWaitMs: 300,
  maxTokenDelayMs: 150,
  tokenTtlMs: 500,
  aheadMs: 300,
  maxNoneMs: 200,
  maxRetryAfterMs: 5_000,
  // 16 calls in the 2 s of a lease and a burst of 2 stay within the usual slack of 20.
  provisionalPerSecond: 8,
  provisionalBurst: 2,
  maxClockDriftMs: 100,
};
