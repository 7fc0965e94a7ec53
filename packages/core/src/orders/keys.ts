/** Idempotency keys: version 7 UUIDs, whose timestamp limits how long they are valid. */
import * as uuid from 'uuid';
import * as canonical from '../shared/canonical.js';

/** Number of streams that order claims are partitioned over; it must be equal in all processes. */
export const ORDER_PARTITIONS = 64;

/** How far a key's timestamp may be ahead of the local clock, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 60_000;

const UUID_VERSION = 7;
const TIMESTAMP_HEX_DIGITS = 12;
const HEX_RADIX = 16;

/** Result of checking a key; only a `valid` key may be claimed. */
export type KeyCheckResult = 'valid' | 'malformed' | 'stale' | 'from-the-future';

/**
 * Parses the timestamp of a key, in milliseconds since the Unix epoch.
 *
 * @example
 * parseKeyTime('01890a5d-ac96-774b-bcce-b302099a8057'); // 1688...
 */
export function parseKeyTime(key: string): number {
  return Number.parseInt(key.replaceAll('-', '').slice(0, TIMESTAMP_HEX_DIGITS), HEX_RADIX);
}

/**
 * Checks the format of a key and its timestamp, which must be at most `windowMs`, the retention of
 * claims, before `now` and at most `MAX_CLOCK_SKEW_MS` after it. `now` is in milliseconds since the
 * Unix epoch.
 *
 * @example
 * checkIdempotencyKey(key, clock.now(), 3_600_000); // 'valid'
 */
export function checkIdempotencyKey(key: string, now: number, windowMs: number): KeyCheckResult {
  if (!uuid.validate(key) || uuid.version(key) !== UUID_VERSION) return 'malformed';
  const time = parseKeyTime(key);
  if (time < now - windowMs) return 'stale';
  return time > now + MAX_CLOCK_SKEW_MS ? 'from-the-future' : 'valid';
}

/**
 * Computes the partition, from 0 to `ORDER_PARTITIONS - 1`, that holds the claims of an order key.
 *
 * @example
 * computePartition('customer/01890a5d-ac96-774b-bcce-b302099a8057');
 */
export function computePartition(orderKey: string): number {
  return canonical.computeHash32(orderKey) % ORDER_PARTITIONS;
}

/**
 * Formats the name of a partition's stream.
 *
 * @example
 * formatStreamName(7); // 'orders-7'
 */
export function formatStreamName(partition: number): string {
  return `orders-${partition}`;
}

/**
 * Formats the key under which an order is claimed. It contains the customer, so that equal keys of
 * different customers do not collide.
 *
 * @example
 * formatOrderKey('school', key);
 */
export function formatOrderKey(customer: string, key: string): string {
  return `${customer}/${key.toLowerCase()}`;
}
