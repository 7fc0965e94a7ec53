/**
 * The giving side of shares: what is lent may not be used here until the loan has run out, by
 * this process's own clock, whatever became of its holder.
 */

/** Shares of every contract, but for some customers other ones. */
export interface ShareTable {
  share: number;
  exceptions: Readonly<Record<string, number>>;
}

/** The loans of one process. */
export interface Lending {
  /** Notes a loan that is sent at `now`. */
  lend(holder: string, table: ShareTable, now: number): void;
  /** What is lent of a customer's contract, to all holders or to all but one. */
  lentShare(customer: string | undefined, now: number, exceptHolder?: string): number;
}

interface Loan extends ShareTable {
  holder: string;
  until: number;
}

/**
 * Reads the share of a customer; without a customer, that of those without an exception.
 *
 * @example
 * readShare({ share: 0.1, exceptions: { school: 0 } }, 'school'); // 0
 */
export function readShare(table: ShareTable, customer: string | undefined): number {
  return (customer === undefined ? undefined : table.exceptions[customer]) ?? table.share;
}

/**
 * Creates a process without loans. A loan lasts `termMs` from the moment that it was sent.
 *
 * @example
 * const lending = createLending(6_000);
 * lending.lend('node-7', { share: 0.2, exceptions: {} }, clock.monotonic());
 */
export function createLending(termMs: number): Lending {
  let loans: Loan[] = [];
  return {
    lend(holder, table, now) {
      loans = loans.filter(({ until }) => until > now);
      loans.push({ ...table, holder, until: now + termMs });
    },
    lentShare(customer, now, exceptHolder) {
      const most = new Map<string, number>();
      loans.forEach((loan) => {
        if (loan.until <= now || loan.holder === exceptHolder) return;
        // A later loan to the same holder takes the place of an earlier one, at an unknown moment.
        const share = Math.max(most.get(loan.holder) ?? 0, readShare(loan, customer));
        most.set(loan.holder, share);
      });
      return [...most.values()].reduce((sum, share) => sum + share, 0);
    },
  };
}
