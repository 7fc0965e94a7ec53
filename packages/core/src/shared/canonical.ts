/** Canonical JSON and digests, which are the same for equal values in all processes. */
import * as crypto from 'node:crypto';

/**
 * Formats a value as JSON with sorted object keys.
 *
 * @example
 * formatCanonicalJson({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 */
export function formatCanonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map((item) => formatCanonicalJson(item)).join(',')}]`;
  if (value === null || typeof value !== 'object') return JSON.stringify(value) ?? 'null';
  const entries = Object.entries(value)
    .filter(([, item]) => item !== undefined)
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([key, item]) => `${JSON.stringify(key)}:${formatCanonicalJson(item)}`);
  return `{${entries.join(',')}}`;
}

/**
 * Computes the SHA-256 digest of a text, in hexadecimal.
 *
 * @example
 * computeDigest('secret').length; // 64
 */
export function computeDigest(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/**
 * Computes a 32-bit hash of a text for rendezvous hashing and fingerprints; not for security.
 *
 * @example
 * computeHash32('node-1|orders-7');
 */
export function computeHash32(text: string): number {
  return crypto.createHash('md5').update(text).digest().readUInt32BE(0);
}
