/** Decides from the configuration alone whether a caller may make a call. */
import * as compiled from '../config/compiled.js';
import type * as schemas from '../config/schemas.js';

/** A call that its contract allows. */
export interface AllowedCall {
  type: 'allowed';
  contract: schemas.Contract;
  service: schemas.Service;
  requestKind: schemas.RequestKind;
  /** Weight of the customer times that of the request kind. */
  weight: number;
  timeoutMs: number;
}

/** A call that is refused, with the HTTP status and a stable code. */
export interface RefusedCall {
  type: 'refused';
  status: number;
  code: string;
  message: string;
}

/** What the decision needs of a call. */
export interface CallQuestion {
  method: string;
  /** Path without its query. */
  path: string;
  /** Digest of the API key, or undefined when the caller sent none. */
  keyDigest: string | undefined;
  /** The caller's own limit, in milliseconds. */
  requestedTimeoutMs: number | undefined;
}

const HTTP_UNAUTHORIZED = 401;
const HTTP_FORBIDDEN = 403;
const HTTP_NOT_FOUND = 404;
const HTTP_METHOD_NOT_ALLOWED = 405;

function refuse(status: number, code: string, message: string): RefusedCall {
  return { type: 'refused', status, code, message };
}

/**
 * Authorizes a call. An unknown caller gets the same answer whatever it asks for, and a known one
 * learns nothing of services outside its contract.
 *
 * @example
 * const verdict = authorizeCall(config, { method: 'GET', path: '/catalogue/7', keyDigest, requestedTimeoutMs: undefined });
 */
export function authorizeCall(
  config: compiled.CompiledConfig,
  question: CallQuestion,
): AllowedCall | RefusedCall {
  const { method, path, keyDigest, requestedTimeoutMs } = question;
  const contract = keyDigest === undefined ? undefined : config.contractsByKeyDigest.get(keyDigest);
  if (!contract) return refuse(HTTP_UNAUTHORIZED, 'UNKNOWN_CALLER', 'the API key is not valid');
  const match = compiled.matchRoute(config, method, path);
  if (!match || !contract.services.includes(match.service.name)) {
    return match
      ? refuse(HTTP_FORBIDDEN, 'OUTSIDE_CONTRACT', 'the contract does not cover this path')
      : refuse(HTTP_NOT_FOUND, 'NO_ROUTE', 'no route covers this path');
  }
  const { service, requestKind } = match;
  if (!requestKind) {
    return refuse(HTTP_METHOD_NOT_ALLOWED, 'NO_REQUEST_KIND', 'the service has no such request');
  }
  const factor = contract.kindWeights[`${service.name}/${requestKind.name}`] ?? 1;
  return {
    type: 'allowed',
    contract,
    service,
    requestKind,
    weight: contract.weight * factor,
    timeoutMs: Math.min(
      requestKind.timeoutMs,
      contract.maxDeadlineMs,
      requestedTimeoutMs ?? Infinity,
    ),
  };
}
