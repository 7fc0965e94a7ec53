/** Tokens that were granted to a process in advance, and its estimated demand per customer. */
export interface TokenCache {
  /** Takes one token of a customer; false when there is none. Always counts towards the demand. */
  takeToken(customer: string, now: number): boolean;
  /** Adds tokens that were granted for a customer; they expire after `tokenTtlMs`. */
  addTokens(customer: string, count: number, now: number): void;
  /**
   * Updates the estimated demand and returns how many tokens to request per customer for the next
   * interval.
   */
  computeTokenRequests(now: number): Record<string, number>;
  getDemandPerSecond(customer: string): number;
}

export interface TokenCacheOptions {
  /** Time between two calls of `computeTokenRequests`, in milliseconds. */
  intervalMs: number;
  /** How long a token may be used after it was granted, in milliseconds. */
  tokenTtlMs: number;
}

export const tokenCacheDefaults: TokenCacheOptions = { intervalMs: 250, tokenTtlMs: 2_000 };

/** Weight of the newest interval in the exponential moving average of the demand. */
const DEMAND_SMOOTHING = 0.4;
const TOKENS_PER_EXPECTED_CALL = 1.3;
/** Calls per interval below which a customer counts as idle and no tokens are requested. */
const MIN_DEMAND = 0.01;
const MS_PER_SECOND = 1_000;

interface CustomerEntry {
  tokens: { count: number; expiresAt: number }[];
  /** Calls since the last update of the demand. */
  calls: number;
  /** Moving average of calls per interval. */
  demand: number;
}

/**
 * Creates an empty token cache. All times are monotonic and in milliseconds.
 *
 * @example
 * const cache = createTokenCache(tokenCacheDefaults);
 */
export function createTokenCache(options: TokenCacheOptions): TokenCache {
  const entries = new Map<string, CustomerEntry>();

  const getEntry = (customer: string): CustomerEntry => {
    const entry = entries.get(customer) ?? { tokens: [], calls: 0, demand: 0 };
    entries.set(customer, entry);
    return entry;
  };

  const removeExpired = (entry: CustomerEntry, now: number): void => {
    entry.tokens = entry.tokens.filter(({ count, expiresAt }) => count > 0 && expiresAt > now);
  };

  return {
    takeToken(customer, now) {
      const entry = getEntry(customer);
      entry.calls += 1;
      removeExpired(entry, now);
      const [oldest] = entry.tokens;
      if (!oldest) return false;
      oldest.count -= 1;
      return true;
    },
    addTokens(customer, count, now) {
      if (count > 0) getEntry(customer).tokens.push({ count, expiresAt: now + options.tokenTtlMs });
    },
    computeTokenRequests(now) {
      const missingTokens: Record<string, number> = {};
      entries.forEach((entry, customer) => {
        entry.demand += (entry.calls - entry.demand) * DEMAND_SMOOTHING;
        entry.calls = 0;
        removeExpired(entry, now);
        if (entry.demand < MIN_DEMAND) {
          if (entry.tokens.length === 0) entries.delete(customer);
          return;
        }
        const available = entry.tokens.reduce((sum, { count }) => sum + count, 0);
        const missing = Math.ceil(entry.demand * TOKENS_PER_EXPECTED_CALL - available);
        if (missing > 0) missingTokens[customer] = missing;
      });
      return missingTokens;
    },
    getDemandPerSecond: (customer) =>
      ((entries.get(customer)?.demand ?? 0) * MS_PER_SECOND) / options.intervalMs,
  };
}
