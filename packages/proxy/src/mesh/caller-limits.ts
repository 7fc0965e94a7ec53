/** Limits on the memory and the connections of callers, and their log lines. */
import * as byteBudgets from '../byte-budget.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as lineLimits from './line-limit.js';
import type * as meshSettings from './settings.js';

const BYTES_PER_MB = 1_000_000;
/** Least part of the memory that may be held, for hosts smaller than any in use. */
const MIN_HELD_SHARE = 0.1;
const CONNECTIONS_PER_MB = 3;
/** Descriptors for files, the store and the connections to the target. */
const OTHER_DESCRIPTORS = 400;
/** Refusals are logged up to this rate; each line states how many were left out. */
const MAX_LINES_PER_SECOND = 5;

/**
 * Creates the budget of what a process holds for callers and peers, from the memory of its host.
 *
 * @example
 * const byteBudget = createHeldMemoryBudget(settings);
 */
export function createHeldMemoryBudget({
  memoryMb,
  maxHeldBytes,
}: Pick<meshSettings.MeshSettings, 'memoryMb' | 'maxHeldBytes'>): byteBudgets.ByteBudget {
  const memoryBytes = memoryMb * BYTES_PER_MB;
  const limitBytes = Math.max(
    memoryBytes * MIN_HELD_SHARE,
    (memoryBytes - constants.BASE_MEMORY_BYTES) * constants.HELD_MEMORY_SHARE,
  );
  return byteBudgets.createByteBudget(maxHeldBytes ?? limitBytes, constants.BUDGET_TIERS);
}

/**
 * Computes how many connections of callers may be open: by memory, and so that half of the descriptors
 * remain for peers.
 *
 * @example
 * computeMaxConnections({ memoryMb: 250, maxDescriptors: 4_096, maxCallerConnections: undefined }); // 750
 */
export function computeMaxConnections({
  memoryMb,
  maxDescriptors,
  maxCallerConnections,
}: Pick<
  meshSettings.MeshSettings,
  'memoryMb' | 'maxDescriptors' | 'maxCallerConnections'
>): number {
  return (
    maxCallerConnections ??
    Math.max(
      1,
      Math.floor(Math.min(memoryMb * CONNECTIONS_PER_MB, (maxDescriptors - OTHER_DESCRIPTORS) / 2)),
    )
  );
}

/**
 * Computes how many connections of peers may be open: half of the descriptors that are not for files,
 * the store and the target.
 *
 * @example
 * computeMaxPeerConnections({ maxDescriptors: 4_096, maxPeerConnections: undefined }); // 1848
 */
export function computeMaxPeerConnections({
  maxDescriptors,
  maxPeerConnections,
}: Pick<meshSettings.MeshSettings, 'maxDescriptors' | 'maxPeerConnections'>): number {
  return maxPeerConnections ?? Math.max(1, Math.floor((maxDescriptors - OTHER_DESCRIPTORS) / 2));
}

/** What a limit has done to a call or a connection. */
export type LimitAction = 'call-refused' | 'connection-closed';

/**
 * Creates the log of the limits, and counts every action, whether or not it has a line.
 *
 * @example
 * const recordLimit = createLimitLog(ctx);
 * recordLimit('connection-closed', 'caller-connections', { open: 750 });
 */
export function createLimitLog({
  clock,
  log,
  metrics,
}: Pick<context.MeshContext, 'clock' | 'log' | 'metrics'>): (
  action: LimitAction,
  cause: string,
  fields: Readonly<Record<string, string | number | undefined>>,
) => void {
  const limit = lineLimits.createLineLimit(MAX_LINES_PER_SECOND, clock);
  return (action, cause, fields) => {
    metrics.count('caller_limits_total', { action, cause });
    if (limit.tryTake()) log.warn(action, { cause, ...fields, omitted: limit.takeOmitted() });
  };
}
