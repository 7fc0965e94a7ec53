/**
 * Time-out of connecting to a peer: three round trips between regions, plus a margin for a busy
 * peer.
 */
export const CONNECT_TIMEOUT_MS = 250;
export const TARGET_CONNECT_TIMEOUT_MS = 500;
/**
 * Lower bound of the adaptive acknowledgement time-out. If the peer has not acknowledged an attempt
 * within that time-out plus CONNECT_TIMEOUT_MS, the call may be sent to another host as well; an
 * attempt whose body has not been sent fails.
 */
export const MIN_ACKNOWLEDGEMENT_TIMEOUT_MS = 300;
/**
 * Upper bound of the adaptive acknowledgement time-out, for slow hosts; leaves time for a second
 * attempt before most deadlines.
 */
export const MAX_ACKNOWLEDGEMENT_TIMEOUT_MS = 900;
/**
 * Delay before an attempt is acknowledged; faster responses need no acknowledgement. A third of the
 * shortest acknowledgement time-out.
 */
export const ACKNOWLEDGEMENT_DELAY_MS = 100;
/**
 * Time-out of the request body after `100 Continue`; twice the shortest acknowledgement time-out.
 */
export const BODY_TIMEOUT_MS = 600;
/**
 * Time after a target's deadline at which its request is aborted, for responses in transit.
 */
export const DEADLINE_GRACE_MS = 60;
/**
 * Larger responses are streamed instead of buffered; twice the size of the largest usual download.
 */
export const MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;
/**
 * Larger request bodies of calls that are not repeatable are streamed; buffered ones can be sent again
 * to another target.
 */
export const MAX_BUFFERED_REQUEST_BYTES = 262_144;
/** Assumed size of a streamed body without a stated length, which is the least that is streamed. */
export const MIN_STREAMED_BYTES = MAX_BUFFERED_REQUEST_BYTES;
/** Bytes of a request body that are read after its response, so that the connection ends cleanly. */
export const MAX_DRAINED_BYTES = 1_048_576;
/** Longest pause of the sender of a streamed body, and longest time to drain an unread one. */
export const BODY_STALL_TIMEOUT_MS = 2_000;
/**
 * Memory reserved for a call besides its body: a head of up to 16 KB as received, and as written. Of
 * the smallest host's budget, it admits about 2,000 calls at once.
 */
export const CALL_BYTES = 32_768;
/** Memory reserved for a streamed body: what one read and the buffers of both sockets hold. */
export const STREAMED_BODY_BYTES = 131_072;
/** Memory of a process without calls, with the room that the garbage collector needs. */
export const BASE_MEMORY_BYTES = 100_000_000;
/** Part of the remaining memory that may be held for callers and peers; the rest is for garbage. */
export const HELD_MEMORY_SHARE = 0.45;
/**
 * Shares of the byte budget. The large bodies leave room for small ones, and these for calls without
 * one. On the smallest host, one body of 50 MB fits the share of the large ones.
 */
export const BUDGET_TIERS = [
  { maxBytes: 2 * CALL_BYTES, share: 1 },
  { maxBytes: CALL_BYTES + MAX_BUFFERED_REQUEST_BYTES, share: 0.875 },
  { maxBytes: Number.POSITIVE_INFINITY, share: 0.75 },
] as const;
/** Connections at each of the ports for announcements, readiness and metrics, which few clients use. */
export const MAX_AUXILIARY_CONNECTIONS = 100;
export const PEER_CLIENT_IDLE_TIMEOUT_MS = 20_000;
/**
 * Idle time-out of the servers for peers and announcements; above that of the peer client, so that
 * the client closes idle connections first.
 */
export const PEER_SERVER_IDLE_TIMEOUT_MS = 30_000;
/** Share of the link for request bodies, which are requested one after another and not in chunks. */
export const UPLOAD_LINK_SHARE = 0.85;
/** Idle connections kept per peer or target. */
export const MAX_IDLE_SOCKETS = 32;
/** How long a host's circuit breaker stays open after a failure; two gossip rounds. */
export const CIRCUIT_OPEN_MS = 1_000;
/** Refusals for lack of capacity after which a call is sent as a late call. */
export const MAX_REFUSALS = 2;
/** Refusals of a late call after which the caller receives an error. */
export const MAX_LATE_REFUSALS = 1;
/**
 * Share of the mean response time of its route that a call must have left to be sent to a target; most
 * calls take longer.
 */
export const MIN_REMAINING_SHARE = 0.25;
/** Deadline of a call without a deadline header. */
export const DEFAULT_DEADLINE_MS = 30_000;
/** Interval at which the queue is checked for calls that can no longer be served in time. */
export const QUEUE_CHECK_INTERVAL_MS = 20;

export const HTTP = {
  ok: 200,
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  requestTimeout: 408,
  payloadTooLarge: 413,
  misdirected: 421,
  tooManyRequests: 429,
  headersTooLarge: 431,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
  firstServerError: 500,
  firstError: 400,
} as const;
