/**
 * The share of a host in every limit, one part in as many as there are hosts. The host leases it to
 * the coordinators of each account, or uses it alone. Whatever fails, it is never in use twice: the
 * host moves it only once the earlier coordinators have confirmed that they no longer use it, or
 * once their leases must have expired.
 *
 * A coordinator counts a lease from the stamp that the host returns to it, so that the lease ends
 * before `leaseMs` have passed since the host received the coordinator's last reply.
 */
import type * as messages from './quota-messages.js';

export interface QuotaMembership {
  coordinators: readonly string[];
  /** All other hosts that have not left, dead ones included. */
  others: readonly string[];
  /** Number of hosts that have not left; there may be some whose id is not known yet. */
  knownHosts: number | undefined;
}

export interface QuotaShare {
  setView(view: QuotaMembership, now: number): void;
  /** Moves the share to other coordinators as far as that is safe. */
  update(now: number): void;
  recordReply(reply: messages.QuotaReply, now: number): void;
  getEcho(coordinator: string): messages.QuotaStamp | undefined;
  getDelegation(): messages.ShareDelegation | undefined;
  /** Returns whether a coordinator should be sent the present delegation soon. */
  isOutdated(coordinator: string): boolean;
  /** Returns whether coordinators may not have received all shares that they are to hold. */
  isMoving(now: number): boolean;
  getCoordinators(): readonly string[];
  /** Lists the coordinators in use and those that follow. */
  listContacts(): string[];
  getKnownHosts(): number | undefined;
  /** Returns whether a coordinator may use the share now. */
  mayUse(coordinator: string, now: number): boolean;
  /** Returns the time until which any of some coordinators may use the share. */
  computeLeasedUntil(coordinators: readonly string[]): number;
}

interface CoordinatorState {
  /** Of the latest request that it has replied to. */
  sequence: number;
  stamp: messages.QuotaStamp;
  generation: number;
  /** Time at which its lease has expired, whatever messages are still under way. */
  leasedUntil: number;
}

/** Time in which other hosts follow a change that this one has made; their views differ by that. */
const MOVE_MS = 1_000;

/**
 * Creates a share that is leased to nobody. Times are monotonic and in milliseconds.
 *
 * @example
 * const share = createQuotaShare(quotaDefaults, clock.monotonic());
 * share.setView({ coordinators, others, knownHosts: 62 }, clock.monotonic());
 */
export function createQuotaShare(
  { leaseMs }: Pick<messages.QuotaOptions, 'leaseMs'>,
  startedAt: number,
): QuotaShare {
  const states = new Map<string, CoordinatorState>();
  /** An earlier process of this host may have leased the share until then, unless all others deny it. */
  const provisionalUntil = startedAt + leaseMs;
  let coordinators: readonly string[] = [];
  let next: readonly string[] | undefined;
  let wanted: readonly string[] = [];
  let others: readonly string[] = [];
  let generation = 0;
  let isProvisional = true;
  let changedAt = startedAt;
  let knownHosts: number | undefined;

  const startGeneration = (now: number): void => {
    generation += 1;
    changedAt = now;
  };

  const isSameSet = (left: readonly string[], right: readonly string[]): boolean =>
    left.join('|') === right.join('|');

  const hasConfirmed = (id: string, now: number): boolean => {
    const state = states.get(id);
    return !state || state.generation === generation || state.leasedUntil <= now;
  };

  /** Lists the hosts to which an earlier process of this host may still lease the share. */
  const listUnconfirmed = (): string[] =>
    others.filter((id) => (states.get(id)?.generation ?? -1) < 0);

  const listContacts = (): string[] => [
    ...new Set([...coordinators, ...(next ?? []), ...(isProvisional ? listUnconfirmed() : [])]),
  ];

  const endProvisional = (now: number): void => {
    const isConfirmed =
      knownHosts === others.length + 1 && coordinators.length > 0 && listUnconfirmed().length === 0;
    if (!isProvisional || (!isConfirmed && now < provisionalUntil)) return;
    isProvisional = false;
    startGeneration(now);
  };

  const update = (now: number): void => {
    endProvisional(now);
    if (next && coordinators.every((id) => hasConfirmed(id, now))) {
      coordinators = next;
      next = undefined;
      startGeneration(now);
    }
    const contacts = new Set(listContacts());
    states.forEach(({ leasedUntil }, id) => {
      if (!contacts.has(id) && !isProvisional && leasedUntil <= now) states.delete(id);
    });
    if (next || isSameSet(wanted, coordinators)) return;
    startGeneration(now);
    if (coordinators.length === 0) coordinators = wanted;
    else next = wanted;
  };

  return {
    setView(view, now) {
      // In an order that does not depend on the ranking, in which some change without effect.
      wanted = [...view.coordinators].sort();
      knownHosts = view.knownHosts;
      others = view.others;
      update(now);
    },
    update,
    recordReply({ from, sequence, stamp, heldGeneration }, now) {
      const before = states.get(from);
      const leasedUntil = now + leaseMs;
      // Replies may arrive in another order than the requests were sent.
      if (before && before.sequence > sequence) before.leasedUntil = leasedUntil;
      else states.set(from, { sequence, stamp, generation: heldGeneration, leasedUntil });
      update(now);
    },
    getEcho: (id) => states.get(id)?.stamp,
    getDelegation: () =>
      knownHosts === undefined
        ? undefined
        : { generation, knownHosts, isProvisional, coordinators, next },
    isOutdated: (id) => {
      const state = states.get(id);
      return state ? state.generation !== generation : isProvisional;
    },
    isMoving: (now) => isProvisional || next !== undefined || now < changedAt + MOVE_MS,
    getCoordinators: () => coordinators,
    listContacts,
    getKnownHosts: () => knownHosts,
    mayUse: (id, now) => (states.get(id)?.leasedUntil ?? 0) > now,
    computeLeasedUntil: (ids) =>
      Math.max(
        isProvisional ? provisionalUntil : 0,
        ...ids.map((id) => states.get(id)?.leasedUntil ?? -Infinity),
      ),
  };
}
