/** Idempotency keys: UUIDs of version 7, whose time bounds how long they are valid. */
import * as uuid from 'uuid';
import * as canonical from '../shared/canonical.js';

/** Streams over which the claims of orders are divided. Every process must use the same number. */
export const ORDER_PARTITIONS = 64;

/** How far ahead of this clock a key's time may be, in milliseconds. */
export const MAX_KEY_AHEAD_MS = 60_000;

const UUID_VERSION = 7;
const TIME_DIGITS = 12;
const HEX = 16;

/** Whether a key may be claimed. */
export type KeyVerdict = 'valid' | 'malformed' | 'stale' | 'from-the-future';

/**
 * Reads the time in a key, in milliseconds since the Unix epoch.
 *
 * @example
 * readKeyTime('01890a5d-ac96-774b-bcce-b302099a8057'); // 1688...
 */
export function readKeyTime(key: string): number {
  return Number.parseInt(key.replaceAll('-', '').slice(0, TIME_DIGITS), HEX);
}

/**
 * Checks a key against the window in which claims are remembered.
 *
 * @example
 * checkKey(key, clock.now(), 3_600_000); // 'valid'
 */
export function checkKey(key: string, now: number, windowMs: number): KeyVerdict {
  if (!uuid.validate(key) || uuid.version(key) !== UUID_VERSION) return 'malformed';
  const time = readKeyTime(key);
  if (time < now - windowMs) return 'stale';
  return time > now + MAX_KEY_AHEAD_MS ? 'from-the-future' : 'valid';
}

/**
 * Computes the partition that holds the claims of a key.
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
 * formatStream(7); // 'orders-7'
 */
export function formatStream(partition: number): string {
  return `orders-${partition}`;
}

/**
 * Formats the key under which an order is claimed; keys of different customers never meet.
 *
 * @example
 * formatOrderKey('school', key);
 */
export function formatOrderKey(customer: string, key: string): string {
  return `${customer}/${key.toLowerCase()}`;
}
