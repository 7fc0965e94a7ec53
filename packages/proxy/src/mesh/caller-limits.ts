/** Limits on the memory and the connections of callers, and their log lines. */
import * as fs from 'node:fs';
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
const DEFAULT_DESCRIPTORS = 4_096;
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

/** Reads the limit on descriptors that the operating system applies to this process. */
function readDescriptorLimit(): number {
  try {
    // eslint-disable-next-line n/no-sync -- once, at the start
    const limits = fs.readFileSync('/proc/self/limits', 'utf8');
    return Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1] ?? DEFAULT_DESCRIPTORS);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}

/**
 * Computes how many connections of callers may be open: by memory, and so that half of the descriptors
 * remain for peers.
 *
 * @example
 * computeMaxConnections({ memoryMb: 250, maxCallerConnections: undefined }); // 750
 */
export function computeMaxConnections({
  memoryMb,
  maxCallerConnections,
}: Pick<meshSettings.MeshSettings, 'memoryMb' | 'maxCallerConnections'>): number {
  return (
    maxCallerConnections ??
    Math.max(
      1,
      Math.floor(
        Math.min(memoryMb * CONNECTIONS_PER_MB, (readDescriptorLimit() - OTHER_DESCRIPTORS) / 2),
      ),
    )
  );
}

/**
 * Computes how many connections of peers may be open: half of the descriptors that are not for files,
 * the store and the target.
 *
 * @example
 * computeMaxPeerConnections({ maxPeerConnections: undefined }); // 1848 with 4,096 descriptors
 */
export function computeMaxPeerConnections({
  maxPeerConnections,
}: Pick<meshSettings.MeshSettings, 'maxPeerConnections'>): number {
  return (
    maxPeerConnections ?? Math.max(1, Math.floor((readDescriptorLimit() - OTHER_DESCRIPTORS) / 2))
  );
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
