/** Digests of member tables, which two processes compare to detect differences. */
import * as canonical from '../shared/canonical.js';
import type * as types from './types.js';

const DIGEST_LENGTH = 16;

/**
 * Formats the incarnation and status of a member, which together identify the version of its
 * record.
 *
 * @example
 * formatRecordVersion(member); // '1796376398038:alive'
 */
export function formatRecordVersion({ incarnation, status }: types.Member): string {
  return `${incarnation}:${status}`;
}

/**
 * Computes a digest of a set of members, independent of their order.
 *
 * @example
 * computeMembersDigest(membership.listMembers());
 */
export function computeMembersDigest(members: readonly types.Member[]): string {
  const lines = members.map((member) => `${member.id}=${formatRecordVersion(member)}`).sort();
  return canonical.computeDigest(lines.join('|')).slice(0, DIGEST_LENGTH);
}
