/** Rendezvous hashing: places duties on members without any coordination. */
import * as canonical from './canonical.js';

/**
 * Chooses the `count` members with the highest weight for a duty.
 * Any two callers with the same member set choose the same members; when the set changes by one
 * member, only the duties of that member move.
 *
 * @example
 * chooseHolders('orders-7', ['a', 'b', 'c'], 1);
 */
export function chooseHolders(duty: string, memberIds: readonly string[], count: number): string[] {
  return memberIds
    .map((id) => ({ id, weight: canonical.computeHash32(`${duty}|${id}`) }))
    .sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
    .slice(0, count)
    .map(({ id }) => id);
}
