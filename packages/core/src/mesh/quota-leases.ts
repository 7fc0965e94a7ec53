/** Shares of the limits that hosts have leased to one coordinator. */
import type * as assignments from './quota-assignment.js';
import type * as messages from './quota-messages.js';

export interface HeldShare {
  /** Sum of the shares that only this coordinator may use, between 0 and 1. */
  exclusive: number;
  /** Sum of the shares that an earlier process of their host may have leased to others as well. */
  provisional: number;
}

export interface QuotaLeases {
  /** Renews the lease of a host; its echo must have been checked. */
  renew(request: messages.QuotaRequest, expiresAt: number): void;
  /** Returns whether the request is a duplicate of the last one of its process. */
  isDuplicate(request: messages.QuotaRequest): boolean;
  getHeldGeneration(request: messages.QuotaRequest): number;
  /** Removes what has expired; returns whether the shares have changed since the last call. */
  update(now: number): boolean;
  computeShare(account: string): HeldShare;
  countHosts(): number;
  setKnownHosts(count: number): void;
  clear(): void;
}

interface Lease {
  instance: number;
  sequence: number;
  delegation: messages.ShareDelegation;
  expiresAt: number;
}

/** Leases of hosts whose delegations name the same coordinators. */
interface LeaseGroup {
  delegation: messages.ShareDelegation;
  exclusive: number;
  provisional: number;
}

/** No lease; also lower than any generation. */
export const NO_GENERATION = -1;
const MAX_LEASES = 1_024;

/**
 * Creates an empty set of leases to the coordinator `id`.
 *
 * @example
 * const leases = createQuotaLeases('host-1', createQuotaAssignment());
 */
export function createQuotaLeases(
  id: string,
  assignment: assignments.QuotaAssignment,
): QuotaLeases {
  const leases = new Map<string, Lease>();
  let ownKnownHosts = 0;
  let knownHosts = 1;
  let hasChanged = true;
  let groups: LeaseGroup[] = [];
  let nextExpiryAt = Number.POSITIVE_INFINITY;

  const updateGroups = (): void => {
    const groupsByKey = new Map<string, LeaseGroup>();
    leases.forEach(({ delegation }) => {
      const { coordinators, next, isProvisional } = delegation;
      const key = `${coordinators.join('|')} ${next?.join('|') ?? ''}`;
      const group = groupsByKey.get(key) ?? { delegation, exclusive: 0, provisional: 0 };
      group[isProvisional ? 'provisional' : 'exclusive'] += 1;
      groupsByKey.set(key, group);
    });
    groups = [...groupsByKey.values()];
    // The largest number known to any host counts, so that a share is never larger than one in all.
    const known = [...leases.values()].map(({ delegation }) => delegation.knownHosts);
    knownHosts = Math.max(1, ownKnownHosts, leases.size, ...known);
  };

  const isSame = (left: messages.ShareDelegation, right: messages.ShareDelegation): boolean =>
    left.generation === right.generation &&
    left.isProvisional === right.isProvisional &&
    left.knownHosts === right.knownHosts;

  return {
    renew({ from, instance, sequence, delegation }, expiresAt) {
      const held = leases.get(from);
      if (!delegation || (!held && leases.size >= MAX_LEASES)) return;
      const isOlder =
        held !== undefined &&
        (instance < held.instance ||
          (instance === held.instance && delegation.generation < held.delegation.generation));
      if (isOlder) return;
      const isRenewal =
        held?.instance === instance && held.delegation.generation === delegation.generation;
      if (!isRenewal || !isSame(held.delegation, delegation)) hasChanged = true;
      // Messages may arrive in another order than they were sent.
      const latest = isRenewal ? Math.max(held.expiresAt, expiresAt) : expiresAt;
      leases.set(from, { instance, sequence, delegation, expiresAt: latest });
      nextExpiryAt = Math.min(nextExpiryAt, latest);
    },
    isDuplicate({ from, instance, sequence }) {
      const held = leases.get(from);
      return held?.instance === instance && held.sequence === sequence;
    },
    getHeldGeneration({ from, instance }) {
      const held = leases.get(from);
      return held?.instance === instance ? held.delegation.generation : NO_GENERATION;
    },
    update(now) {
      if (now >= nextExpiryAt) {
        leases.forEach(({ expiresAt }, host) => {
          if (expiresAt <= now && leases.delete(host)) hasChanged = true;
        });
        nextExpiryAt = Math.min(...[...leases.values()].map(({ expiresAt }) => expiresAt));
      }
      if (!hasChanged) return false;
      updateGroups();
      hasChanged = false;
      return true;
    },
    computeShare(account) {
      const share = { exclusive: 0, provisional: 0 };
      groups.forEach(({ delegation, exclusive, provisional }) => {
        const weight = assignment.computeWeight(id, account, delegation) / knownHosts;
        share.exclusive += weight * exclusive;
        share.provisional += weight * provisional;
      });
      return share;
    },
    countHosts: () => leases.size,
    setKnownHosts(count) {
      if (count === ownKnownHosts) return;
      ownKnownHosts = count;
      hasChanged = true;
    },
    clear() {
      leases.clear();
      hasChanged = true;
    },
  };
}
