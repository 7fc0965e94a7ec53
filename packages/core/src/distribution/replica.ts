/**
 * Local replica of the configuration. Its position only increases, and each update replaces the
 * whole state, whether the records come from the log or from peers.
 */
import * as fold from '../config/fold.js';
import type * as schemas from '../config/schemas.js';
import * as errors from '../shared/errors.js';
import type * as membershipTypes from '../membership/types.js';
import type * as types from './types.js';

/** Records kept for peers that are slightly behind; peers farther behind receive a snapshot. */
const MAX_RECENT_RECORDS = 256;
/** Snapshots sent per second; beyond this rate, peers are redirected. */
const MAX_SNAPSHOTS_PER_SECOND = 4;
const FETCH_TIMEOUT_MS = 1_500;
const MS_PER_SECOND = 1_000;

export interface Replica {
  getState(): schemas.State;
  getDigest(): string;
  /**
   * Applies records in log order; those already applied are ignored. Returns a `refused` effect
   * when records are missing and no snapshot bridges the gap. `source` is `log` or a peer's id.
   *
   * @throws InvariantError when the version would decrease.
   */
  receiveRecords(records: readonly fold.OffsetRecord[], source: string): types.ReplicaEffect[];
  /**
   * Compares the watermark of a peer with the local state. Fetches from the peer when it is newer
   * and no other fetch is open.
   *
   * @throws InvariantError when the digests differ at the same position.
   */
  receiveWatermark(
    id: string,
    watermark: membershipTypes.ConfigWatermark,
    now: number,
  ): types.ReplicaEffect[];
  /**
   * Applies the response to a fetch, or fetches from another peer after a redirection.
   *
   * @throws InvariantError when the version would decrease, or the digests differ at the same
   *   position.
   */
  receiveResponse(from: string, response: types.FetchResponse, now: number): types.ReplicaEffect[];
  /** Ends a failed fetch, so that the next newer watermark starts another. */
  recordFetchFailure(from: string): void;
  /** Handles the fetch of a peer; `others` are the peers that it may be redirected to. */
  handleFetch(
    request: types.FetchRequest,
    now: number,
    others: readonly string[],
  ): types.FetchResponse;
}

/**
 * Creates a replica with an empty state.
 *
 * @example
 * const replica = createReplica();
 */
export function createReplica(): Replica {
  let state = fold.createEmptyState();
  let digest = fold.computeStateDigest(state);
  let recentRecords: fold.OffsetRecord[] = [];
  let openFetch: { from: string; startedAt: number } | undefined;
  let snapshotWindow = { startedAt: 0, count: 0 };

  const applyState = (next: schemas.State, source: string): types.ReplicaEffect[] => {
    errors.assertInvariant(
      next.position > state.position && next.version >= state.version,
      'version-regress',
      `position ${next.position}, version ${next.version} after position ${state.position}, version ${state.version}`,
    );
    state = next;
    digest = fold.computeStateDigest(next);
    return [{ type: 'apply', state, source }];
  };

  const appendRecent = (records: readonly fold.OffsetRecord[]): void => {
    const lastRecord = recentRecords.at(-1);
    const isContiguous = !lastRecord || records[0]?.offset === lastRecord.offset + 1;
    recentRecords = [...(isContiguous ? recentRecords : []), ...records].slice(-MAX_RECENT_RECORDS);
  };

  const receiveRecords = (
    records: readonly fold.OffsetRecord[],
    source: string,
  ): types.ReplicaEffect[] => {
    const newRecords = records.filter(({ offset }) => offset > state.position);
    if (newRecords.length === 0) return [];
    const next = fold.recoverState(state, records);
    if (!next) return [{ type: 'refused', reason: 'gap before the oldest record', source }];
    if (next.position <= state.position) return [];
    appendRecent(newRecords);
    return applyState(next, source);
  };

  const receiveSnapshot = (snapshot: unknown, source: string): types.ReplicaEffect[] => {
    const next = fold.parseSnapshot(snapshot);
    if (!next) return [{ type: 'refused', reason: 'snapshot with a wrong digest', source }];
    if (next.position <= state.position) return [];
    recentRecords = [];
    return applyState(next, source);
  };

  const checkDigest = (expected: string, source: string): void => {
    errors.assertInvariant(
      expected === digest,
      'digest-mismatch',
      `state at position ${state.position} differs from that of ${source}`,
    );
  };

  const responseHandlers: {
    [K in types.FetchResponse['type']]: (
      response: Extract<types.FetchResponse, { type: K }>,
      from: string,
      now: number,
    ) => types.ReplicaEffect[];
  } = {
    records: (response, from) => {
      const lastRecord = response.records.at(-1);
      const effects = receiveRecords(response.records, from);
      if (lastRecord && lastRecord.offset === state.position) checkDigest(response.digest, from);
      return effects;
    },
    snapshot: (response, from) => receiveSnapshot(response.snapshot, from),
    current: () => [],
    busy: (response, _from, now) => {
      if (!response.askInstead) return [];
      openFetch = { from: response.askInstead, startedAt: now };
      return [{ type: 'fetch', from: response.askInstead, position: state.position }];
    },
  };

  const tryConsumeSnapshotQuota = (now: number): boolean => {
    if (now - snapshotWindow.startedAt >= MS_PER_SECOND)
      snapshotWindow = { startedAt: now, count: 0 };
    snapshotWindow.count += 1;
    return snapshotWindow.count <= MAX_SNAPSHOTS_PER_SECOND;
  };

  return {
    getState: () => state,
    getDigest: () => digest,
    receiveRecords,
    receiveWatermark(id, watermark, now) {
      if (watermark.position === state.position) {
        if (watermark.digest !== '') checkDigest(watermark.digest, id);
        return [];
      }
      if (watermark.position < state.position) return [];
      if (openFetch && now - openFetch.startedAt < FETCH_TIMEOUT_MS) return [];
      openFetch = { from: id, startedAt: now };
      return [{ type: 'fetch', from: id, position: state.position }];
    },
    receiveResponse(from, response, now) {
      openFetch = undefined;
      const handler = responseHandlers[response.type] as (
        response: types.FetchResponse,
        from: string,
        now: number,
      ) => types.ReplicaEffect[];
      return handler(response, from, now);
    },
    recordFetchFailure(from) {
      if (openFetch?.from === from) openFetch = undefined;
    },
    handleFetch(request, now, others) {
      if (request.position >= state.position) return { type: 'current' };
      const oldestRecord = recentRecords[0];
      if (oldestRecord && request.position + 1 >= oldestRecord.offset) {
        const records = recentRecords.filter(({ offset }) => offset > request.position);
        return { type: 'records', records, digest };
      }
      if (!tryConsumeSnapshotQuota(now)) {
        const peerIndex = snapshotWindow.count % Math.max(1, others.length);
        return { type: 'busy', askInstead: others[peerIndex] ?? null };
      }
      return { type: 'snapshot', snapshot: fold.createSnapshot(state) };
    },
  };
}
