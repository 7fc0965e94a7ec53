/** Remembers what became of attempts, so that a caller whose connection broke can ask. */
import type * as core from '@figshed/core';
import type * as types from '../calls/types.js';

/** The memory of one process; an attempt that was reported as not run can never start later. */
export interface AttemptLog {
  /** Starts an attempt; false when it was refused for good or started before. */
  start(attemptId: string): boolean;
  finish(attemptId: string, isOrder: boolean, answer: core.OrderAnswer | null, now: number): void;
  /** Marks an attempt as ended without a certain result. */
  lose(attemptId: string, now: number): void;
  /** Marks an attempt as not run, for good. */
  refuse(attemptId: string, now: number): void;
  /** Tells what became of an attempt; one never seen is refused for good. */
  ask(attemptId: string, now: number): types.AttemptState;
  forget(now: number): void;
  size(): number;
}

interface Entry {
  state: types.AttemptState;
  expiresAt: number;
}

const ORDER_TTL_MS = 600_000;
const OTHER_TTL_MS = 30_000;

/**
 * Creates an empty attempt log.
 *
 * @example
 * const attempts = createAttemptLog();
 */
export function createAttemptLog(): AttemptLog {
  const entries = new Map<string, Entry>();
  const set = (attemptId: string, state: types.AttemptState, expiresAt: number): void => {
    entries.set(attemptId, { state, expiresAt });
  };
  return {
    start(attemptId) {
      if (entries.has(attemptId)) return false;
      set(attemptId, { type: 'running' }, Infinity);
      return true;
    },
    finish(attemptId, isOrder, answer, now) {
      set(attemptId, { type: 'done', answer }, now + (isOrder ? ORDER_TTL_MS : OTHER_TTL_MS));
    },
    lose: (attemptId, now) => set(attemptId, { type: 'unknown' }, now + ORDER_TTL_MS),
    refuse: (attemptId, now) => set(attemptId, { type: 'not-run' }, now + ORDER_TTL_MS),
    ask(attemptId, now) {
      const known = entries.get(attemptId);
      if (known) return known.state;
      const state: types.AttemptState = { type: 'not-run' };
      set(attemptId, state, now + ORDER_TTL_MS);
      return state;
    },
    forget(now) {
      entries.forEach(({ expiresAt }, attemptId) => {
        if (now >= expiresAt) entries.delete(attemptId);
      });
    },
    size: () => entries.size,
  };
}
