/** Encodes an attempt as headers of an HTTP request between two proxies, and decodes it. */
import type * as core from '@figshed/core';
import * as headers from './headers.js';
import type * as types from './types.js';

const names = headers.headerNames;

/**
 * Formats an attempt as headers. The deadline is sent as the remaining time in milliseconds,
 * because the monotonic clocks of two processes differ.
 *
 * @example
 * const sent = formatAttemptHeaders(request, fleetKey, clock.monotonic());
 */
export function formatAttemptHeaders(
  request: types.AttemptRequest,
  fleetKey: string,
  now: number,
): types.Headers {
  const attemptHeaders: types.Headers = {
    ...request.headers,
    authorization: `Fleet ${fleetKey}`,
    [names.attempt]: request.attemptId,
    [names.instance]: request.instance,
    [names.customer]: request.customer,
    [names.service]: request.service,
    [names.weight]: String(request.weight),
    [names.timeout]: String(Math.max(1, Math.floor(request.deadlineAt - now))),
    [names.fingerprint]: request.fingerprint,
  };
  if (request.order) {
    attemptHeaders[names.order] = request.order.orderKey;
    attemptHeaders[names.claim] = request.order.claimId;
  }
  return attemptHeaders;
}

/**
 * Parses an attempt from headers. Returns undefined when a required header is missing or invalid.
 *
 * @example
 * const request = parseAttemptHeaders('GET', '/catalogue/7', received, undefined, now);
 */
export function parseAttemptHeaders(
  method: string,
  path: string,
  received: types.Headers,
  body: Buffer | undefined,
  now: number,
): types.AttemptRequest | undefined {
  const read = (name: string) => headers.readHeader(received, name);
  const attemptId = read(names.attempt);
  const instance = read(names.instance);
  const customer = read(names.customer);
  const service = read(names.service);
  const timeoutMs = Number(read(names.timeout));
  const weight = Number(read(names.weight));
  if (!attemptId || !instance || !customer || !service) return undefined;
  if (!(timeoutMs > 0) || !(weight > 0)) return undefined;
  const orderKey = read(names.order);
  const claimId = read(names.claim);
  return {
    attemptId,
    instance,
    customer,
    service,
    weight,
    method,
    path,
    headers: headers.copyRequestHeaders(received),
    body,
    deadlineAt: now + timeoutMs,
    fingerprint: read(names.fingerprint) ?? '',
    order: orderKey && claimId ? { orderKey, claimId } : undefined,
  };
}

/**
 * Formats a load report as a header value.
 *
 * @example
 * formatLoad({ running: 3, waiting: 1, slotFreeMs: 12.5 }); // '3,1,12.5'
 */
export function formatLoad(load: core.LoadReport): string {
  return `${load.running},${load.waiting},${load.slotFreeMs.toFixed(1)}`;
}

/**
 * Parses a header value from `formatLoad`. Returns undefined when it is missing or invalid.
 *
 * @example
 * parseLoad('3,1,12.5'); // { running: 3, waiting: 1, slotFreeMs: 12.5 }
 */
export function parseLoad(text: string | undefined): core.LoadReport | undefined {
  if (!text) return undefined;
  const values = text.split(',').map(Number);
  const [running, waiting, slotFreeMs] = values;
  if (values.length < 3 || !values.every(Number.isFinite)) return undefined;
  return { running, waiting, slotFreeMs } as core.LoadReport;
}
