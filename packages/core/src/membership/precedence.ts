import type * as types from './types.js';

const statusPrecedence: Record<types.MemberStatus, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/**
 * Returns whether `next` overrides `current`: the higher incarnation wins, and at the same
 * incarnation the later status in the order alive, suspect, dead, left.
 *
 * @example
 * isNewerRecord({ ...member, status: 'suspect' }, member); // true
 */
export function isNewerRecord(next: types.Member, current: types.Member | undefined): boolean {
  if (!current) return true;
  if (next.incarnation !== current.incarnation) return next.incarnation > current.incarnation;
  return statusPrecedence[next.status] > statusPrecedence[current.status];
}
