import * as crypto from 'node:crypto';
import * as requestBodies from './request-body.js';

/** What identifies a request that comes again under another call ID. */
export interface RequestIdentity {
  /** Service of the target. */
  service: string;
  method: string;
  path: string;
  /** Alternating names and values. */
  headers: readonly string[];
  body: requestBodies.RequestBody;
}

/** 64 bits; collisions only matter among the requests of the last crashes. */
const FINGERPRINT_BYTES = 8;
const SEPARATOR = '\n';

/**
 * Returns the value of a header; empty if it is missing.
 *
 * @example
 * getHeader(['Accept', 'text/plain'], 'accept'); // 'text/plain'
 */
export function getHeader(headers: readonly string[], name: string): string {
  const index = headers.findIndex(
    (item, position) => position % 2 === 0 && item.toLowerCase() === name,
  );
  return headers[index + 1] ?? '';
}

/**
 * Computes the fingerprint of a request, from its method, host, path, body and the services of its
 * target and its caller. A streamed body, which is never held whole, is represented by its length.
 *
 * @example
 * computeFingerprint(call, protocol.callerServiceHeader); // 'nDGtYsUx0cA'
 */
export function computeFingerprint(request: RequestIdentity, callerServiceHeader: string): string {
  const { service, method, path, headers, body } = request;
  const callerService = getHeader(headers, callerServiceHeader);
  const hash = crypto.createHash('sha1');
  const host = getHeader(headers, 'host').toLowerCase();
  hash.update([service, method, host, path, callerService, ''].join(SEPARATOR));
  if (Buffer.isBuffer(body)) hash.update(body);
  else if (requestBodies.isStreamed(body))
    hash.update(`streamed ${body.lengthBytes ?? 'in chunks'}`);
  else body.blocks.forEach((block) => hash.update(block));
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64url');
}
