/** Figures of the route mesh that are not settings. */

/** Time for a connection between hosts; three times the round trip between regions and a margin for a busy peer. */
export const CONNECT_TIMEOUT_MS = 250;
/** Time for a connection to the target on the own host. */
export const TARGET_CONNECT_TIMEOUT_MS = 500;
/** Time in which a peer acknowledges an attempt; past it the connection counts as silent. */
export const ACKNOWLEDGE_TIMEOUT_MS = 300;
/** The same where a host is known to be slow; a second send then still meets most deadlines. */
export const MAX_ACKNOWLEDGE_TIMEOUT_MS = 900;
/** An attempt that is answered sooner needs no acknowledgement; a third of the time to wait for it. */
export const ACKNOWLEDGE_DELAY_MS = 100;
/** Time in which the body of a granted attempt must arrive; twice the time to acknowledge. */
export const BODY_TIMEOUT_MS = 600;
/** How long a target may overrun the deadline that it was given, for an answer on its way. */
export const DEADLINE_SLACK_MS = 60;
/** Answers up to this size are held until they are whole; twice the largest usual download. */
export const MAX_HELD_ANSWER_BYTES = 1_048_576;
/** Bodies and answers held at once in one process; a fifth of the smallest host's memory. */
export const MAX_HELD_BYTES = 50_331_648;
/** Idle connections between hosts are kept so long; below the peers' own limit. */
export const PEER_IDLE_MS = 20_000;
/** The limit at the accepting side, above that of the opening side so that it never closes first. */
export const PEER_SERVER_IDLE_MS = 30_000;
/** Idle connections per peer or target that are kept. */
export const MAX_IDLE_SOCKETS = 32;
/** How long a host is passed over after it fell silent; the time of two gossip rounds. */
export const SILENT_HOST_MS = 1_000;
/** Refusals for lack of room after which a caller is turned away. */
export const MAX_REFUSALS = 3;
/** The same for a call that may be answered late. */
export const MAX_LATE_REFUSALS = 3;
/** Deadline of a call that names none, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 30_000;
/** How often queues are checked for calls that can no longer be served. */
export const QUEUE_TICK_MS = 20;

export const HTTP = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  payloadTooLarge: 413,
  misdirected: 421,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
  firstServerError: 500,
  firstError: 400,
} as const;
