import * as net from 'node:net';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';

/** Tells a crash of the target beside this process from the loss of one connection. */
export interface CrashDetector {
  /**
   * Records that an attempt has lost its connection to the target; resolves to whether the target
   * has ended. `computeFingerprint` is called if it has.
   */
  recordLoss(target: mesh.OpenTarget, computeFingerprint: () => string): Promise<boolean>;
  /** Records that the target has refused a connection: those lost just before ended with it. */
  recordRefusedConnection(target: mesh.OpenTarget): void;
}

export interface CrashDetectorInput {
  ctx: Pick<context.MeshContext, 'clock'>;
  endpoint: core.Endpoint;
  /** Called with the requests in flight when the target ended; again for those that follow late. */
  onCrash: (target: mesh.OpenTarget, fingerprints: readonly string[]) => void;
}

/** Time-out of a connection that tells whether the target listens; it is on the same host. */
const PROBE_TIMEOUT_MS = 100;
/** How long a target that was found listening is not probed again. */
const PROBE_INTERVAL_MS = 250;
/** How long a lost attempt is attributed to a crash that a refused connection shows. */
const LOSS_RETENTION_MS = 1_000;

/** Resolves to true if nothing listens at the endpoint; a time-out does not tell. */
function isConnectionRefused({ address, port }: core.Endpoint): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ host: address, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}

/**
 * Creates a detector.
 *
 * @example
 * const crashes = createCrashDetector({ ctx, endpoint: settings.target, onCrash });
 * const hasCrashed = await crashes.recordLoss(target, () => fingerprint);
 */
export function createCrashDetector(input: CrashDetectorInput): CrashDetector {
  const { endpoint, onCrash } = input;
  const { clock } = input.ctx;
  let incarnation = '';
  let hasCrashed = false;
  let losses: { at: number; computeFingerprint: () => string }[] = [];
  let probe: Promise<boolean> | undefined;
  let listeningAt = Number.NEGATIVE_INFINITY;

  const setIncarnation = (target: mesh.OpenTarget): void => {
    const next = mesh.formatIncarnation(target);
    if (next === incarnation) return;
    incarnation = next;
    hasCrashed = false;
    losses = [];
    listeningAt = Number.NEGATIVE_INFINITY;
  };

  const reportCrash = (target: mesh.OpenTarget): void => {
    hasCrashed = true;
    const recentLosses = losses.filter(({ at }) => clock.monotonic() - at < LOSS_RETENTION_MS);
    losses = [];
    onCrash(
      target,
      recentLosses.map(({ computeFingerprint }) => computeFingerprint()),
    );
  };

  const probeTarget = async (target: mesh.OpenTarget): Promise<boolean> => {
    const isRefused = await isConnectionRefused(endpoint);
    probe = undefined;
    if (mesh.formatIncarnation(target) !== incarnation) return isRefused;
    if (isRefused) reportCrash(target);
    else listeningAt = clock.monotonic();
    return isRefused;
  };

  return {
    async recordLoss(target, computeFingerprint) {
      setIncarnation(target);
      const now = clock.monotonic();
      losses = losses.filter(({ at }) => now - at < LOSS_RETENTION_MS);
      losses.push({ at: now, computeFingerprint });
      if (hasCrashed) {
        reportCrash(target);
        return true;
      }
      if (now - listeningAt < PROBE_INTERVAL_MS) return false;
      probe ??= probeTarget(target);
      return probe;
    },
    recordRefusedConnection(target) {
      setIncarnation(target);
      if (losses.length > 0) reportCrash(target);
    },
  };
}
