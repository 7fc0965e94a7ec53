/**
 * The holding side of rate-limit leases. The shares that other processes lease to this one fill a
 * token bucket per customer. A lease starts at a time on this process's clock that the grantor has
 * echoed, which is before the lease was sent, so that a delayed message cannot extend the lease.
 */
import * as grantedLeases from './granted-leases.js';
import * as tokenBucket from './token-bucket.js';

/** Rate limit of one customer for the whole fleet. */
export interface CustomerRateLimit {
  ratePerSecond: number;
  /** Size of the token bucket, in tokens. */
  burst: number;
}

export interface ReceivedLease extends grantedLeases.ShareTable {
  /** Instance of the grantor. */
  from: string;
  /**
   * Time that this process stamped on its response to an earlier lease of the grantor, in
   * milliseconds; null when the grantor has received none, in which case the lease is ignored.
   */
  echo: number | null;
}

export interface LeasePool {
  /** Replaces the grantor's lease, unless the received one has already expired. */
  receiveLease(lease: ReceivedLease, now: number): void;
  /** Takes up to `count` tokens of a customer and returns how many it took. */
  takeTokens(customer: string, rateLimit: CustomerRateLimit, count: number, now: number): number;
  /** Creates a full bucket for a contract that was not in force before. */
  createFullBucket(customer: string, rateLimit: CustomerRateLimit, now: number): void;
  /** Computes the held share of a customer's contract, less the share that is leased onward. */
  computeAvailableShare(customer: string | undefined, now: number): number;
  /** Computes the share that stays held until `until`, and may be leased onward until then. */
  computeShareHeldUntil(customer: string | undefined, until: number): number;
  /**
   * Updates the buckets of all customers to the current shares and removes all other buckets. Must
   * be called every second, so that a customer has earned tokens before its first request.
   */
  updateBuckets(customers: ReadonlyMap<string, CustomerRateLimit>, now: number): void;
}

interface HeldLease extends ReceivedLease {
  expiresAt: number;
}

interface CustomerBucket {
  bucket: tokenBucket.TokenBucket;
  rateLimit: CustomerRateLimit;
}

export interface LeasePoolOptions {
  /** Duration of the received leases, in milliseconds. */
  leaseMs: number;
  /** Returns the share of a customer's contract that this process leases onward. */
  computeLeasedShare(customer: string | undefined, now: number): number;
}

/**
 * Creates a pool without leases. All times are monotonic and in milliseconds.
 *
 * @example
 * const pool = createLeasePool({ leaseMs: 6_000, computeLeasedShare: () => 0 });
 */
export function createLeasePool(options: LeasePoolOptions): LeasePool {
  const leases = new Map<string, HeldLease>();
  const buckets = new Map<string, CustomerBucket>();

  const computeShareHeldUntil = (customer: string | undefined, until: number): number => {
    const heldShare = [...leases.values()]
      .filter((lease) => lease.expiresAt > until)
      .reduce((sum, lease) => sum + grantedLeases.getCustomerShare(lease, customer), 0);
    return Math.min(1, heldShare);
  };

  const computeAvailableShare = (customer: string | undefined, now: number): number =>
    Math.max(0, computeShareHeldUntil(customer, now) - options.computeLeasedShare(customer, now));

  const updateBucket = (
    customer: string,
    { bucket, rateLimit }: CustomerBucket,
    now: number,
  ): void => {
    const share = computeAvailableShare(customer, now);
    bucket.setLimits(rateLimit.ratePerSecond * share, rateLimit.burst * share, now);
  };

  const updateRateLimit = (
    customer: string,
    rateLimit: CustomerRateLimit,
    now: number,
  ): CustomerBucket => {
    const existing = buckets.get(customer);
    const entry = existing ?? { bucket: tokenBucket.createTokenBucket(0, 0, now), rateLimit };
    entry.rateLimit = rateLimit;
    buckets.set(customer, entry);
    updateBucket(customer, entry, now);
    return entry;
  };

  return {
    receiveLease(lease, now) {
      const expiresAt = lease.echo === null ? -Infinity : lease.echo + options.leaseMs;
      if (expiresAt > now) leases.set(lease.from, { ...lease, expiresAt });
      buckets.forEach((entry, customer) => updateBucket(customer, entry, now));
    },
    takeTokens: (customer, rateLimit, count, now) =>
      updateRateLimit(customer, rateLimit, now).bucket.takeUpTo(count, now),
    createFullBucket(customer, rateLimit, now) {
      const share = computeAvailableShare(customer, now);
      const [rate, burst] = [rateLimit.ratePerSecond * share, rateLimit.burst * share];
      const bucket = tokenBucket.createTokenBucket(rate, burst, now, burst);
      buckets.set(customer, { bucket, rateLimit });
    },
    computeAvailableShare,
    computeShareHeldUntil,
    updateBuckets(customers, now) {
      leases.forEach((lease, from) => {
        if (lease.expiresAt <= now) leases.delete(from);
      });
      customers.forEach((rateLimit, customer) => updateRateLimit(customer, rateLimit, now));
      [...buckets.keys()]
        .filter((customer) => !customers.has(customer))
        .forEach((customer) => buckets.delete(customer));
    },
  };
}
