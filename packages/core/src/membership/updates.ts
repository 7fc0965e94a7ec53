/** Queue of member records that are disseminated by piggybacking on datagrams. */
import type * as types from './types.js';

/** Pending updates; urgent records are taken first, then the least often sent. */
export interface UpdateQueue {
  /** Queues a record in place of the queued one of the same member. */
  add(member: types.Member): void;
  /**
   * Takes up to `maxRecords` records for a datagram to `receiver`. A record is removed from the
   * queue after `maxSends` sends. The receiver's own record is included only when it is not alive.
   */
  take(maxRecords: number, maxSends: number, receiver: string | undefined): types.Member[];
  size(): number;
}

interface PendingUpdate {
  member: types.Member;
  sendCount: number;
}

function isUrgent(member: types.Member): boolean {
  return member.info.target?.state === 'draining' || member.status === 'left' || !member.info.ready;
}

/**
 * Creates an empty queue. Records of members with a draining target, and of members that have left
 * or are not ready, are urgent.
 *
 * @example
 * const queue = createUpdateQueue();
 */
export function createUpdateQueue(): UpdateQueue {
  const pendingById = new Map<string, PendingUpdate>();
  return {
    add(member) {
      pendingById.set(member.id, { member, sendCount: 0 });
    },
    take(maxRecords, maxSends, receiver) {
      const selected = [...pendingById.values()]
        .filter(({ member }) => member.id !== receiver || member.status !== 'alive')
        .sort(
          (left, right) =>
            Number(isUrgent(right.member)) - Number(isUrgent(left.member)) ||
            left.sendCount - right.sendCount,
        )
        .slice(0, maxRecords);
      selected.forEach((entry) => {
        const { member } = entry;
        pendingById.set(member.id, { member, sendCount: entry.sendCount + 1 });
        if (entry.sendCount + 1 >= maxSends) pendingById.delete(member.id);
      });
      return selected.map(({ member }) => member);
    },
    size: () => pendingById.size,
  };
}
