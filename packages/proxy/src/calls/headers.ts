/** Headers of a call between processes, and which headers of callers and targets are forwarded. */
import * as forwardingHeaders from '../forwarding-headers.js';
import type * as types from './types.js';

export const headerNames = {
  outcome: 'x-figshed-outcome',
  attemptOutcome: 'x-figshed-attempt-outcome',
  reason: 'x-figshed-reason',
  callId: 'x-figshed-call-id',
  attempt: 'x-figshed-attempt',
  instance: 'x-figshed-instance',
  customer: 'x-figshed-customer',
  service: 'x-figshed-service',
  weight: 'x-figshed-weight',
  timeout: 'x-figshed-timeout-ms',
  fingerprint: 'x-figshed-fingerprint',
  order: 'x-figshed-order',
  claim: 'x-figshed-claim',
  load: 'x-figshed-load',
  version: 'x-figshed-version',
  replayed: 'x-figshed-replayed',
  /** Sent to targets; targets that support it echo it in the response. */
  requestId: 'x-request-id',
  /** Sent to targets: remaining time of the call in milliseconds. */
  requestTimeout: 'x-request-timeout-ms',
  /** Sent by a target that refused a call without running it. */
  targetNotRun: 'x-not-run',
  idempotencyKey: 'idempotency-key',
} as const;

const excludedHeaders = new Set([...forwardingHeaders.hopByHopHeaders, 'host']);

function copyHeaders(headers: types.Headers, shouldKeep: (name: string) => boolean): types.Headers {
  const copy: types.Headers = {};
  Object.keys(headers).forEach((name) => {
    if (!excludedHeaders.has(name) && shouldKeep(name)) copy[name] = headers[name];
  });
  return copy;
}

/**
 * Copies a caller's headers for a target, without its credentials, `content-length`, hop-by-hop
 * headers, `host` and the headers between proxies.
 *
 * @example
 * copyRequestHeaders({ accept: '*\/*', authorization: 'Bearer key' }); // { accept: '*\/*' }
 */
export function copyRequestHeaders(headers: types.Headers): types.Headers {
  return copyHeaders(
    headers,
    (name) =>
      name !== 'authorization' &&
      name !== 'content-length' &&
      !name.startsWith(forwardingHeaders.PROXY_HEADER_PREFIX),
  );
}

/**
 * Copies a target's headers for a caller, without hop-by-hop headers, `host` and the headers
 * between proxies.
 *
 * @example
 * copyResponseHeaders({ 'content-type': 'text/plain', connection: 'close' });
 */
export function copyResponseHeaders(headers: types.Headers): types.Headers {
  return copyHeaders(headers, (name) => !name.startsWith(forwardingHeaders.PROXY_HEADER_PREFIX));
}

/**
 * Reads the first value of a header.
 *
 * @example
 * readHeader({ 'x-request-id': '7' }, 'x-request-id'); // '7'
 */
export function readHeader(headers: types.Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
