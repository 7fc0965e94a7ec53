/**
 * State of a roll-out as one host knows it, and how it changes: by messages of other hosts, by the
 * verdict and as time passes. All times are monotonic, in milliseconds.
 */
import type * as rollout from './rollout.js';

/** Operator's order to move the calls of a service to targets of another version. */
export interface RolloutOrder {
  service: string;
  targetVersion: string;
  /** Epoch of the source and offset of the record, by which orders are told apart. */
  epoch: number;
  offset: number;
  durationMs: number;
}

export const rolloutPhases = ['observing', 'moving', 'rolled-back', 'completed'] as const;
/**
 * `observing`: the canary gets a small share; `moving`: the hosts move all calls to it. The last two
 * are final.
 */
export type RolloutPhase = (typeof rolloutPhases)[number];

export const rolloutRecords = ['unknown', 'nothing', 'running', 'final'] as const;
/**
 * Status of the order that is known to be in the store. `unknown`: the order was found by a process
 * that cannot tell whether it has been decided before.
 */
export type RolloutRecord = (typeof rolloutRecords)[number];

export interface Rollout {
  order: RolloutOrder;
  phase: RolloutPhase;
  /** Time at which this host learnt of the phase. */
  phaseSince: number;
  deadlineAt: number;
  record: RolloutRecord;
}

/** What a host does with the targets of a version. `previous` ones stop at the end of the roll-out. */
export type VersionRole = 'current' | 'canary' | 'previous' | 'excluded';

export interface RolloutTimes {
  /** Share of the duration after which the calls move to a version that is good. */
  moveAfterShare: number;
  /** Time that is kept to move the calls and to write the status, if the duration allows it. */
  moveMarginMs: number;
  /** Time before the deadline at which a version that is not known to be good is rolled back. */
  rollBackMarginMs: number;
  /** Delay of the next host that decides or writes when those before it do not. */
  rankDelayMs: number;
}

export const rolloutTimesDefaults: RolloutTimes = {
  moveAfterShare: 0.65,
  moveMarginMs: 8_000,
  rollBackMarginMs: 6_000,
  rankDelayMs: 1_000,
};

export const isFinalPhase = (phase: RolloutPhase): boolean =>
  phase === 'rolled-back' || phase === 'completed';

const isSameOrder = (left: RolloutOrder, right: RolloutOrder): boolean =>
  left.offset === right.offset &&
  left.targetVersion === right.targetVersion &&
  left.durationMs === right.durationMs;

/**
 * Returns whether an order of the same service replaces another. After a restoration of the store
 * the same record counts as the same order, although its epoch is higher.
 */
export function isNewerOrder(order: RolloutOrder, than: RolloutOrder): boolean {
  if (isSameOrder(order, than)) return false;
  return order.epoch !== than.epoch ? order.epoch > than.epoch : order.offset > than.offset;
}

const phaseRank = (phase: RolloutPhase): number => rolloutPhases.indexOf(phase);
const recordRank = (record: RolloutRecord): number => rolloutRecords.indexOf(record);

/** Returns the phase after hearing of another host's; a final one changes only for one in the store. */
function mergePhase(own: Rollout, received: Rollout): RolloutPhase {
  if (own.phase === received.phase || own.record === 'final') return own.phase;
  if (received.record === 'final') return received.phase;
  if (isFinalPhase(own.phase)) return own.phase;
  return phaseRank(received.phase) > phaseRank(own.phase) ? received.phase : own.phase;
}

function mergeRecord(own: Rollout, received: Rollout, phase: RolloutPhase): RolloutRecord {
  const records = [own, received]
    // The record of another verdict says nothing of this one.
    .map((each) => (each.record === 'final' && each.phase !== phase ? 'running' : each.record));
  return records.reduce((left, right) => (recordRank(left) >= recordRank(right) ? left : right));
}

/**
 * Merges what another host knows of a roll-out of the same service; returns `own` if nothing changes.
 * The earlier deadline counts, since a message that was delayed states too much time.
 */
export function mergeRollout(own: Rollout | undefined, received: Rollout, now: number): Rollout {
  if (!own || isNewerOrder(received.order, own.order)) return { ...received, phaseSince: now };
  if (isNewerOrder(own.order, received.order)) return own;
  if (!isSameOrder(own.order, received.order)) return own;
  const phase = mergePhase(own, received);
  const record = mergeRecord(own, received, phase);
  const deadlineAt = Math.min(own.deadlineAt, received.deadlineAt);
  if (phase === own.phase && record === own.record && deadlineAt === own.deadlineAt) return own;
  const phaseSince = phase === own.phase ? own.phaseSince : now;
  return { ...own, phase, record, deadlineAt, phaseSince };
}

