/** Limits the calls of each client account over all hosts together. */
import type * as mesh from '@figshed/core/mesh';
import * as constants from './constants.js';

export type QuotaVerdict = mesh.QuotaVerdict;

export interface Quota {
  /** Takes a call of the account from its limit, at once or after asking another host. */
  admit(account: mesh.ClientAccount): QuotaVerdict | Promise<QuotaVerdict>;
  /** Sets the accounts of the version in force. */
  setAccounts(accounts: readonly mesh.ClientAccount[]): void;
  start(): Promise<void>;
  stop(): void;
}

export const statusByVerdict: Readonly<Record<Exclude<QuotaVerdict['type'], 'admitted'>, number>> =
  {
    'over-limit': constants.HTTP.tooManyRequests,
    'quota-unknown': constants.HTTP.unavailable,
  };

/**
 * Creates a quota that limits nothing, for deployments without limits.
 *
 * @example
 * createUnlimitedQuota().admit(account); // { type: 'admitted' }
 */
export function createUnlimitedQuota(): Quota {
  return {
    admit: () => ({ type: 'admitted' }),
    setAccounts: () => undefined,
    start: () => Promise.resolve(),
    stop: () => undefined,
  };
}
