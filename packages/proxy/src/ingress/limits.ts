/** Keeps the calls that this proxy admits within its share of every contract. */
import * as core from '@figshed/core';

/** Whether a call may go on. */
export type Admittance = { admitted: true } | { admitted: false; retryAfterMs: number };

/** The limits of one proxy. */
export interface Limits {
  admit(contract: core.Contract, now: number): Admittance;
  /** Ends a call that was admitted. */
  release(customer: string): void;
  /** Sets the share of this proxy in every contract, as a factor between 0 and 1. */
  setShare(share: number): void;
  describe(customer: string): { share: number; open: number };
}

const RETRY_CONCURRENCY_MS = 100;

interface Account {
  bucket: core.TokenBucket;
  ratePerSecond: number;
  burst: number;
  share: number;
  open: number;
}

/**
 * Creates limits with no share yet.
 *
 * @example
 * const limits = createLimits(clock.monotonic());
 */
export function createLimits(startedAt: number): Limits {
  const accounts = new Map<string, Account>();
  let share = 0;

  const getAccount = (contract: core.Contract, now: number): Account => {
    const { name, ratePerSecond, burst } = contract;
    const known = accounts.get(name);
    const account = known ?? {
      bucket: core.createTokenBucket(ratePerSecond * share, burst * share, startedAt),
      ratePerSecond,
      burst,
      share,
      open: 0,
    };
    accounts.set(name, account);
    const isSame =
      account.ratePerSecond === ratePerSecond && account.burst === burst && account.share === share;
    if (!isSame) {
      account.bucket.setTerms(ratePerSecond * share, Math.max(1, burst * share), now);
      Object.assign(account, { ratePerSecond, burst, share });
    }
    return account;
  };

  return {
    admit(contract, now) {
      const account = getAccount(contract, now);
      const maxOpen = Math.max(1, Math.floor(contract.concurrency * share));
      if (account.open >= maxOpen) return { admitted: false, retryAfterMs: RETRY_CONCURRENCY_MS };
      const taken = account.bucket.take(now);
      if (taken.admitted) account.open += 1;
      return taken;
    },
    release(customer) {
      const account = accounts.get(customer);
      if (account) account.open = Math.max(0, account.open - 1);
    },
    setShare(next) {
      share = next;
    },
    describe: (customer) => ({ share, open: accounts.get(customer)?.open ?? 0 }),
  };
}
