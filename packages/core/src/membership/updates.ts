/** The queue of member records that wait to be piggybacked on datagrams. */
import type * as types from './types.js';

/** Records to send, least often sent first. */
export interface UpdateQueue {
  /** Queues a record in place of any older record of the same member. */
  add(member: types.Member): void;
  /** Takes up to `count` records for a datagram to `receiver`, each at most `limit` times in all. */
  take(count: number, limit: number, receiver: string | undefined): types.Member[];
  size(): number;
}

interface Pending {
  member: types.Member;
  sent: number;
}

function isUrgent(member: types.Member): boolean {
  return member.info.target?.state === 'draining' || member.status === 'left' || !member.info.ready;
}

/**
 * Creates an empty queue. Records of members that drain or leave go ahead of all others.
 *
 * @example
 * const queue = createUpdateQueue();
 */
export function createUpdateQueue(): UpdateQueue {
  const pending = new Map<string, Pending>();
  return {
    add(member) {
      pending.set(member.id, { member, sent: 0 });
    },
    take(count, limit, receiver) {
      const chosen = [...pending.values()]
        .filter(({ member }) => member.id !== receiver || member.status !== 'alive')
        .sort(
          (left, right) =>
            Number(isUrgent(right.member)) - Number(isUrgent(left.member)) ||
            left.sent - right.sent,
        )
        .slice(0, count);
      chosen.forEach((entry) => {
        const { member } = entry;
        pending.set(member.id, { member, sent: entry.sent + 1 });
        if (entry.sent + 1 >= limit) pending.delete(member.id);
      });
      return chosen.map(({ member }) => member);
    },
    size: () => pending.size,
  };
}
