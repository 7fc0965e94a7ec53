import * as canonical from './canonical.js';

/**
 * Chooses the `count` members with the highest weight for a key by rendezvous hashing. All
 * processes with the same member set choose the same members without coordination; when one member
 * is added or removed, only keys of that member are reassigned.
 *
 * @example
 * chooseByRendezvousHash('orders-7', ['a', 'b', 'c'], 1);
 */
export function chooseByRendezvousHash(
  key: string,
  memberIds: readonly string[],
  count: number,
): string[] {
  return memberIds
    .map((id) => ({ id, weight: canonical.computeHash32(`${key}|${id}`) }))
    .sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
    .slice(0, count)
    .map(({ id }) => id);
}
