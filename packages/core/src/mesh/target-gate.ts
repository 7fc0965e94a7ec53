/**
 * Decides, beside the target, which incarnation of it may be called. An acknowledged leaving binds
 * this process alone, so the gate closes at once and never opens again for that incarnation.
 */

/** What a target says about itself. */
export interface TargetAnnouncement {
  /** Identity of the incarnation; it may be the same after a restart. */
  id: string;
  /** Unix time of the incarnation's start in milliseconds; undefined when it says none. */
  bornAt: number | undefined;
  /** Grows with each announcement of one incarnation. */
  sequence: number;
  service: string;
  /** Calls that it runs at once. */
  slots: number;
  state: 'ready' | 'draining';
  /** How much longer it stays slow after its start, in milliseconds. */
  coldForMs: number;
}

/** The target as it may be called now. */
export interface OpenTarget {
  id: string;
  service: string;
  slots: number;
  bornAt: number | undefined;
  /** Monotonic time until which it is slow, in milliseconds. */
  coldUntil: number;
}

/** What became of an announcement. */
export type GateVerdict = 'opened' | 'kept' | 'closed' | 'stale';

/** The gate in front of one target. */
export interface TargetGate {
  announce(announcement: TargetAnnouncement, now: number): GateVerdict;
  /** The target leaves for good. */
  deregister(id: string, bornAt: number | undefined): GateVerdict;
  /** The target was found dead; the next announcement of it opens the gate again. */
  markDown(id: string): boolean;
  current(): OpenTarget | undefined;
  /** Why the gate is closed. */
  closedBecause(): 'draining' | 'target-down';
}

/** Leaving incarnations that are remembered; one host sees a few in its life. */
const MAX_LEFT = 64;

/**
 * Creates a closed gate.
 *
 * @example
 * const gate = createTargetGate();
 * gate.announce(announcement, now); // 'opened'
 */
export function createTargetGate(): TargetGate {
  const left = new Set<string>();
  let target: OpenTarget | undefined;
  let reason: 'draining' | 'target-down' = 'target-down';
  let last: { key: string; id: string; bornAt: number; sequence: number } | undefined;

  const formatKey = (id: string, bornAt: number | undefined): string => `${id}|${bornAt ?? ''}`;

  const close = (key: string): GateVerdict => {
    left.add(key);
    if (left.size > MAX_LEFT) left.delete(left.values().next().value as string);
    const wasOpen = target !== undefined && formatKey(target.id, target.bornAt) === key;
    if (!wasOpen) return 'stale';
    target = undefined;
    reason = 'draining';
    return 'closed';
  };

  return {
    announce(announcement, now) {
      const { id, sequence, service, slots } = announcement;
      const bornAt = announcement.bornAt ?? 0;
      const key = formatKey(id, announcement.bornAt);
      // An announcement that was delayed on its way may come from an earlier incarnation.
      if (last && last.key !== key && bornAt < last.bornAt) return 'stale';
      if (last?.key === key && sequence <= last.sequence) return 'stale';
      last = { key, id, bornAt, sequence };
      if (announcement.state === 'draining') return close(key);
      if (left.has(key)) return 'stale';
      const before = target;
      target = {
        id,
        service,
        slots,
        bornAt: announcement.bornAt,
        coldUntil: now + announcement.coldForMs,
      };
      return before?.id === id && before.bornAt === target.bornAt ? 'kept' : 'opened';
    },
    deregister(id, bornAt) {
      if (bornAt !== undefined) return close(formatKey(id, bornAt));
      const known = target?.id === id ? target.bornAt : undefined;
      return close(formatKey(id, known));
    },
    markDown(id) {
      if (target?.id !== id) return false;
      target = undefined;
      reason = 'target-down';
      return true;
    },
    current: () => target,
    closedBecause: () => reason,
  };
}
