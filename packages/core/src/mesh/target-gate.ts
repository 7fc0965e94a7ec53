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
}

/** The target that may currently receive calls. */
export interface OpenTarget {
  id: string;
  service: string;
  slots: number;
  bornAt: number | undefined;
  /** Monotonic time at which its slow start ends, in milliseconds. */
  coldUntil: number;
}

/**
 * Result of an announcement or a deregistration: the gate `opened` for a new incarnation, was
 * `kept` open, or `closed`; `stale` input had no effect on the open target.
 */
export type GateVerdict = 'opened' | 'kept' | 'closed' | 'stale';

/** Admits at most one incarnation of a target. */
export interface TargetGate {
  /** Applies an announcement; duplicates and those of earlier incarnations are `stale`. */
  handleAnnouncement(announcement: TargetAnnouncement, now: number): GateVerdict;
  /** Closes the gate permanently for an incarnation; without `bornAt`, for the open one of `id`. */
  deregister(id: string, bornAt: number | undefined): GateVerdict;
  /**
   * Closes the gate after the target has failed; its next announcement reopens it. Returns false
   * when `id` is not the open target.
   */
  markDown(id: string): boolean;
  /** Returns the open target; undefined while the gate is closed. */
  getOpenTarget(): OpenTarget | undefined;
  /** Returns the reason of the last closing; `target-down` before the first. */
  getClosedReason(): 'draining' | 'target-down';
}

/** Maximum number of closed incarnations stored; a host has only a few over its lifetime. */
const MAX_CLOSED_INCARNATIONS = 64;

/**
 * Creates a gate that is closed until the first announcement.
 *
 * @example
 * const gate = createTargetGate();
 * gate.handleAnnouncement(announcement, now); // 'opened'
 */
export function createTargetGate(): TargetGate {
  const closedKeys = new Set<string>();
  let target: OpenTarget | undefined;
  let reason: 'draining' | 'target-down' = 'target-down';
  let lastAnnouncement: { key: string; id: string; bornAt: number; sequence: number } | undefined;

  const formatKey = (id: string, bornAt: number | undefined): string => `${id}|${bornAt ?? ''}`;

  const closeIncarnation = (key: string): GateVerdict => {
    closedKeys.add(key);
    if (closedKeys.size > MAX_CLOSED_INCARNATIONS)
      closedKeys.delete(closedKeys.values().next().value as string);
    const wasOpen = target !== undefined && formatKey(target.id, target.bornAt) === key;
    if (!wasOpen) return 'stale';
    target = undefined;
    reason = 'draining';
    return 'closed';
  };

  return {
    handleAnnouncement(announcement, now) {
      const { id, sequence, service, slots } = announcement;
      const bornAt = announcement.bornAt ?? 0;
      const key = formatKey(id, announcement.bornAt);
      // A delayed announcement may belong to an earlier incarnation.
      if (lastAnnouncement && lastAnnouncement.key !== key && bornAt < lastAnnouncement.bornAt)
        return 'stale';
      if (lastAnnouncement?.key === key && sequence <= lastAnnouncement.sequence) return 'stale';
      lastAnnouncement = { key, id, bornAt, sequence };
      if (announcement.state === 'draining') return closeIncarnation(key);
      if (closedKeys.has(key)) return 'stale';
      const previousTarget = target;
      target = {
        id,
        service,
        slots,
        bornAt: announcement.bornAt,
        coldUntil: now + announcement.coldForMs,
      };
      return previousTarget?.id === id && previousTarget.bornAt === target.bornAt
        ? 'kept'
        : 'opened';
    },
    deregister(id, bornAt) {
      if (bornAt !== undefined) return closeIncarnation(formatKey(id, bornAt));
      const openBornAt = target?.id === id ? target.bornAt : undefined;
      return closeIncarnation(formatKey(id, openBornAt));
    },
    markDown(id) {
      if (target?.id !== id) return false;
      target = undefined;
      reason = 'target-down';
      return true;
    },
    getOpenTarget: () => target,
    getClosedReason: () => reason,
  };
}
