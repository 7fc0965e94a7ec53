/** Digests of member tables, by which two processes see whether they know the same. */
import * as canonical from '../shared/canonical.js';
import type * as types from './types.js';

const DIGEST_LENGTH = 16;

/**
 * Formats what makes a member's record the newest.
 *
 * @example
 * formatRecord(member); // '1796376398038:alive'
 */
export function formatRecord({ incarnation, status }: types.Member): string {
  return `${incarnation}:${status}`;
}

/**
 * Computes the digest of a set of members, in any order.
 *
 * @example
 * computeMembersDigest(membership.list());
 */
export function computeMembersDigest(members: readonly types.Member[]): string {
  const lines = members.map((member) => `${member.id}=${formatRecord(member)}`).sort();
  return canonical.computeDigest(lines.join('|')).slice(0, DIGEST_LENGTH);
}
