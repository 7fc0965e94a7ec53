/**
 * Decides which incarnation of the local target may receive calls. Only this process enforces a
 * deregistration or drain that it has acknowledged, so the gate closes at once and never reopens
 * for that incarnation.
 */

/** Registration heartbeat of a target. */
export interface TargetAnnouncement {
  /** Instance id of the target; it may be the same after a restart. */
  id: string;
  /** Unix time of the incarnation's start in milliseconds; undefined when not announced. */
  bornAt: number | undefined;
  /** Increases with each announcement of one incarnation. */
  sequence: number;
  service: string;
  /** Number of calls that it can run concurrently. */
  slots: number;
  state: 'ready' | 'draining';
  /** Remaining slow-start time, in milliseconds. */
  coldForMs: number;
  /** Version of its program; undefined if it states none. */
  version?: string | undefined;
}

/** The target that may currently receive calls. */
export interface OpenTarget {
  id: string;
  service: string;
  slots: number;
  bornAt: number | undefined;
  /** Monotonic time at which its slow start ends, in milliseconds. */
  coldUntil: number;
  version?: string | undefined;
}

/**
 * Result of an announcement or a deregistration: the gate `opened` for a new incarnation, was
 * `kept` open, or `closed`; `stale` input had no effect on the open target; `held`: it opens the gate
 * once its incarnation is confirmed.
 */
export type GateVerdict = 'opened' | 'kept' | 'closed' | 'stale' | 'held';

/** Admits at most one incarnation of a target. */
export interface TargetGate {
  /**
   * Applies an announcement; duplicates and those of earlier incarnations are `stale`. One that says
   * `draining` closes the gate for its incarnation, also if it arrives out of order. One of an
   * incarnation that is not confirmed is held.
   */
  handleAnnouncement(
    announcement: TargetAnnouncement,
    now: number,
    isConfirmed?: boolean,
  ): GateVerdict;
  /** Applies the held announcement of an incarnation; `stale` if it has left meanwhile. */
  openHeld(incarnation: Incarnation, now: number): GateVerdict;
  /**
   * Closes the gate permanently for an incarnation; without `bornAt`, for the last announced one of
   * `id`, whether it is open or not.
   */
  deregister(id: string, bornAt: number | undefined, now: number): GateVerdict;
  /**
   * Closes the gate after the target has failed; its next announcement reopens it. Returns false
   * when `id` is not the open target.
   */
  markDown(id: string): boolean;
  /** Returns the open target; undefined while the gate is closed. */
  getOpenTarget(): OpenTarget | undefined;
  /** Returns the incarnation that was closed last because it left; undefined before the first. */
  getDeparted(): string | undefined;
  /** Returns the reason of the last closing; `target-down` before the first. */
  getClosedReason(): 'draining' | 'target-down';
}

/** Maximum number of incarnations stored; a host has only a few over its lifetime. */
const MAX_INCARNATIONS = 64;
/**
 * How long announcements of an id are ignored after its deregistration if none of its incarnations is
 * known. Announcements may be some seconds late, and a restart under the same id takes longer.
 */
const LATE_ANNOUNCEMENT_MS = 10_000;

/** One life of a target, from a start to its end. */
export interface Incarnation {
  id: string;
  bornAt: number | undefined;
}

/**
 * Formats the id and the start time of a target as one text.
 *
 * @example
 * formatIncarnation({ id: 'i-1', bornAt: 1_000 }); // 'i-1|1000'
 */
export function formatIncarnation({ id, bornAt }: Incarnation): string {
  return `${id}|${bornAt ?? ''}`;
}

/**
 * Parses the text of `formatIncarnation`.
 *
 * @example
 * parseIncarnation('i-1|1000'); // { id: 'i-1', bornAt: 1_000 }
 */
export function parseIncarnation(text: string): Incarnation {
  const separatorAt = text.lastIndexOf('|');
  const bornAt = text.slice(separatorAt + 1);
  return { id: text.slice(0, separatorAt), bornAt: bornAt === '' ? undefined : Number(bornAt) };
}

function deleteOldestBeyondLimit(entries: Set<string> | Map<string, unknown>): void {
  if (entries.size > MAX_INCARNATIONS) entries.delete(entries.keys().next().value as string);
}

/**
 * Creates a gate that is closed until the first announcement.
 *
 * @example
 * const gate = createTargetGate();
 * gate.handleAnnouncement(announcement, now); // 'opened'
 */
