/** Stores the states of attempts, so that a proxy whose connection broke can request them. */
import type * as core from '@figshed/core';
import type * as types from '../calls/types.js';

/**
 * Attempt states of one process. An attempt that was reported as not run cannot start later, as
 * long as its entry has not expired.
 */
export interface AttemptStateStore {
  /** Marks an attempt as running; false when the attempt has an entry already. */
  tryStart(attemptId: string): boolean;
  markDone(attemptId: string, isOrder: boolean, answer: core.OrderAnswer | null, now: number): void;
  markUnknown(attemptId: string, now: number): void;
  /** Marks an attempt as not run, so that it cannot start later. */
  markNotRun(attemptId: string, now: number): void;
  /** Returns the state of an attempt; one without an entry is marked as not run. */
  readOrMarkNotRun(attemptId: string, now: number): types.AttemptState;
  deleteExpired(now: number): void;
  countEntries(): number;
}

interface Entry {
  state: types.AttemptState;
  expiresAt: number;
}

/** Lifetime of the entries of finished orders, and of attempts that were not run or are unknown. */
const ORDER_TTL_MS = 600_000;
/** Lifetime of the entries of other finished attempts. */
const OTHER_TTL_MS = 30_000;

/**
 * Creates an empty store.
 *
 * @example
 * const attemptStates = createAttemptStateStore();
 */
export function createAttemptStateStore(): AttemptStateStore {
  const entries = new Map<string, Entry>();
  const set = (attemptId: string, state: types.AttemptState, expiresAt: number): void => {
    entries.set(attemptId, { state, expiresAt });
  };
  return {
    tryStart(attemptId) {
      if (entries.has(attemptId)) return false;
      set(attemptId, { type: 'running' }, Infinity);
      return true;
    },
    markDone(attemptId, isOrder, answer, now) {
      set(attemptId, { type: 'done', answer }, now + (isOrder ? ORDER_TTL_MS : OTHER_TTL_MS));
    },
    markUnknown: (attemptId, now) => set(attemptId, { type: 'unknown' }, now + ORDER_TTL_MS),
    markNotRun: (attemptId, now) => set(attemptId, { type: 'not-run' }, now + ORDER_TTL_MS),
    readOrMarkNotRun(attemptId, now) {
      const entry = entries.get(attemptId);
      if (entry) return entry.state;
      const state: types.AttemptState = { type: 'not-run' };
      set(attemptId, state, now + ORDER_TTL_MS);
      return state;
    },
    deleteExpired(now) {
      entries.forEach(({ expiresAt }, attemptId) => {
        if (now >= expiresAt) entries.delete(attemptId);
      });
    },
    countEntries: () => entries.size,
  };
}