/** Computes the times at which the calls move, and at which a version in doubt is rolled back. */
export function computeDecisionTimes(
  { order, deadlineAt }: Rollout,
  times: RolloutTimes,
): { moveAt: number; rollBackAt: number } {
  const { durationMs } = order;
  const marginMs = Math.max(
    durationMs * (1 - times.moveAfterShare),
    Math.min(times.moveMarginMs, durationMs / 2),
  );
  const moveAt = deadlineAt - marginMs;
  return { moveAt, rollBackAt: Math.max(moveAt, deadlineAt - times.rollBackMarginMs) };
}

/**
 * Decides the next phase. A bad version is rolled back by every host that finds it bad; what depends on
 * the time is decided by the first-ranked host, and by each next one after a delay.
 *
 * @example
 * decidePhase(state, verdict, { now, rank: 0 }, rolloutTimesDefaults); // 'moving'
 */
export function decidePhase(
  state: Rollout,
  verdict: rollout.RolloutVerdict,
  { now, rank }: { now: number; rank: number },
  times: RolloutTimes,
): RolloutPhase {
  if (isFinalPhase(state.phase) || state.record === 'unknown') return state.phase;
  if (verdict.type === 'bad') return 'rolled-back';
  if (state.phase !== 'observing') return state.phase;
  const delayMs = rank * times.rankDelayMs;
  const { moveAt, rollBackAt } = computeDecisionTimes(state, times);
  if (now < moveAt + delayMs) return 'observing';
  if (verdict.type === 'good' && now < state.deadlineAt) return 'moving';
  return now >= rollBackAt + delayMs ? 'rolled-back' : 'observing';
}

/** What is known of the versions of a service; `current` is undefined while none is in use. */
export interface ServiceVersions {
  current: string | undefined;
  rollout: Rollout | undefined;
}

/**
 * Returns what may be done with targets of a version. Targets without a version count as being of the
 * version in use.
 */
export function getVersionRole(
  version: string | undefined,
  { current, rollout }: ServiceVersions,
  now: number,
): VersionRole {
  if (version === undefined) return 'current';
  const isCurrent = version === current;
  const target = rollout?.order.targetVersion;
  if (!rollout || target === current) return isCurrent ? 'current' : 'excluded';
  const isMoved = rollout.phase === 'moving' || rollout.phase === 'completed';
  if (version !== target) {
    if (!isCurrent) return 'excluded';
    return isMoved ? 'previous' : 'current';
  }
  if (isMoved) return 'current';
  const isObserved =
    rollout.phase === 'observing' && rollout.record !== 'unknown' && now < rollout.deadlineAt;
  return isObserved ? 'canary' : 'excluded';
}

/** A target as far as it matters for which version is in use. */
export interface VersionedTarget {
  version: string;
  /** Unix time of its start in milliseconds. */
  bornAt: number;
}

/**
 * Chooses the version in use: the one before if any target still has it, otherwise that of the target
 * that runs longest. The target version of an order is chosen only if there is no other, and never once
 * it was rolled back.
 *
 * @example
 * chooseCurrentVersion([{ version: 'v1', bornAt: 1 }, { version: 'v2', bornAt: 2 }], undefined, undefined);
 */
export function chooseCurrentVersion(
  targets: readonly VersionedTarget[],
  before: string | undefined,
  rollout: Rollout | undefined,
): string | undefined {
  if (rollout?.phase === 'completed') return rollout.order.targetVersion;
  const unordered = targets.filter(({ version }) => version !== rollout?.order.targetVersion);
  const mayUseOrdered = rollout?.phase !== 'rolled-back' && rollout?.record !== 'unknown';
  const candidates = unordered.length > 0 || !mayUseOrdered ? unordered : targets;
  if (candidates.some(({ version }) => version === before)) return before;
  // All hosts must choose the same of versions whose targets started together.
  const [oldest] = [...candidates].sort(
    (left, right) => left.bornAt - right.bornAt || (left.version < right.version ? -1 : 1),
  );
  return oldest?.version;
}
