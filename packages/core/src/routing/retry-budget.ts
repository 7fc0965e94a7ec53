/** Limits retries to a fraction of the calls, so that retries cannot amplify an overload. */

export interface RetryBudgetOptions {
  /** Retries earned per call, such as 0.1. */
  ratio: number;
  /** Largest number of unused retries that the budget holds, also its initial value. */
  reserve: number;
}

export const retryBudgetDefaults: RetryBudgetOptions = { ratio: 0.15, reserve: 20 };

/** A retry budget that the calls of a process share. */
export interface RetryBudget {
  /** Adds the `ratio` that one call earns. */
  recordCall(): void;
  /** Takes one retry from the budget; returns false when less than one is left. */
  takeRetry(): boolean;
  /** Returns the number of retries left. */
  getRemaining(): number;
}

/**
 * Creates a budget that starts with its full reserve.
 *
 * @example
 * const budget = createRetryBudget(retryBudgetDefaults);
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  let remaining = options.reserve;
  return {
    recordCall() {
      remaining = Math.min(options.reserve, remaining + options.ratio);
    },
    takeRetry() {
      if (remaining < 1) return false;
      remaining -= 1;
      return true;
    },
    getRemaining: () => remaining,
  };
}
