/**
 * Decides when a process asks the configuration's source itself and when it relies on the news of
 * others. Load pattern: a fleet of many hosts, a change every few hundred milliseconds, and a
 * source that counts each question; only one reader of a region asks all the time, the others
 * ask when its confirmations stay away, one after the other by their rank.
 */
import type * as clock from '../shared/clock.js';

/** What the process is to do next. */
export type WatchStep =
  /** Ask the source, which may hold the question open for so long. */
  | { type: 'ask'; waitMs: number }
  /** Do nothing before then, unless news arrives. */
  | { type: 'rest'; restMs: number };

/** Settings of a watch; they are shares of the time in which a change must be in force. */
export interface SourceWatchOptions {
  /** Time in which a change must be in force everywhere, in milliseconds. */
  applyWithinMs: number;
  /** How long a reader's question is held open; a silent connection shows soon after. */
  readerWaitShare: number;
  /** Age of the last confirmation from which a process asks by itself. */
  staleShare: number;
  /** By how much each rank waits longer, so that the first to ask can spare the others. */
  staggerShare: number;
  /** Ranks that stagger; those behind them wait as long as the last. */
  maxRank: number;
  /** First and longest pause after a failed question; farther ranks may pause for longer. */
  firstRetryShare: number;
  retryShare: number;
  farRetryShare: number;
}

export const sourceWatchDefaults: Omit<SourceWatchOptions, 'applyWithinMs'> = {
  // A question, its stagger and the answer's way fit into the bound together with a late start.
  readerWaitShare: 0.35,
  staleShare: 0.5,
  staggerShare: 0.02,
  maxRank: 8,
  firstRetryShare: 0.05,
  retryShare: 0.5,
  farRetryShare: 2,
};

/** Ranks that ask a source that fails at the short pause. */
const NEAR_RANKS = 3;

/** The watch of one process. */
export interface SourceWatch {
  /** The source confirmed at `at` that nothing newer exists. */
  noteConfirmed(at: number): void;
  /** The question failed. */
  noteFailed(now: number): void;
  next(rank: number, now: number): WatchStep;
  /** Time since the last confirmation, in milliseconds; infinite before the first. */
  ageMs(now: number): number;
}

/**
 * Creates a watch without any confirmation, which asks at once.
 *
 * @example
 * const watch = createSourceWatch({ ...sourceWatchDefaults, applyWithinMs: 2_000 }, random);
 * watch.next(0, clock.monotonic()); // { type: 'ask', waitMs: 0 }
 */
export function createSourceWatch(options: SourceWatchOptions, random: clock.Random): SourceWatch {
  const toMs = (share: number): number => share * options.applyWithinMs;
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let failures = 0;
  let failedAt = 0;
  /** Spreads the next question of processes that failed together. */
  let jitter = 1;

  const computePauseMs = (rank: number): number => {
    const longest = toMs(rank < NEAR_RANKS ? options.retryShare : options.farRetryShare);
    return Math.min(longest, toMs(options.firstRetryShare) * 2 ** failures);
  };

  return {
    noteConfirmed(at) {
      if (at <= confirmedAt) return;
      confirmedAt = at;
      failures = 0;
    },
    noteFailed(now) {
      failures += 1;
      failedAt = now;
      jitter = 1 + random();
    },
    next(rank, now) {
      const retryAt = failures > 0 ? failedAt + computePauseMs(rank) * jitter : now;
      const stagger = Math.min(rank, options.maxRank) * toMs(options.staggerShare);
      const staleAt = rank === 0 ? now : confirmedAt + toMs(options.staleShare) + stagger;
      const restMs = Math.max(retryAt, staleAt) - now;
      if (restMs > 0) return { type: 'rest', restMs };
      const isReading = rank === 0 && confirmedAt > Number.NEGATIVE_INFINITY;
      return { type: 'ask', waitMs: isReading ? toMs(options.readerWaitShare) : 0 };
    },
    ageMs: (now) => now - confirmedAt,
  };
}
