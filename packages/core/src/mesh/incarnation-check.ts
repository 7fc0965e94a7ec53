/**
 * Decides whether an incarnation of the local target may receive calls that has been announced for the
 * first time since this process started. An earlier process may have acknowledged its departure, and an
 * announcement from before may arrive late, so one announcement alone shows nothing.
 */
import * as targetGate from './target-gate.js';

/**
 * Result of a request to the health path of the target: the announced incarnation is `alive` or
 * `leaving`; `inconclusive` if it did not respond, or not as a target of the platform does.
 */
export type ProbeResult = 'alive' | 'leaving' | 'inconclusive';

/** What follows: the incarnation is `confirmed`, must be probed, or remains unconfirmed for now. */
export type CheckStep = 'confirmed' | 'probe' | 'wait';

export interface IncarnationCheck {
  isConfirmed(incarnation: targetGate.Incarnation): boolean;
  /** Applies an announcement of an unconfirmed incarnation; `now` is monotonic, in milliseconds. */
  handleAnnouncement(announcement: targetGate.TargetAnnouncement, now: number): CheckStep;
  /** Applies the result of the probe that `probe` has asked for. */
  handleProbe(incarnation: targetGate.Incarnation, result: ProbeResult): CheckStep;
}

/**
 * Least time between two announcements that confirm a target whose probe is inconclusive. Late ones
 * arrive together when what has delayed them ends; a heartbeat follows after its interval.
 */
const MIN_SUCCESSION_MS = 250;
/** Maximum number of confirmed incarnations stored, as in the gate. */
const MAX_CONFIRMED = 64;

/** The incarnation that was announced last and is not confirmed. */
interface Candidate {
  key: string;
  sequence: number;
  firstAnnouncedAt: number;
  /** True once a later announcement has followed the first. */
  hasSuccessor: boolean;
  isProbing: boolean;
  lastResult: ProbeResult | undefined;
}

/**
 * Creates a check for a process that has started at `startedAt`, in Unix milliseconds. An incarnation
 * that has started later cannot have left before, and is confirmed at once.
 *
 * @example
 * const check = createIncarnationCheck(clock.now());
 * if (!check.isConfirmed(announcement)) check.handleAnnouncement(announcement, now); // 'probe'
 */
export function createIncarnationCheck(startedAt: number): IncarnationCheck {
  const confirmedKeys = new Set<string>();
  let candidate: Candidate | undefined;

  const confirm = (key: string): CheckStep => {
    confirmedKeys.add(key);
    if (confirmedKeys.size > MAX_CONFIRMED)
      confirmedKeys.delete(confirmedKeys.keys().next().value as string);
    candidate = undefined;
    return 'confirmed';
  };

  const isSucceeded = ({ lastResult, hasSuccessor }: Candidate): boolean =>
    lastResult === 'inconclusive' && hasSuccessor;

  return {
    isConfirmed: (incarnation) =>
      (incarnation.bornAt !== undefined && incarnation.bornAt > startedAt) ||
      confirmedKeys.has(targetGate.formatIncarnation(incarnation)),
    handleAnnouncement(announcement, now) {
      const key = targetGate.formatIncarnation(announcement);
      const { sequence } = announcement;
      if (candidate?.key !== key)
        candidate = {
          key,
          sequence,
          firstAnnouncedAt: now,
          hasSuccessor: false,
          isProbing: false,
          lastResult: undefined,
        };
      else if (sequence > candidate.sequence) {
        candidate.sequence = sequence;
        if (now - candidate.firstAnnouncedAt >= MIN_SUCCESSION_MS) candidate.hasSuccessor = true;
      }
      if (isSucceeded(candidate)) return confirm(key);
      if (candidate.isProbing) return 'wait';
      candidate.isProbing = true;
      return 'probe';
    },
    handleProbe(incarnation, result) {
      const key = targetGate.formatIncarnation(incarnation);
      if (candidate?.key !== key) return 'wait';
      candidate.isProbing = false;
      candidate.lastResult = result;
      if (result === 'alive') return confirm(key);
      if (result === 'leaving') {
        candidate = undefined;
        return 'wait';
      }
      return isSucceeded(candidate) ? confirm(key) : 'wait';
    },
  };
}
