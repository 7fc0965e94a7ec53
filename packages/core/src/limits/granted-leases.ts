/**
 * The granting side of rate-limit leases. A leased share is not used locally until the lease has
 * expired on this process's own clock, whether or not the holder is still running.
 */

/** A share of every contract's rate, with different shares for some customers. */
export interface ShareTable {
  /** Fraction of a contract's rate, between 0 and 1. */
  share: number;
  /** Shares by customer, where they differ from `share`. */
  exceptions: Readonly<Record<string, number>>;
}

export interface GrantedLeases {
  /** Records a lease that is sent to a holder at `now`. */
  grant(holder: string, table: ShareTable, now: number): void;
  /**
   * Computes the share of a customer's contract that is leased out at `now`, to all holders or to
   * all but `exceptHolder`. Without a customer, computes that of customers without an exception.
   */
  computeLeasedShare(customer: string | undefined, now: number, exceptHolder?: string): number;
}

interface GrantedLease extends ShareTable {
  holder: string;
  expiresAt: number;
}

/**
 * Returns a customer's share; without a customer, the share of customers without an exception.
 *
 * @example
 * getCustomerShare({ share: 0.1, exceptions: { school: 0 } }, 'school'); // 0
 */
export function getCustomerShare(table: ShareTable, customer: string | undefined): number {
  return (customer === undefined ? undefined : table.exceptions[customer]) ?? table.share;
}

/**
 * Creates an empty table of granted leases. Each lease expires `leaseMs` milliseconds after it was
 * sent. All times are monotonic and in milliseconds.
 *
 * @example
 * const leases = createGrantedLeases(6_000);
 * leases.grant('node-7', { share: 0.2, exceptions: {} }, clock.monotonic());
 */
export function createGrantedLeases(leaseMs: number): GrantedLeases {
  let leases: GrantedLease[] = [];
  return {
    grant(holder, table, now) {
      leases = leases.filter(({ expiresAt }) => expiresAt > now);
      leases.push({ ...table, holder, expiresAt: now + leaseMs });
    },
    computeLeasedShare(customer, now, exceptHolder) {
      const shareByHolder = new Map<string, number>();
      leases.forEach((lease) => {
        if (lease.expiresAt <= now || lease.holder === exceptHolder) return;
        // A new lease replaces the holder's earlier one when it arrives. That time is unknown, so
        // the larger of the two shares counts.
        const share = Math.max(
          shareByHolder.get(lease.holder) ?? 0,
          getCustomerShare(lease, customer),
        );
        shareByHolder.set(lease.holder, share);
      });
      return [...shareByHolder.values()].reduce((sum, share) => sum + share, 0);
    },
  };
}
