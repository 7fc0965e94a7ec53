/**
 * Decides when a process polls the configuration source itself and when it relies on the updates
 * that other processes disseminate. A fleet has many hosts and a change every few hundred
 * milliseconds, and the source counts every poll, so only the reader of a region (rank 0) polls
 * continuously. The others poll at their start and when confirmations stop, staggered by rank.
 */
import type * as clock from '../shared/clock.js';

export type PollStep =
  /** Polls the source, which may hold the request open for up to `waitMs`. */
  | { type: 'poll'; waitMs: number }
  /** Waits for `delayMs`, unless an update arrives earlier. */
  | { type: 'wait'; delayMs: number };

/** Options of a schedule; the shares are relative to `applyWithinMs`. */
export interface PollScheduleOptions {
  /** Time within which a change must be in force on all hosts, in milliseconds. */
  applyWithinMs: number;
  /** Long-poll duration of the reader; a half-open connection is detected soon after it. */
  readerWaitShare: number;
  /** Age of the last confirmation after which a process polls by itself. */
  staleShare: number;
  /** Additional delay per rank; a successful poll makes those of higher ranks unnecessary. */
  staggerShare: number;
  /** Rank above which the stagger does not increase further. */
  maxRank: number;
  /** Base of the back-off, which doubles with each consecutive failure from the first one on. */
  baseRetryShare: number;
  /** Maximum back-off of the lowest ranks, before jitter. */
  maxRetryShare: number;
  /** Maximum back-off of all other ranks, before jitter. */
  maxHighRankRetryShare: number;
}

export const pollScheduleDefaults: Omit<PollScheduleOptions, 'applyWithinMs'> = {
  // A poll that starts late, its stagger and its response together fit into `applyWithinMs`.
  readerWaitShare: 0.35,
  staleShare: 0.5,
  staggerShare: 0.02,
  maxRank: 8,
  baseRetryShare: 0.05,
  // With the jitter, a reader finds within 0.6 of the bound that the source responds again.
  maxRetryShare: 0.3,
  maxHighRankRetryShare: 2,
};

/** Number of ranks whose back-off is limited by `maxRetryShare`. */
const FAST_RETRY_RANKS = 3;

export interface PollSchedule {
  /** Records that the configuration in force was the newest at monotonic time `at`. */
  recordConfirmation(at: number): void;
  recordFailure(now: number): void;
  /** Returns the next action for the current rank of the process. */
  computeNextStep(rank: number, now: number): PollStep;
  /** Returns the time since the last confirmation, in milliseconds; infinite before the first. */
  getConfirmationAgeMs(now: number): number;
}

/**
 * Creates a schedule without a confirmation, whose first step is an immediate poll.
 *
 * @example
 * const schedule = createPollSchedule({ ...pollScheduleDefaults, applyWithinMs: 2_000 }, random);
 * schedule.computeNextStep(0, clock.monotonic()); // { type: 'poll', waitMs: 0 }
 */
export function createPollSchedule(
  options: PollScheduleOptions,
  random: clock.Random,
): PollSchedule {
  const toMs = (share: number): number => share * options.applyWithinMs;
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let consecutiveFailures = 0;
  let failedAt = 0;
  /** Random factor, so that processes whose polls failed together do not retry together. */
  let jitter = 1;

  const computeRetryDelayMs = (rank: number): number => {
    const maxDelayMs = toMs(
      rank < FAST_RETRY_RANKS ? options.maxRetryShare : options.maxHighRankRetryShare,
    );
    return Math.min(maxDelayMs, toMs(options.baseRetryShare) * 2 ** consecutiveFailures);
  };

  return {
    recordConfirmation(at) {
      if (at <= confirmedAt) return;
      confirmedAt = at;
      consecutiveFailures = 0;
    },
    recordFailure(now) {
      consecutiveFailures += 1;
      failedAt = now;
      jitter = 1 + random();
    },
    computeNextStep(rank, now) {
      const retryAt = consecutiveFailures > 0 ? failedAt + computeRetryDelayMs(rank) * jitter : now;
      const staggerMs = Math.min(rank, options.maxRank) * toMs(options.staggerShare);
      const staleAt = rank === 0 ? now : confirmedAt + toMs(options.staleShare) + staggerMs;
      const delayMs = Math.max(retryAt, staleAt) - now;
      if (delayMs > 0) return { type: 'wait', delayMs };
      // A poll after a failure does not wait, so that its response shows at once what has changed.
      const mayWait =
        rank === 0 && confirmedAt > Number.NEGATIVE_INFINITY && consecutiveFailures === 0;
      return { type: 'poll', waitMs: mayWait ? toMs(options.readerWaitShare) : 0 };
    },
    getConfirmationAgeMs: (now) => now - confirmedAt,
  };
}
