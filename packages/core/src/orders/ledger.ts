/**
 * The claims of one partition, folded from its stream. The earliest claim of a key wins and never
 * lapses; only a release by its own holder frees the key.
 */
import * as errors from '../shared/errors.js';
import * as keys from './keys.js';
import * as schemas from './schemas.js';

/** What is known of one order. */
export interface OrderState {
  claimId: string;
  fingerprint: string;
  answer: schemas.OrderAnswer | undefined;
}

/** The ledger of one partition. */
export interface Ledger {
  /** Offset of the last record applied; -1 before any. */
  position(): number;
  /** Applies the record at an offset; records that do not fit the schema change nothing. */
  applyRecord(offset: number, body: unknown): void;
  /** Starts over at the oldest record that the log retains. */
  skipTo(offset: number): void;
  find(key: string): OrderState | undefined;
  /** Forgets keys whose time is before `cutoff`; such keys must be refused as stale. */
  forgetBefore(cutoff: number): void;
  size(): number;
}

/**
 * Creates an empty ledger.
 *
 * @example
 * const ledger = createLedger();
 */
export function createLedger(): Ledger {
  let position = -1;
  const orders = new Map<string, OrderState>();
  const released = new Map<string, Set<string>>();

  const handlers: {
    [K in schemas.OrderEntry['type']]: (entry: Extract<schemas.OrderEntry, { type: K }>) => void;
  } = {
    claim: ({ key, claimId, fingerprint }) => {
      if (orders.has(key) || released.get(key)?.has(claimId)) return;
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
      const ids = released.get(key) ?? new Set();
      released.set(key, ids.add(claimId));
    },
  };

  return {
    position: () => position,
    applyRecord(offset, body) {
      errors.checkInvariant(
        offset === position + 1,
        'ledger-order',
        `record ${offset} after position ${position}`,
      );
      position = offset;
      const batch = schemas.orderBatchSchema.safeParse(body);
      if (!batch.success) return;
      batch.data.entries.forEach((entry) =>
        (handlers[entry.type] as (item: schemas.OrderEntry) => void)(entry),
      );
    },
    skipTo(offset) {
      position = Math.max(position, offset - 1);
    },
    find: (key) => orders.get(key),
    forgetBefore(cutoff) {
      const isOld = (key: string) => keys.readKeyTime(key.slice(key.indexOf('/') + 1)) < cutoff;
      [...orders.keys()].filter(isOld).forEach((key) => orders.delete(key));
      [...released.keys()].filter(isOld).forEach((key) => released.delete(key));
    },
    size: () => orders.size,
  };
}
