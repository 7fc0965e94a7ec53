/**
 * One process's copy of the configuration: it only moves forward, a whole state at a time,
 * whether records come from the log or from peers.
 */
import * as fold from '../config/fold.js';
import type * as schemas from '../config/schemas.js';
import * as errors from '../shared/errors.js';
import type * as membershipTypes from '../membership/types.js';
import type * as types from './types.js';

/** Records kept for peers that are a little behind; further back they get the whole state. */
const MAX_RECENT_RECORDS = 256;
/** Whole states served per second before peers are sent elsewhere. */
const MAX_SNAPSHOTS_PER_SECOND = 4;
const FETCH_TIMEOUT_MS = 1_500;
const MS_PER_SECOND = 1_000;

/** The replica part of one process. */
export interface Replica {
  state(): schemas.State;
  digest(): string;
  /** Takes in records read from the log; `first` is the oldest offset that the log retains. */
  receiveRecords(records: readonly fold.OffsetRecord[], source: string): types.ReplicaEffect[];
  /** Notes what a peer holds, and asks for it when it is newer. */
  receiveMark(id: string, mark: membershipTypes.ConfigMark, now: number): types.ReplicaEffect[];
  receiveAnswer(from: string, answer: types.FetchAnswer, now: number): types.ReplicaEffect[];
  /** Gives up on a fetch that failed, so that the next mark starts another. */
  receiveFailure(from: string): void;
  answerFetch(
    request: types.FetchRequest,
    now: number,
    others: readonly string[],
  ): types.FetchAnswer;
}

/**
 * Creates a replica without any configuration.
 *
 * @example
 * const replica = createReplica();
 */
export function createReplica(): Replica {
  let state = fold.createState();
  let digest = fold.computeStateDigest(state);
  let recent: fold.OffsetRecord[] = [];
  let fetching: { from: string; since: number } | undefined;
  let served = { since: 0, count: 0 };

  const adopt = (next: schemas.State, source: string): types.ReplicaEffect[] => {
    errors.checkInvariant(
      next.position > state.position && next.version >= state.version,
      'version-regress',
      `position ${next.position} version ${next.version} after ${state.position} ${state.version}`,
    );
    state = next;
    digest = fold.computeStateDigest(next);
    return [{ type: 'apply', state, source }];
  };

  const keepRecent = (records: readonly fold.OffsetRecord[]): void => {
    const last = recent.at(-1);
    const isContiguous = !last || records[0]?.offset === last.offset + 1;
    recent = [...(isContiguous ? recent : []), ...records].slice(-MAX_RECENT_RECORDS);
  };

  const receiveRecords = (
    records: readonly fold.OffsetRecord[],
    source: string,
  ): types.ReplicaEffect[] => {
    const missing = records.filter(({ offset }) => offset > state.position);
    if (missing.length === 0) return [];
    const next = fold.recoverState(state, records);
    if (!next) return [{ type: 'refused', reason: 'gap before the oldest record', source }];
    if (next.position <= state.position) return [];
    keepRecent(missing);
    return adopt(next, source);
  };

  const receiveSnapshot = (snapshot: unknown, source: string): types.ReplicaEffect[] => {
    const next = fold.readSnapshot(snapshot);
    if (!next) return [{ type: 'refused', reason: 'snapshot with a wrong digest', source }];
    if (next.position <= state.position) return [];
    recent = [];
    return adopt(next, source);
  };

  const checkDigest = (expected: string, source: string): void => {
    errors.checkInvariant(
      expected === digest,
      'digest-mismatch',
      `position ${state.position} differs from ${source}`,
    );
  };

  const answerHandlers: {
    [K in types.FetchAnswer['type']]: (
      answer: Extract<types.FetchAnswer, { type: K }>,
      from: string,
      now: number,
    ) => types.ReplicaEffect[];
  } = {
    records: (answer, from) => {
      const last = answer.records.at(-1);
      const effects = receiveRecords(answer.records, from);
      if (last && last.offset === state.position) checkDigest(answer.digest, from);
      return effects;
    },
    snapshot: (answer, from) => receiveSnapshot(answer.snapshot, from),
    current: () => [],
    busy: (answer, _from, now) => {
      if (!answer.askInstead) return [];
      fetching = { from: answer.askInstead, since: now };
      return [{ type: 'fetch', from: answer.askInstead, position: state.position }];
    },
  };

  const maySendSnapshot = (now: number): boolean => {
    if (now - served.since >= MS_PER_SECOND) served = { since: now, count: 0 };
    served.count += 1;
    return served.count <= MAX_SNAPSHOTS_PER_SECOND;
  };

  return {
    state: () => state,
    digest: () => digest,
    receiveRecords,
    receiveMark(id, mark, now) {
      if (mark.position === state.position) {
        if (mark.digest !== '') checkDigest(mark.digest, id);
        return [];
      }
      if (mark.position < state.position) return [];
      if (fetching && now - fetching.since < FETCH_TIMEOUT_MS) return [];
      fetching = { from: id, since: now };
      return [{ type: 'fetch', from: id, position: state.position }];
    },
    receiveAnswer(from, answer, now) {
      fetching = undefined;
      const handle = answerHandlers[answer.type] as (
        item: types.FetchAnswer,
        peer: string,
        at: number,
      ) => types.ReplicaEffect[];
      return handle(answer, from, now);
    },
    receiveFailure(from) {
      if (fetching?.from === from) fetching = undefined;
    },
    answerFetch(request, now, others) {
      if (request.position >= state.position) return { type: 'current' };
      const first = recent[0];
      if (first && request.position + 1 >= first.offset) {
        const records = recent.filter(({ offset }) => offset > request.position);
        return { type: 'records', records, digest };
      }
      if (!maySendSnapshot(now)) {
        const index = served.count % Math.max(1, others.length);
        return { type: 'busy', askInstead: others[index] ?? null };
      }
      return { type: 'snapshot', snapshot: fold.createSnapshot(state) };
    },
  };
}
