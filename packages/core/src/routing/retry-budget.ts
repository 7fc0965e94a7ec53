/** Limits retries to a share of the calls, so that retries cannot multiply an overload. */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries allowed per call, such as 0.1. */
  ratio: number;
  /** Retries that may be saved up. */
  reserve: number;
}

export const retryBudgetDefaults: RetryBudgetOptions = { ratio: 0.15, reserve: 20 };

/** A budget shared by all calls of one process. */
export interface RetryBudget {
  noteCall(): void;
  /** Takes one retry from the budget, or returns false when it is spent. */
  takeRetry(): boolean;
  balance(): number;
}

/**
 * Creates a budget that starts with its reserve.
 *
 * @example
 * const budget = createRetryBudget(retryBudgetDefaults);
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  let balance = options.reserve;
  return {
    noteCall() {
      balance = Math.min(options.reserve, balance + options.ratio);
    },
    takeRetry() {
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
    balance: () => balance,
  };
}
