/**
 * Writes how a roll-out stands to the store. Any host may write; the first-ranked one does, and each
 * next one if those before it have not. Each reads the newest status before it writes, so that a
 * verdict in the store is kept.
 */
import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';
import type * as types from './types.js';

export interface RolloutStatusWriter {
  /** Starts a write if one is due for the service and none is under way. */
  step(service: string, host: { rank: number; haveAllMoved: boolean }): void;
}

export interface RolloutStatusWriterInput {
  ctx: Pick<context.MeshContext, 'clock' | 'log' | 'metrics'>;
  statuses: types.RolloutStatuses;
  getRollout: (service: string) => mesh.Rollout | undefined;
  setRollout: (rollout: mesh.Rollout) => void;
}

/** Hosts beyond this rank do not write, so that an outage of the store ends without a rush. */
const MAX_WRITER_RANK = 5;
const RETRY_MS = 500;

/**
 * Creates a writer.
 *
 * @example
 * createRolloutStatusWriter({ ctx, statuses, getRollout, setRollout }).step('catalogue', host);
 */
export function createRolloutStatusWriter(input: RolloutStatusWriterInput): RolloutStatusWriter {
  const { ctx, statuses, getRollout, setRollout } = input;
  const { clock, log, metrics } = ctx;
  const busyServices = new Set<string>();
  const waitingSince = new Map<string, { key: string; at: number }>();
  const retryAt = new Map<string, number>();

  /** Returns the status that the store lacks; undefined if it has all. */
  const getMissingStatus = (
    { phase, record }: mesh.Rollout,
    haveAllMoved: boolean,
  ): types.RolloutStatus | undefined => {
    if (record === 'final') return undefined;
    // A final status is written after `running`, so that one in the store belongs to this order.
    if (record === 'unknown' || record === 'nothing') return 'running';
    if (phase === 'rolled-back') return 'rolled-back';
    return phase === 'completed' || (phase === 'moving' && haveAllMoved) ? 'completed' : undefined;
  };

  /** Returns the roll-out if it is still of the same order. */
  const getSame = ({ order }: mesh.Rollout): mesh.Rollout | undefined => {
    const latest = getRollout(order.service);
    return latest?.order === order ? latest : undefined;
  };

  const adoptFinal = (rollout: mesh.Rollout, phase: mesh.RolloutPhase): void => {
    const phaseSince = phase === rollout.phase ? rollout.phaseSince : clock.monotonic();
    setRollout({ ...rollout, phase, phaseSince, record: 'final' });
  };

  const write = async (rollout: mesh.Rollout, status: types.RolloutStatus): Promise<void> => {
    const { service, targetVersion } = rollout.order;
    const stored = await statuses.read(service);
    const latest = getSame(rollout);
    if (!latest) return;
    const storedStatus = stored?.targetVersion === targetVersion ? stored.status : undefined;
    const isFinal = storedStatus === 'completed' || storedStatus === 'rolled-back';
    // Before `running` was written, a final status belongs to an earlier order of the same version.
    if (isFinal && latest.record !== 'nothing') {
      adoptFinal(latest, storedStatus);
      return;
    }
    if (status === 'running' && storedStatus === 'running') {
      setRollout({ ...latest, record: 'running' });
      return;
    }
    const isDecidedMeanwhile = latest.phase === 'rolled-back' && status === 'completed';
    if (isDecidedMeanwhile) return;
    // Decided before the write, whose response may be lost.
    if (status === 'completed' && latest.phase === 'moving')
      setRollout({ ...latest, phase: 'completed', phaseSince: clock.monotonic() });
    await statuses.write(service, status, targetVersion);
    log.info('rollout-status', { service, targetVersion, status, before: stored?.status });
    metrics.count('rollout_statuses_total', { status });
    const written = getSame(rollout);
    if (!written) return;
    if (status === 'running') setRollout({ ...written, record: 'running' });
    else adoptFinal(written, status);
  };

  return {
    step(service, { rank, haveAllMoved }) {
      const rollout = getRollout(service);
      const status = rollout && getMissingStatus(rollout, haveAllMoved);
      const now = clock.monotonic();
      if (!rollout || !status) {
        waitingSince.delete(service);
        return;
      }
      const key = `${rollout.order.offset}|${status}`;
      const waiting = waitingSince.get(service);
      if (waiting?.key !== key) waitingSince.set(service, { key, at: now });
      const waitedMs = waiting?.key === key ? now - waiting.at : 0;
      if (rank > MAX_WRITER_RANK || waitedMs < rank * mesh.rolloutTimesDefaults.rankDelayMs) return;
      if (busyServices.has(service) || now < (retryAt.get(service) ?? now)) return;
      busyServices.add(service);
      write(rollout, status)
        .catch((error: Error) => {
          retryAt.set(service, clock.monotonic() + RETRY_MS);
          log.warn('rollout-status-failed', { service, status, message: error.message });
        })
        .finally(() => busyServices.delete(service));
    },
  };
}
