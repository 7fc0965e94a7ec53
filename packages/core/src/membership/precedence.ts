/** Decides which of two records of one member is the newer. */
import type * as types from './types.js';

const ranks: Record<types.MemberStatus, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * Tells whether `next` overrides `current`: a higher incarnation does, and at the same incarnation
 * the worse status does.
 *
 * @example
 * isNewer({ ...member, status: 'suspect' }, member); // true
 */
export function isNewer(next: types.Member, current: types.Member | undefined): boolean {
  if (!current) return true;
  if (next.incarnation !== current.incarnation) return next.incarnation > current.incarnation;
  return ranks[next.status] > ranks[current.status];
}
