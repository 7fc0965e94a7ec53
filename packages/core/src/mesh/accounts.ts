/**
 * Identifies the client account of a call by the digest of its API key. Only digests are compared, so
 * the time of a comparison tells nothing about a key.
 */
import * as canonical from '../shared/canonical.js';
import type * as types from './types.js';

/** Accounts of one configuration version, indexed by the digests of their keys. */
export interface AccountTable {
  findByKey(apiKey: string): types.ClientAccount | undefined;
}

export type CallerVerdict =
  /** `account` is undefined for a call without a key that needs none. */
  | { type: 'allowed'; account: types.ClientAccount | undefined }
  /** The key is missing or belongs to no account of this version. */
  | { type: 'unknown' };

/**
 * Indexes the accounts of a configuration.
 *
 * @example
 * compileAccounts(config.accounts ?? []).findByKey('2ftimaj3')?.name;
 */
export function compileAccounts(accounts: readonly types.ClientAccount[]): AccountTable {
  const accountsByDigest = new Map(
    accounts.flatMap((account) => account.keyDigests.map((digest) => [digest, account] as const)),
  );
  return { findByKey: (apiKey) => accountsByDigest.get(canonical.computeDigest(apiKey)) };
}

/**
 * Identifies the caller of one call. A call on a public route needs no key, and targets make their nested
 * calls on such routes; a key that is sent must be known all the same.
 *
 * @example
 * identifyCaller(accounts, { apiKey: undefined, isPublic: true }).type; // 'allowed'
 */
export function identifyCaller(
  accounts: AccountTable,
  call: { apiKey: string | undefined; isPublic: boolean },
): CallerVerdict {
  if (call.apiKey === undefined)
    return call.isPublic ? { type: 'allowed', account: undefined } : { type: 'unknown' };
  const account = accounts.findByKey(call.apiKey);
  return account ? { type: 'allowed', account } : { type: 'unknown' };
}
