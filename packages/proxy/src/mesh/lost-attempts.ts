import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';
import * as crashDetectors from './crash-detector.js';
import type * as localTargetGate from './local-target-gate.js';
import type * as requestBodies from './request-body.js';
import type * as requestQuarantine from './request-quarantine.js';
import type * as silenceMonitor from './silence-monitor.js';
import type * as types from './types.js';

/** Finds the crashes of the target beside this process among the attempts that it left unfinished. */
export interface LostAttempts {
  /**
   * Checks whether the target has crashed under an attempt that lost its connection; calls `onChecked`
   * once, with the incarnation of the target if it has.
   */
  checkTarget(lost: LostAttempt, onChecked: (crashedTarget?: string) => void): void;
  /** Records a cancelled attempt, which may have begun to end the target. */
  recordCancelled(lost: LostAttempt): void;
  /** Records that the target has refused the connection of a later attempt. */
  recordRefusedConnection(target: mesh.OpenTarget): void;
}

export interface LostAttempt {
  attempt: types.Attempt;
  sent: silenceMonitor.SentAttempt | undefined;
  body: requestBodies.RequestBody | undefined;
}

export interface LostAttemptsInput {
  ctx: Pick<context.MeshContext, 'clock' | 'log' | 'metrics'>;
  endpoint: core.Endpoint;
  gate: Pick<localTargetGate.LocalTargetGate, 'markDown' | 'getDeparted'>;
  quarantine: Pick<requestQuarantine.RequestQuarantine, 'computeFingerprint' | 'recordOwnCrash'>;
}

/**
 * Creates the checks; a crash marks the target as down and the requests in flight as suspect.
 *
 * @example
 * const lostAttempts = createLostAttempts({ ctx, endpoint, gate, quarantine });
 * lostAttempts.checkTarget(lost, (crashedTarget) => handler.onBroken(cause, crashedTarget));
 */
export function createLostAttempts(input: LostAttemptsInput): LostAttempts {
  const { ctx, endpoint, gate, quarantine } = input;
  const { log, metrics } = ctx;
  /** A target that has said that it leaves ends as planned. */
  const hasDeparted = (target: mesh.OpenTarget): boolean =>
    mesh.formatIncarnation(target) === gate.getDeparted();

  const detector = crashDetectors.createCrashDetector({
    ctx,
    endpoint,
    onCrash(target, fingerprints) {
      if (hasDeparted(target)) return;
      log.warn('target-crashed', { target: target.id, attempts: fingerprints.length });
      metrics.count('target_crashes_total');
      gate.markDown(target, 'crashed');
      quarantine.recordOwnCrash(mesh.formatIncarnation(target), fingerprints);
    },
  });

  const findCrashedTarget = async ({
    sent,
    attempt,
    body,
  }: LostAttempt): Promise<string | undefined> => {
    if (!sent || body === undefined) return undefined;
    if (hasDeparted(sent.target)) return undefined;
    const hasCrashed = await detector.recordLoss(sent.target, () =>
      quarantine.computeFingerprint({ ...attempt, body }),
    );
    return hasCrashed && !hasDeparted(sent.target)
      ? mesh.formatIncarnation(sent.target)
      : undefined;
  };

  return {
    checkTarget(lost, onChecked) {
      findCrashedTarget(lost)
        .catch((error: Error) => {
          log.error('crash-check-failed', { message: error.message });
          return undefined;
        })
        .then(onChecked)
        .catch((error: Error) => log.error('attempt-end-failed', { message: error.message }));
    },
    recordCancelled({ sent, attempt, body }) {
      if (!sent || body === undefined) return;
      detector.recordCancelled(sent.target, () =>
        quarantine.computeFingerprint({ ...attempt, body }),
      );
    },
    recordRefusedConnection: detector.recordRefusedConnection,
  };
}
