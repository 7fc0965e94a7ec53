/** Tokens that a process was given for its callers, and how many it is likely to need. */

/** The tokens of one process. */
export interface Wallet {
  /** Uses one token of a customer, if there is one. */
  spend(customer: string, now: number): boolean;
  deposit(customer: string, count: number, now: number): void;
  /** How many tokens to ask for, per customer, to cover the next interval. */
  listWants(now: number): Record<string, number>;
  /** Calls per second that were asked for lately. */
  demand(customer: string): number;
}

/** Settings of a wallet; durations in milliseconds. */
export interface WalletOptions {
  /** Time between two calls of `listWants`. */
  intervalMs: number;
  /** How long a token may be used after it was given. */
  tokenTtlMs: number;
}

export const walletDefaults: WalletOptions = { intervalMs: 250, tokenTtlMs: 2_000 };

/** Weight of the newest interval in the moving mean of the demand. */
const DEMAND_GAIN = 0.4;
/** Tokens asked for, per call that is expected in an interval. */
const HEADROOM = 1.3;
const MIN_DEMAND = 0.01;
const MS_PER_SECOND = 1_000;

interface Purse {
  tokens: { count: number; until: number }[];
  asked: number;
  demand: number;
}

/**
 * Creates an empty wallet.
 *
 * @example
 * const wallet = createWallet(walletDefaults);
 */
export function createWallet(options: WalletOptions): Wallet {
  const purses = new Map<string, Purse>();

  const getPurse = (customer: string): Purse => {
    const purse = purses.get(customer) ?? { tokens: [], asked: 0, demand: 0 };
    purses.set(customer, purse);
    return purse;
  };

  const dropOld = (purse: Purse, now: number): void => {
    purse.tokens = purse.tokens.filter(({ count, until }) => count > 0 && until > now);
  };

  return {
    spend(customer, now) {
      const purse = getPurse(customer);
      purse.asked += 1;
      dropOld(purse, now);
      const [first] = purse.tokens;
      if (!first) return false;
      first.count -= 1;
      return true;
    },
    deposit(customer, count, now) {
      if (count > 0) getPurse(customer).tokens.push({ count, until: now + options.tokenTtlMs });
    },
    listWants(now) {
      const wants: Record<string, number> = {};
      purses.forEach((purse, customer) => {
        purse.demand += (purse.asked - purse.demand) * DEMAND_GAIN;
        purse.asked = 0;
        dropOld(purse, now);
        if (purse.demand < MIN_DEMAND) {
          if (purse.tokens.length === 0) purses.delete(customer);
          return;
        }
        const held = purse.tokens.reduce((sum, { count }) => sum + count, 0);
        const missing = Math.ceil(purse.demand * HEADROOM - held);
        if (missing > 0) wants[customer] = missing;
      });
      return wants;
    },
    demand: (customer) =>
      ((purses.get(customer)?.demand ?? 0) * MS_PER_SECOND) / options.intervalMs,
  };
}
