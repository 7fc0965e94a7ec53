import * as rendezvous from '../shared/rendezvous.js';
import type * as messages from './quota-messages.js';

/** Finds the coordinators of each account. */
export interface QuotaAssignment {
  /** Lists the coordinators of an account, each of which holds an equal part of its limit. */
  listCoordinators(account: string, coordinators: readonly string[]): readonly string[];
  /** Computes the part of a delegated share of an account that a coordinator may use. */
  computeWeight(
    id: string,
    account: string,
    delegation: Pick<messages.ShareDelegation, 'coordinators' | 'next'>,
  ): number;
}

/** With two, the loss of one leaves half of the limit and the tokens that the other has saved up. */
const COORDINATORS_PER_ACCOUNT = 2;
/** Sets of coordinators whose assignments are kept; hosts differ in theirs only while one changes. */
const MAX_KEPT_SETS = 16;

/**
 * Creates an assignment, by rendezvous hashing, so that hosts with the same coordinators agree.
 *
 * @example
 * createQuotaAssignment().listCoordinators('school', ['a', 'b', 'c']).length; // 2
 */
export function createQuotaAssignment(): QuotaAssignment {
  const sets = new Map<string, Map<string, readonly string[]>>();

  const getSet = (coordinators: readonly string[]): Map<string, readonly string[]> => {
    const key = coordinators.join('|');
    const set = sets.get(key) ?? new Map<string, readonly string[]>();
    sets.set(key, set);
    const [oldest] = sets.keys();
    if (sets.size > MAX_KEPT_SETS && oldest !== undefined) sets.delete(oldest);
    return set;
  };

  const listCoordinators: QuotaAssignment['listCoordinators'] = (account, coordinators) => {
    const set = getSet(coordinators);
    const ids =
      set.get(account) ??
      rendezvous.chooseByRendezvousHash(`quota|${account}`, coordinators, COORDINATORS_PER_ACCOUNT);
    set.set(account, ids);
    return ids;
  };

  const computeSetWeight = (
    id: string,
    account: string,
    coordinators: readonly string[],
  ): number => {
    const ids = listCoordinators(account, coordinators);
    return ids.includes(id) ? 1 / ids.length : 0;
  };

  return {
    listCoordinators,
    computeWeight(id, account, { coordinators, next }) {
      const weight = computeSetWeight(id, account, coordinators);
      return next ? Math.min(weight, computeSetWeight(id, account, next)) : weight;
    },
  };
}
