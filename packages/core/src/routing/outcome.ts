/** What became of a call, stated on every answer. */

/** `done`: run and answered; `not-run`: certainly not run; `unknown`: may have run. */
export type Outcome = 'done' | 'not-run' | 'unknown';

/** The result of one attempt at a target. */
export interface AttemptResult {
  outcome: Outcome;
  /** Stable code of the reason, such as `shed` or `connection-lost`. */
  reason: string;
}

/**
 * Combines the attempts of one call: it was not run only if no attempt may have run it.
 *
 * @example
 * combineOutcomes([{ outcome: 'unknown', reason: 'timeout' }, { outcome: 'not-run', reason: 'shed' }]); // 'unknown'
 */
export function combineOutcomes(attempts: readonly AttemptResult[]): Outcome {
  if (attempts.some(({ outcome }) => outcome === 'done')) return 'done';
  return attempts.some(({ outcome }) => outcome === 'unknown') ? 'unknown' : 'not-run';
}

/** What decides whether a call is tried again. */
export interface RetryQuestion {
  idempotent: boolean;
  attempts: readonly AttemptResult[];
  maxAttempts: number;
  remainingMs: number;
  /** Takes one retry from the budget. */
  takeRetry: () => boolean;
}

/** Below this much time a further attempt cannot finish. */
const MIN_RETRY_MS = 5;

/**
 * Decides whether to try again: only what is idempotent or known not to have run, within the
 * attempts, the deadline and the budget.
 *
 * @example
 * const again = mayRetry({ idempotent: true, attempts, maxAttempts: 3, remainingMs: 200, takeRetry });
 */
export function mayRetry(question: RetryQuestion): boolean {
  const { idempotent, attempts, maxAttempts, remainingMs, takeRetry } = question;
  if (attempts.length >= maxAttempts || remainingMs < MIN_RETRY_MS) return false;
  if (!idempotent && attempts.some(({ outcome }) => outcome !== 'not-run')) return false;
  return takeRetry();
}
