/**
 * The claims of one partition, computed from the records of its stream. The first claim of a key
 * wins and does not expire when its holder fails. While claims are kept, only a release with the
 * same claim id frees the key, so that an order that may have run is not run again.
 */
import * as errors from '../shared/errors.js';
import * as keys from './keys.js';
import * as schemas from './schemas.js';

export interface ClaimedOrder {
  claimId: string;
  fingerprint: string;
  /** Answer of the finished order; undefined until then. */
  answer: schemas.OrderAnswer | undefined;
}

export interface ClaimTable {
  /** Returns the offset of the last applied record; -1 before the first. */
  getPosition(): number;
  /**
   * Applies the record at an offset. A record that does not match the schema changes only the
   * position.
   *
   * @throws InvariantError when the record is not the next one.
   */
  applyRecord(offset: number, body: unknown): void;
  /** Continues at `offset`, the oldest record that the log retains; existing claims are kept. */
  skipTo(offset: number): void;
  findOrder(key: string): ClaimedOrder | undefined;
  /**
   * Removes the claims of keys whose time is before `cutoff`, in milliseconds since the Unix epoch.
   * Requests with such keys must be refused as stale.
   */
  removeBefore(cutoff: number): void;
  countClaims(): number;
}

/**
 * Creates an empty table.
 *
 * @example
 * const claims = createClaimTable();
 */
export function createClaimTable(): ClaimTable {
  let position = -1;
  const orders = new Map<string, ClaimedOrder>();
  const releasedClaimIds = new Map<string, Set<string>>();

  const entryHandlers: {
    [K in schemas.OrderEntry['type']]: (entry: Extract<schemas.OrderEntry, { type: K }>) => void;
  } = {
    claim: ({ key, claimId, fingerprint }) => {
      if (orders.has(key) || releasedClaimIds.get(key)?.has(claimId)) return;
      orders.set(key, { claimId, fingerprint, answer: undefined });
    },
    done: ({ key, claimId, answer }) => {
      const order = orders.get(key);
      if (order?.claimId !== claimId) return;
      orders.set(key, { ...order, answer });
    },
    release: ({ key, claimId }) => {
      const order = orders.get(key);
      if (order?.claimId === claimId && !order.answer) orders.delete(key);
      const ids = releasedClaimIds.get(key) ?? new Set();
      releasedClaimIds.set(key, ids.add(claimId));
    },
  };

  return {
    getPosition: () => position,
    applyRecord(offset, body) {
      errors.assertInvariant(
        offset === position + 1,
        'ledger-order',
        `record ${offset} does not follow position ${position}`,
      );
      position = offset;
      const batch = schemas.orderBatchSchema.safeParse(body);
      if (!batch.success) return;
      batch.data.entries.forEach((entry) =>
        (entryHandlers[entry.type] as (entry: schemas.OrderEntry) => void)(entry),
      );
    },
    skipTo(offset) {
      position = Math.max(position, offset - 1);
    },
    findOrder: (key) => orders.get(key),
    removeBefore(cutoff) {
      const isOld = (key: string) => keys.parseKeyTime(key.slice(key.indexOf('/') + 1)) < cutoff;
      [...orders.keys()].filter(isOld).forEach((key) => orders.delete(key));
      [...releasedClaimIds.keys()].filter(isOld).forEach((key) => releasedClaimIds.delete(key));
    },
    countClaims: () => orders.size,
  };
}
