/** Error codes of failures to connect, after which nothing can have been sent. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
 * Returns the code of an error, or its name when it has no code.
 *
 * @example
 * getErrorCode(new TypeError('x')); // 'TypeError'
 */
export function getErrorCode(error: unknown): string {
  return (error as { code?: string }).code ?? (error as Error).name;
}

/**
 * Whether no connection was made, so that the request was certainly not sent.
 *
 * @example
 * isConnectFailure(error); // true for ECONNREFUSED
 */
export function isConnectFailure(error: unknown): boolean {
  return connectFailureCodes.has(getErrorCode(error));
}
