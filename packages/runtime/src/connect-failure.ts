/** Tells failures to connect, after which nothing can have been sent, from all others. */

const connectCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
 * Reads the code of an error, or its name when it has none.
 *
 * @example
 * readErrorCode(new TypeError('x')); // 'TypeError'
 */
export function readErrorCode(error: unknown): string {
  return (error as { code?: string }).code ?? (error as Error).name;
}

/**
 * Tells whether no connection was made, so that the request was certainly not sent.
 *
 * @example
 * isConnectFailure(error); // true for ECONNREFUSED
 */
export function isConnectFailure(error: unknown): boolean {
  return connectCodes.has(readErrorCode(error));
}
