import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';
import type * as targetProbe from './target-probe.js';
import type * as types from './types.js';

/** Gate and stated rate limit of the target on this host, with their log lines. */
export interface LocalTargetGate {
  getOpenTarget(): mesh.OpenTarget | undefined;
  getClosedReason(): 'draining' | 'target-down';
  isCold(): boolean;
  applyAnnouncement(announcement: mesh.TargetAnnouncement): mesh.GateVerdict;
  /** Closes the gate for one incarnation of the target; without `bornAt`, for the last one of `id`. */
  deregister(id: string, bornAt: number | undefined): mesh.GateVerdict;
  /** Closes the gate for the incarnation that peers remember to have left before a restart. */
  recallDeparted(incarnation: string): void;
  /** Returns the incarnation that left last; undefined before the first. */
  getDeparted(): string | undefined;
  /** Closes the gate until the next announcement, because the target has failed. */
  markDown(target: mesh.OpenTarget, cause: string): void;
  /** Closes the gate for a target that has stated in a response that it is leaving. */
  closeLeaving(target: mesh.OpenTarget): void;
  /** Applies the limit that a response states to a request sent at `sentAt`. */
  updateRateLimit(
    target: mesh.OpenTarget,
    sentAt: number,
    callsPerSecond: types.TargetNotice['callsPerSecond'],
  ): void;
}

export interface LocalTargetGateInput {
  ctx: Pick<context.MeshContext, 'clock' | 'log' | 'metrics'>;
  queue: mesh.SlotQueue;
  probe: targetProbe.TargetProbe;
  applyEffects: (effects: readonly mesh.SlotEffect[]) => void;
  onOpened: () => void;
  /** Called when the gate has closed; the queued calls must be refused. */
  onClosed: (reason: 'draining' | 'target-down') => void;
  /** Called when the target becomes available or unavailable, is replaced, or is no longer cold. */
  onChange: () => void;
}

/**
 * Creates a gate that is closed until the first announcement; that of an incarnation which may have left
 * before this process started opens it only once the target confirms it.
 *
 * @example
 * const gate = createLocalTargetGate({ ctx, queue, probe, applyEffects, onOpened, onClosed, onChange });
 */
export function createLocalTargetGate(input: LocalTargetGateInput): LocalTargetGate {
  const { ctx, queue, probe, applyEffects, onOpened, onClosed, onChange } = input;
  const { clock, log, metrics } = ctx;
  const gate = mesh.createTargetGate();
  const check = mesh.createIncarnationCheck(clock.now());
  const rateLimit = mesh.createStatedRateLimit();
  let wasAnnouncedCold = false;
  /** The departed incarnation that `onChange` has reported last. */
  let announcedDeparted: string | undefined;

  const isCold = (): boolean => (gate.getOpenTarget()?.coldUntil ?? 0) > clock.monotonic();

  const applyVerdict = (
    verdict: mesh.GateVerdict,
    message: { id: string; bornAt: number | undefined; sequence?: number },
    cause: string,
  ): mesh.GateVerdict => {
    if (verdict === 'kept' || verdict === 'held') return verdict;
    const { id, bornAt, sequence } = message;
    log.info('target-gate', { target: id, verdict, cause, bornAt, sequence });
    if (verdict === 'closed') onClosed('draining');
    const hasNewDeparted = gate.getDeparted() !== announcedDeparted;
    announcedDeparted = gate.getDeparted();
    if (verdict !== 'stale' || hasNewDeparted) onChange();
    return verdict;
  };

  const deregister = (id: string, bornAt: number | undefined, cause: string): mesh.GateVerdict =>
    applyVerdict(gate.deregister(id, bornAt, clock.monotonic()), { id, bornAt }, cause);

  /** Applies what an announcement has done to the gate. */
  const applyOpenTarget = (
    verdict: mesh.GateVerdict,
    announcement: mesh.TargetAnnouncement,
    cause: string,
  ): mesh.GateVerdict => {
    const now = clock.monotonic();
    const wasCold = wasAnnouncedCold;
    wasAnnouncedCold = isCold();
    const target = gate.getOpenTarget();
    if (target) {
      rateLimit.setIncarnation(mesh.formatIncarnation(target));
      applyEffects(queue.setRateLimit(rateLimit.get(), now));
      applyEffects(queue.setSlots(target.slots, now));
    }
    if (verdict === 'opened') onOpened();
    if (verdict === 'kept' && wasCold && !isCold()) onChange();
    return applyVerdict(verdict, announcement, cause);
  };

  const openHeld = (announcement: mesh.TargetAnnouncement): mesh.GateVerdict =>
    applyOpenTarget(gate.openHeld(announcement, clock.monotonic()), announcement, 'confirmed');

  const probeIncarnation = async (announcement: mesh.TargetAnnouncement): Promise<void> => {
    const result = await probe(announcement);
    if (check.handleProbe(announcement, result) === 'confirmed') openHeld(announcement);
  };

  /** Confirms the incarnation of a held announcement, or asks the target. */
  const checkIncarnation = (announcement: mesh.TargetAnnouncement): mesh.GateVerdict => {
    const step = check.handleAnnouncement(announcement, clock.monotonic());
    if (step === 'confirmed') return openHeld(announcement);
    if (step === 'probe')
      probeIncarnation(announcement).catch((error: Error) =>
        log.error('target-probe-failed', { target: announcement.id, message: error.message }),
      );
    return 'held';
  };

  return {
    getOpenTarget: () => gate.getOpenTarget(),
    getClosedReason: () => gate.getClosedReason(),
    isCold,
    applyAnnouncement(announcement) {
      const isConfirmed = check.isConfirmed(announcement);
      const verdict = gate.handleAnnouncement(announcement, clock.monotonic(), isConfirmed);
      if (verdict === 'held') return checkIncarnation(announcement);
      return applyOpenTarget(verdict, announcement, announcement.state);
    },
    deregister: (id, bornAt) => deregister(id, bornAt, 'deregistered'),
    recallDeparted(incarnation) {
      if (gate.getDeparted() === incarnation) return;
      const { id, bornAt } = mesh.parseIncarnation(incarnation);
      deregister(id, bornAt, 'recalled');
    },
    getDeparted: () => gate.getDeparted(),
    markDown(target, cause) {
      const current = gate.getOpenTarget();
      if (!current || mesh.formatIncarnation(current) !== mesh.formatIncarnation(target)) return;
      gate.markDown(target.id);
      log.warn('target-down', { target: target.id, cause });
      onClosed('target-down');
      onChange();
    },
    closeLeaving(target) {
      const verdict = gate.deregister(target.id, target.bornAt, clock.monotonic());
      if (verdict === 'closed') applyVerdict(verdict, target, 'leaving');
    },
    updateRateLimit(target, sentAt, callsPerSecond) {
      if (callsPerSecond === 'unreadable') {
        metrics.count('target_limits_unreadable_total');
        log.debug('target-limit-refused', { target: target.id });
        return;
      }
      const now = clock.monotonic();
      const incarnation = mesh.formatIncarnation(target);
      if (!rateLimit.recordResponse({ incarnation, sentAt, callsPerSecond }, now)) return;
      log.info('target-limit', { target: target.id, callsPerSecond });
      applyEffects(queue.setRateLimit(callsPerSecond, now));
    },
  };
}
