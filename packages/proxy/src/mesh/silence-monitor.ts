/** Notices targets that leave an attempt without a response while they respond to others. */
import type * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';

/** An attempt that was sent to a target. */
export interface SentAttempt {
  callId: string;
  target: mesh.OpenTarget;
  /** Monotonic times in milliseconds. */
  sentAt: number;
  deadlineAt: number;
  hasResponse: boolean;
  /** Responses that the monitor had recorded when the attempt was sent. */
  responsesBefore: number;
}

export interface SilenceMonitor {
  countResponses(): number;
  recordResponse(): void;
  /** Records an attempt that ended without a complete response. */
  recordEnd(attempt: SentAttempt): void;
  /**
   * Returns how long the slot of a cancelled attempt must still be held, in milliseconds. A target
   * that never responds to calls beyond its slots may run a cancelled one to its end.
   */
  computeHoldMs(attempt: SentAttempt): number;
}

/** Multiple of the mean service time after which an attempt without a response is logged. */
const SILENCE_FACTOR = 4;
/** Multiple after which the target may have left an attempt without a response. */
const OVERDUE_FACTOR = 2;
/** Multiple of the mean service time for which the slot of a cancelled call may be held. */
const HELD_SLOT_FACTOR = 1.25;

/**
 * Creates a monitor; `getUsualMs` returns the mean service time of the target.
 *
 * @example
 * const silence = createSilenceMonitor(ctx, () => 120);
 */
export function createSilenceMonitor(
  ctx: Pick<context.MeshContext, 'clock' | 'log' | 'metrics'>,
  getUsualMs: () => number,
): SilenceMonitor {
  const { clock, log, metrics } = ctx;
  let responses = 0;
  let silentTarget: mesh.OpenTarget | undefined;

  return {
    countResponses: () => responses,
    recordResponse() {
      responses += 1;
    },
    recordEnd({ callId, target, sentAt, hasResponse, responsesBefore }) {
      const ranMs = clock.monotonic() - sentAt;
      const usualMs = getUsualMs();
      const responsesMeanwhile = responses - responsesBefore;
      if (hasResponse || ranMs < usualMs * OVERDUE_FACTOR) return;
      if (responsesMeanwhile >= target.slots) silentTarget = target;
      if (ranMs < usualMs * SILENCE_FACTOR) return;
      metrics.count('target_silences_total');
      log.warn('target-silent', {
        call: callId,
        target: target.id,
        ranMs: Math.round(ranMs),
        usualMs: Math.round(usualMs),
        responsesMeanwhile,
      });
    },
    computeHoldMs({ target, sentAt, deadlineAt }) {
      if (target.id !== silentTarget?.id) return 0;
      const heldUntil = Math.min(deadlineAt, sentAt + getUsualMs() * HELD_SLOT_FACTOR);
      return Math.max(0, heldUntil - clock.monotonic());
    },
  };
}