export function createTargetGate(): TargetGate {
  const closedKeys = new Set<string>();
  let departed: string | undefined;
  /** The incarnation of each id with the latest start that has been announced. */
  const lastIncarnations = new Map<string, Incarnation>();
  /** Monotonic times until which announcements of deregistered ids are ignored. */
  const ignoredUntil = new Map<string, number>();
  let target: OpenTarget | undefined;
  let heldAnnouncement: TargetAnnouncement | undefined;
  let reason: 'draining' | 'target-down' = 'target-down';
  let lastAnnouncement: { key: string; bornAt: number; sequence: number } | undefined;

  const closeIncarnation = (incarnation: Incarnation): GateVerdict => {
    const key = formatIncarnation(incarnation);
    closedKeys.add(key);
    departed = key;
    deleteOldestBeyondLimit(closedKeys);
    if (!target) reason = 'draining';
    if (!target || formatIncarnation(target) !== key) return 'stale';
    target = undefined;
    reason = 'draining';
    return 'closed';
  };

  const recordIncarnation = (incarnation: Incarnation): void => {
    const last = lastIncarnations.get(incarnation.id);
    if (last && (last.bornAt ?? 0) > (incarnation.bornAt ?? 0)) return;
    lastIncarnations.set(incarnation.id, incarnation);
    deleteOldestBeyondLimit(lastIncarnations);
  };

  const isShutOut = (incarnation: Incarnation, now: number): boolean =>
    closedKeys.has(formatIncarnation(incarnation)) ||
    now < (ignoredUntil.get(incarnation.id) ?? now);

  const openTarget = (announcement: TargetAnnouncement, now: number): GateVerdict => {
    const { id, bornAt, service, slots, coldForMs, version } = announcement;
    const previousTarget = target;
    target = {
      id,
      service,
      slots,
      bornAt,
      coldUntil: now + coldForMs,
      ...(version === undefined ? {} : { version }),
    };
    heldAnnouncement = undefined;
    const isSame =
      previousTarget && formatIncarnation(previousTarget) === formatIncarnation(target);
    return isSame ? 'kept' : 'opened';
  };

  return {
    handleAnnouncement(announcement, now, isConfirmed = true) {
      const { id, bornAt, sequence } = announcement;
      const key = formatIncarnation(announcement);
      recordIncarnation({ id, bornAt });
      // A delayed announcement may belong to an earlier incarnation.
      const isEarlierIncarnation =
        lastAnnouncement !== undefined &&
        lastAnnouncement.key !== key &&
        (bornAt ?? 0) < lastAnnouncement.bornAt;
      const isLate = lastAnnouncement?.key === key && sequence <= lastAnnouncement.sequence;
      const isStale = isEarlierIncarnation || isLate;
      if (!isStale) lastAnnouncement = { key, bornAt: bornAt ?? 0, sequence };
      // Draining is final, so it also counts when a later announcement has overtaken it.
      if (announcement.state === 'draining') return closeIncarnation(announcement);
      if (isStale) return 'stale';
      if (isShutOut(announcement, now)) return 'stale';
      if (isConfirmed) return openTarget(announcement, now);
      heldAnnouncement = announcement;
      return 'held';
    },
    openHeld(incarnation, now) {
      if (!heldAnnouncement) return 'stale';
      const isHeld = formatIncarnation(heldAnnouncement) === formatIncarnation(incarnation);
      if (!isHeld || isShutOut(incarnation, now)) return 'stale';
      return openTarget(heldAnnouncement, now);
    },
    deregister(id, bornAt, now) {
      const known = [lastIncarnations.get(id), target?.id === id ? target : undefined].filter(
        (incarnation) => incarnation !== undefined,
      );
      const named = known.filter(
        (incarnation) => bornAt === undefined || incarnation.bornAt === undefined,
      );
      if (bornAt !== undefined) named.push({ id, bornAt });
      if (named.length === 0) {
        ignoredUntil.set(id, now + LATE_ANNOUNCEMENT_MS);
        deleteOldestBeyondLimit(ignoredUntil);
      }
      const verdicts = named.map(closeIncarnation);
      return verdicts.includes('closed') ? 'closed' : 'stale';
    },
    markDown(id) {
      if (target?.id !== id) return false;
      target = undefined;
      reason = 'target-down';
      return true;
    },
    getOpenTarget: () => target,
    getDeparted: () => departed,
    getClosedReason: () => reason,
  };
}
