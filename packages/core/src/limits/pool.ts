/**
 * The holding side of shares: what others lend fills one token bucket per customer, from which
 * tokens are given out. A loan counts from a moment that its giver has proved to be past, so that
 * a message which was delayed cannot lengthen it.
 */
import * as lending from './lending.js';
import * as tokenBucket from './token-bucket.js';

/** Terms of one customer, for the whole fleet. */
export interface CustomerTerms {
  ratePerSecond: number;
  burst: number;
}

/** One loan as it arrives. */
export interface PoolLoan extends lending.ShareTable {
  from: string;
  /** Stamp of an earlier answer of this process to the giver, or null when it has none. */
  echo: number | null;
}

/** Shares that others lend to this process. */
export interface Pool {
  receiveLoan(loan: PoolLoan, now: number): void;
  /** Takes up to `count` tokens of a customer. */
  take(customer: string, terms: CustomerTerms, count: number, now: number): number;
  /** Starts a contract that was not in force before, with the burst of the shares held. */
  open(customer: string, terms: CustomerTerms, now: number): void;
  /** Share of a customer's contract that is held, less what was lent on. */
  share(customer: string | undefined, now: number): number;
  /** Share that stays held until a moment, and may be lent on until then. */
  shareUntil(customer: string | undefined, until: number): number;
  /**
   * Brings the buckets of all customers up to date with the shares; call it every second. A
   * customer earns tokens from the first call on, so its first question finds some.
   */
  tick(customers: ReadonlyMap<string, CustomerTerms>, now: number): void;
}

interface Entry extends PoolLoan {
  until: number;
}

interface Account {
  bucket: tokenBucket.TokenBucket;
  terms: CustomerTerms;
}

/** Settings of a pool. */
export interface PoolOptions {
  /** Term of the loans that it receives, in milliseconds. */
  termMs: number;
  /** What this pool has lent on of a customer's contract. */
  readLent(customer: string | undefined, now: number): number;
}

/**
 * Creates a pool without loans.
 *
 * @example
 * const pool = createPool({ termMs: 6_000, readLent: () => 0 });
 */
export function createPool(options: PoolOptions): Pool {
  const loans = new Map<string, Entry>();
  const accounts = new Map<string, Account>();

  const shareUntil = (customer: string | undefined, until: number): number => {
    const held = [...loans.values()]
      .filter((loan) => loan.until > until)
      .reduce((sum, loan) => sum + lending.readShare(loan, customer), 0);
    return Math.min(1, held);
  };

  const readShare = (customer: string | undefined, now: number): number =>
    Math.max(0, shareUntil(customer, now) - options.readLent(customer, now));

  const update = (customer: string, { bucket, terms }: Account, now: number): void => {
    const share = readShare(customer, now);
    bucket.setTerms(terms.ratePerSecond * share, terms.burst * share, now);
  };

  const updateTerms = (customer: string, terms: CustomerTerms, now: number): Account => {
    const known = accounts.get(customer);
    const account = known ?? { bucket: tokenBucket.createTokenBucket(0, 0, now), terms };
    account.terms = terms;
    accounts.set(customer, account);
    update(customer, account, now);
    return account;
  };

  return {
    receiveLoan(loan, now) {
      const until = loan.echo === null ? -Infinity : loan.echo + options.termMs;
      if (until > now) loans.set(loan.from, { ...loan, until });
      accounts.forEach((account, customer) => update(customer, account, now));
    },
    take: (customer, terms, count, now) =>
      updateTerms(customer, terms, now).bucket.takeUpTo(count, now),
    open(customer, terms, now) {
      const share = readShare(customer, now);
      const [rate, burst] = [terms.ratePerSecond * share, terms.burst * share];
      const bucket = tokenBucket.createTokenBucket(rate, burst, now, burst);
      accounts.set(customer, { bucket, terms });
    },
    share: readShare,
    shareUntil,
    tick(customers, now) {
      loans.forEach((loan, from) => {
        if (loan.until <= now) loans.delete(from);
      });
      customers.forEach((terms, customer) => updateTerms(customer, terms, now));
      [...accounts.keys()]
        .filter((customer) => !customers.has(customer))
        .forEach((customer) => accounts.delete(customer));
    },
  };
}
