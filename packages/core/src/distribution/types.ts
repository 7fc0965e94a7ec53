/** Messages for the peer-to-peer distribution of the configuration. */
import type * as fold from '../config/fold.js';
import type * as schemas from '../config/schemas.js';

/** Requests all records after a position from a peer. */
export interface FetchRequest {
  position: number;
}

/**
 * Response of a peer: the missing records, a full snapshot, no newer records, or the id of another
 * peer to fetch from (null if there is none).
 */
export type FetchResponse =
  | { type: 'records'; records: fold.OffsetRecord[]; digest: string }
  | { type: 'snapshot'; snapshot: schemas.Snapshot }
  | { type: 'current' }
  | { type: 'busy'; askInstead: string | null };

/** Actions and notifications for the caller. */
export type ReplicaEffect =
  | { type: 'apply'; state: schemas.State; source: string }
  | { type: 'fetch'; from: string; position: number }
  | { type: 'refused'; reason: string; source: string };
