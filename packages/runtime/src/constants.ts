/** Longest body of a JSON-RPC request or response between processes, in bytes. */
export const MAX_RPC_BODY_BYTES = 16_000_000;
/**
 * Longest body of a response of the log, in bytes: one page, whose records can hold snapshots of the
 * whole configuration.
 */
export const MAX_LOG_BODY_BYTES = 64_000_000;
