import * as compiledConfig from '../config/compiled-config.js';
import type * as schemas from '../config/schemas.js';

/** Result for a call that the caller's contract allows. */
export interface AllowedCall {
  type: 'allowed';
  contract: schemas.Contract;
  service: schemas.Service;
  requestKind: schemas.RequestKind;
  /** Weight of the customer multiplied by the weight of the request kind. */
  weight: number;
  /** Shortest of the request kind's, the contract's and the caller's own time-out. */
  timeoutMs: number;
}

/** Result for a refused call, with the HTTP status and a stable error code. */
export interface RefusedCall {
  type: 'refused';
  status: number;
  code: string;
  message: string;
}

/** The properties of a call that authorization depends on. */
export interface AuthorizationRequest {
  method: string;
  /** Path without the query string. */
  path: string;
  /** Digest of the API key, or undefined when the caller sent none. */
  keyDigest: string | undefined;
  /** Time-out requested by the caller, in milliseconds. */
  requestedTimeoutMs: number | undefined;
}

const HTTP_UNAUTHORIZED = 401;
const HTTP_FORBIDDEN = 403;
const HTTP_NOT_FOUND = 404;
const HTTP_METHOD_NOT_ALLOWED = 405;

function createRefusal(status: number, code: string, message: string): RefusedCall {
  return { type: 'refused', status, code, message };
}

/**
 * Authorizes a call from the configuration alone. The API key is checked first, so that a caller
 * without a valid key gets the same response for every path. Request kinds are checked last and
 * only for services within the contract, so that those of other services are not revealed.
 *
 * @example
 * const verdict = authorizeCall(config, { method: 'GET', path: '/catalogue/7', keyDigest, requestedTimeoutMs: undefined });
 */
export function authorizeCall(
  config: compiledConfig.CompiledConfig,
  request: AuthorizationRequest,
): AllowedCall | RefusedCall {
  const { method, path, keyDigest, requestedTimeoutMs } = request;
  const contract = keyDigest === undefined ? undefined : config.contractsByKeyDigest.get(keyDigest);
  if (!contract)
    return createRefusal(HTTP_UNAUTHORIZED, 'UNKNOWN_CALLER', 'the API key is not valid');
  const match = compiledConfig.matchRoute(config, method, path);
  if (!match || !contract.services.includes(match.service.name)) {
    return match
      ? createRefusal(HTTP_FORBIDDEN, 'OUTSIDE_CONTRACT', 'the contract does not cover this path')
      : createRefusal(HTTP_NOT_FOUND, 'NO_ROUTE', 'no route covers this path');
  }
  const { service, requestKind } = match;
  if (!requestKind) {
    return createRefusal(
      HTTP_METHOD_NOT_ALLOWED,
      'NO_REQUEST_KIND',
      'the service has no such request',
    );
  }
  const kindWeight = contract.kindWeights[`${service.name}/${requestKind.name}`] ?? 1;
  return {
    type: 'allowed',
    contract,
    service,
    requestKind,
    weight: contract.weight * kindWeight,
    timeoutMs: Math.min(
      requestKind.timeoutMs,
      contract.maxDeadlineMs,
      requestedTimeoutMs ?? Infinity,
    ),
  };
}
