/** Number of groups into which customers are divided; each group has its own coordinators. */
export const GROUP_COUNT = 4;
/** Duration of a lease from a process to the coordinator of its data centre. */
export const MEMBER_LEASE_MS = 4_000;
/**
 * Duration of a lease from a data-centre coordinator to the fleet coordinator. It is shorter than
 * the members' leases that back it, so that they outlast it.
 */
export const COORDINATOR_LEASE_MS = 1_800;
/**
 * Interval at which members renew their leases. A lease starts at the response to the previous
 * lease, so it must last for more than two renewal intervals. Members' leases must exceed two of
 * their intervals by more than the duration of a coordinator's lease.
 */
export const MEMBER_RENEWAL_INTERVAL_MS = 1_000;
export const COORDINATOR_RENEWAL_INTERVAL_MS = 500;
export const REQUEST_TIMEOUT_MS = 500;
/**
 * Delay from the start until this process uses its share: by then all members have received its
 * membership record, and the leases from an earlier process on this host have expired.
 */
export const JOIN_DELAY_MS = MEMBER_LEASE_MS;
/** Fraction of a share that is not leased, for calls while the next level is unreachable. */
export const RESERVE_RATIO = 0.02;
/** Share that a coordinator reserves, relative to the recent demand of its data centre. */
export const RESERVE_HEADROOM = 1.3;
/**
 * Largest fraction of the held share that a coordinator reclaims per interval. A reclaimed share
 * cannot be used by any process until the lease has expired, so it is reclaimed slowly.
 */
export const MAX_RECLAIM_RATIO = 0.01;
/** Time after an empty or failed grant in which calls of the customer request no tokens. */
export const EMPTY_GRANT_BACK_OFF_MS = 50;
/** Retry delay reported to callers whose call was not admitted. */
export const NOT_ADMITTED_RETRY_AFTER_MS = 250;
export const MAX_TOKENS_PER_REQUEST = 1_000_000;
