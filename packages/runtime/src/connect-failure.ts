/** Error codes of failures before a connection existed, so that nothing can have been sent. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
 * Returns the code of an error, or its name when it has no code.
 *
 * @example
 * readErrorCode(new TypeError('x')); // 'TypeError'
 */
export function getErrorCode(error: unknown): string {
  return (error as { code?: string }).code ?? (error as Error).name;
}

/**
 * Whether an error means that no connection was made and thus the request was certainly not sent.
 *
 * @example
 * isConnectFailure(error); // true for ECONNREFUSED
 */
export function isConnectFailure(error: unknown): boolean {
  return connectFailureCodes.has(getErrorCode(error));
}
