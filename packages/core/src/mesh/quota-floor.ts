import type * as clock from '../shared/clock.js';
import * as allowances from './quota-allowance.js';
import type * as shares from './quota-share.js';
import type * as types from './types.js';

/** Tokens of one account from the own share of a host, while that is leased to no coordinator. */
export interface QuotaFloor {
  /** Takes a token; returns the delay until there is one, and undefined while the share is leased. */
  take(
    account: types.ClientAccount,
    coordinators: readonly string[],
    now: number,
  ): number | undefined;
}

/**
 * Creates a floor without tokens.
 *
 * @example
 * if (createQuotaFloor(share, random).take(account, coordinators, now) === 0) runCall();
 */
export function createQuotaFloor(share: shares.QuotaShare, random: clock.Random): QuotaFloor {
  let allowance: allowances.QuotaAllowance | undefined;
  let unleasedSince = 0;

  return {
    take(account, coordinators, now) {
      const knownHosts = share.getKnownHosts();
      const leasedUntil = share.computeLeasedUntil(coordinators);
      if (knownHosts === undefined || leasedUntil > now) return undefined;
      // Tokens must not come in for a time in which the share was leased.
      if (!allowance || unleasedSince !== leasedUntil)
        allowance = allowances.createQuotaAllowance(random(), now);
      unleasedSince = leasedUntil;
      const { ratePerSecond, burst } = account;
      allowance.setShare(account, ratePerSecond / knownHosts, burst / knownHosts, now);
      return allowance.takeUpTo(1, now) === 1 ? 0 : allowance.computeDelayMs(1, now);
    },
  };
}
