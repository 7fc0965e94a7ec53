/** Constants of the limits; durations in milliseconds. */

/** Groups over which customers are divided, each with its own keepers. */
export const GROUPS = 4;
/** Term of a loan from a process to the keeper of its data centre. */
export const MEMBER_TERM_MS = 4_000;
/** Term of a loan between keepers; shorter, so that what backs it outlasts it. */
export const KEEPER_TERM_MS = 1_800;
/**
 * A loan counts from the answer before it, so it must last for more than two intervals, and
 * members' loans for a keeper's term more than that.
 */
export const LEND_INTERVAL_MS = 1_000;
export const KEEPER_LEND_INTERVAL_MS = 500;
export const REQUEST_TIMEOUT_MS = 500;
/**
 * Time from the start until this process uses a share: by then all others know of it, and what an
 * earlier process of this host lent has run out.
 */
export const JOIN_MS = MEMBER_TERM_MS;
/** Share that each level keeps for the time in which it cannot reach the next. */
export const KEPT_SHARE = 0.02;
/** Share kept by a keeper, relative to what its data centre used lately. */
export const KEEPER_HEADROOM = 1.3;
/**
 * Part of what is held that a keeper takes back per interval. What is taken back is of no use to
 * anyone for a term, so it is taken back slowly.
 */
export const MAX_RECLAIM = 0.01;
/** Least time between two urgent questions about one customer. */
export const URGENT_INTERVAL_MS = 50;
export const NOT_ADMITTED_RETRY_MS = 250;
/** Most tokens that one question may ask for. */
export const MAX_COUNT = 1_000_000;
