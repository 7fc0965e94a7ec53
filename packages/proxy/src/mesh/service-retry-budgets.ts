import * as core from '@figshed/core';
import type * as settingsSchema from './settings.js';

/**
 * Share of the fleet's retry budget that the processes divide among them; the rest covers differences
 * between their member counts.
 */
const RETRY_BUDGET_SHARE = 0.6;
/** Parts of the fleet's retry budgets that this process may use, one for each service. */
export interface ServiceRetryBudgets {
  get(service: string): core.RetryBudget;
}

/**
 * Creates the budgets of one process; `countProcesses` returns how many share those of the fleet.
 *
 * @example
 * createServiceRetryBudgets(settings, () => 24).get('catalogue').takeRetry();
 */
export function createServiceRetryBudgets(
  settings: Pick<settingsSchema.MeshSettings, 'retries'>,
  countProcesses: () => number,
): ServiceRetryBudgets {
  const { ratio, reserve } = settings.retries;
  const budgets = new Map<string, core.RetryBudget>();
  return {
    get(service) {
      const existing = budgets.get(service);
      if (existing) return existing;
      const budget = core.createRetryBudget({
        ratio: ratio * RETRY_BUDGET_SHARE,
        reserve: Math.max(1, (reserve * RETRY_BUDGET_SHARE) / countProcesses()),
      });
      budgets.set(service, budget);
      return budget;
    },
  };
}
