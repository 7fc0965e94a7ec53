/**
 * Tokens of one account at one process. Many processes may hold small shares of a limit, as when all
 * hosts are cut off from one another. If each could save up one whole token, they could spend as many
 * at once as there are hosts. A share whose burst is below one token therefore gets its tokens at
 * fixed times, different in each process, and each lapses.
 */
import * as tokenBucket from '../limits/token-bucket.js';
import type * as types from './types.js';

export interface QuotaAllowance extends Pick<
  tokenBucket.TokenBucket,
  'takeUpTo' | 'computeDelayMs'
> {
  /** Sets the share of the account's limit and of its burst. */
  setShare(account: types.ClientAccount, rate: number, burst: number, now: number): void;
}

const MS_PER_SECOND = 1_000;
/** Tokens that all processes with small shares may hold at once; half of the usual slack. */
const MIN_HELD_TOKENS = 10;
/** Tolerance of the comparison of two times of a schedule, as a part of its period. */
const ROUNDING = 1e-6;

/** Tokens that arrive at `(k + phase) * periodMs` for each integer k. */
interface TokenSchedule {
  periodMs: number;
  lapseMs: number;
}

/**
 * Creates an allowance without a share, in which nothing can be taken. `phase` is between 0 and 1 and
 * random. Times are monotonic and in milliseconds.
 *
 * @example
 * const allowance = createQuotaAllowance(random(), clock.monotonic());
 * allowance.setShare(account, account.ratePerSecond / 2, account.burst / 2, clock.monotonic());
 */
export function createQuotaAllowance(phase: number, createdAt: number): QuotaAllowance {
  let bucket: tokenBucket.TokenBucket | undefined;
  let schedule: TokenSchedule | undefined;
  let scheduledSince = createdAt;
  let lastTokenAt = Number.NEGATIVE_INFINITY;

  /** Returns when the next token of the schedule that has not lapsed arrives, perhaps in the past. */
  const computeNextTokenAt = ({ periodMs, lapseMs }: TokenSchedule, now: number): number => {
    const earliestAt = Math.max(scheduledSince, now - lapseMs, lastTokenAt + periodMs);
    const index = Math.ceil(earliestAt / periodMs - phase - ROUNDING);
    return (index + phase) * periodMs;
  };

  const takeScheduled = (current: TokenSchedule, count: number, now: number): number => {
    let taken = 0;
    let nextAt = computeNextTokenAt(current, now);
    while (taken < count && nextAt <= now) {
      taken += 1;
      lastTokenAt = nextAt;
      nextAt = computeNextTokenAt(current, now);
    }
    return taken;
  };

  return {
    setShare({ ratePerSecond, burst: wholeBurst }, rate, burst, now) {
      if (burst >= 1) {
        bucket ??= tokenBucket.createTokenBucket(0, 0, now);
        bucket.setLimits(rate, burst, now);
        schedule = undefined;
        return;
      }
      if (!schedule) scheduledSince = now;
      bucket = undefined;
      const lapseMs = (Math.max(wholeBurst, MIN_HELD_TOKENS) / ratePerSecond) * MS_PER_SECOND;
      schedule = rate > 0 ? { periodMs: MS_PER_SECOND / rate, lapseMs } : undefined;
    },
    takeUpTo(count, now) {
      if (bucket) return bucket.takeUpTo(count, now);
      return schedule ? takeScheduled(schedule, count, now) : 0;
    },
    computeDelayMs(count, now) {
      if (bucket) return bucket.computeDelayMs(count, now);
      if (!schedule) return Number.POSITIVE_INFINITY;
      const nextAt = computeNextTokenAt(schedule, now);
      return Math.max(0, nextAt + (count - 1) * schedule.periodMs - now);
    },
  };
}
