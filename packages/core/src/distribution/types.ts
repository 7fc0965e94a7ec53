/** Messages by which proxies bring one another to the newest configuration. */
import type * as fold from '../config/fold.js';
import type * as schemas from '../config/schemas.js';

/** Asks a peer for everything after a position. */
export interface FetchRequest {
  position: number;
}

/** A peer's answer: the missing records, or the whole state, or whom to ask instead. */
export type FetchAnswer =
  | { type: 'records'; records: fold.OffsetRecord[]; digest: string }
  | { type: 'snapshot'; snapshot: schemas.Snapshot }
  | { type: 'current' }
  | { type: 'busy'; askInstead: string | null };

/** What the replica asks its surroundings to do. */
export type ReplicaEffect =
  | { type: 'apply'; state: schemas.State; source: string }
  | { type: 'fetch'; from: string; position: number }
  | { type: 'refused'; reason: string; source: string };
