/**
 * Execution outcome of a call, which every response carries. `done`: run and answered; `not-run`:
 * certainly not run; `unknown`: may have run.
 */
export type Outcome = 'done' | 'not-run' | 'unknown';

/** Result of one attempt at a target. */
export interface AttemptResult {
  outcome: Outcome;
  /** Stable code of the reason, such as `shed` or `connection-lost`. */
  reason: string;
}

/**
 * Combines the results of all attempts of one call: `done` if any attempt was, otherwise `unknown`
 * if any attempt may have run the call.
 *
 * @example
 * combineOutcomes([{ outcome: 'unknown', reason: 'timeout' }, { outcome: 'not-run', reason: 'shed' }]); // 'unknown'
 */
export function combineOutcomes(attempts: readonly AttemptResult[]): Outcome {
  if (attempts.some(({ outcome }) => outcome === 'done')) return 'done';
  return attempts.some(({ outcome }) => outcome === 'unknown') ? 'unknown' : 'not-run';
}

/** The state of a call on which a retry decision depends. */
export interface RetryContext {
  idempotent: boolean;
  attempts: readonly AttemptResult[];
  maxAttempts: number;
  /** Time until the deadline, in milliseconds. */
  remainingMs: number;
  /** Takes one retry from the retry budget; returns false when the budget is used up. */
  takeRetry: () => boolean;
}

/** With less time remaining, another attempt cannot finish. */
const MIN_RETRY_MS = 5;

/**
 * Decides whether to retry a call. Only calls that are idempotent or certainly not run are retried,
 * within the maximum number of attempts, the deadline and the retry budget. Takes a retry from the
 * budget when all other conditions hold.
 *
 * @example
 * const shouldRetry = tryTakeRetry({ idempotent: true, attempts, maxAttempts: 3, remainingMs: 200, takeRetry });
 */
export function tryTakeRetry(context: RetryContext): boolean {
  const { idempotent, attempts, maxAttempts, remainingMs, takeRetry } = context;
  if (attempts.length >= maxAttempts || remainingMs < MIN_RETRY_MS) return false;
  if (!idempotent && attempts.some(({ outcome }) => outcome !== 'not-run')) return false;
  return takeRetry();
}
