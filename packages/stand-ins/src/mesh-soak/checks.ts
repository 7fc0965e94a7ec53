import type * as meshCaller from '../mesh/mesh-caller.js';
import type * as meshTarget from '../mesh/mesh-target.js';

export interface SentCall {
  callId: string;
  path: string;
  body: string;
  isOrder: boolean;
  host: string;
  sentAt: number;
  result: meshCaller.CallResult;
}

export interface Violation {
  invariant: string;
  callId: string;
  detail: string;
}

/** A target whose draining or deregistration was acknowledged. */
export interface DrainedTarget {
  target: meshTarget.MeshTarget;
  acknowledgedAt: number;
}

/** A target that stated a rate limit in its responses from one time to another. */
export interface LimitedTarget {
  target: meshTarget.MeshTarget;
  callsPerSecond: number;
  statedAt: number;
  endedAt: number;
}

/** A configuration version that a process served at the time of a probe. */
export interface ObservedVersion {
  host: string;
  /** Distinguishes a process from the one before a restart, which may have had a newer version. */
  pid: number;
  version: number;
  callId: string;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const HTTP_TOO_MANY_REQUESTS = 429;
/** The platform's limit on sending requests to a target after its draining was acknowledged. */
const DRAIN_LIMIT_MS = 2_000;
/** The platform's bounds on the calls of a target that states a limit: from when, and how many. */
const RATE_LIMIT_DELAY_MS = 3_000;
const RATE_LIMIT_WINDOW_MS = 4_000;
const RATE_LIMIT_FACTOR = 1.5;
const RATE_LIMIT_EXTRA_CALLS = 5;
const MS_PER_SECOND = 1_000;
const notRunStatuses = new Set([HTTP_UNAVAILABLE, HTTP_TOO_MANY_REQUESTS]);

function countRuns(runs: readonly meshTarget.CallRun[]): Map<string, number> {
  const runCounts = new Map<string, number>();
  runs.forEach(({ callId }) => runCounts.set(callId, (runCounts.get(callId) ?? 0) + 1));
  return runCounts;
}

function checkResponse({ callId, path, body, result }: SentCall): Violation[] {
  if (result.status !== HTTP_OK) return [];
  const isOwnResponse = result.callId === callId && result.body.startsWith(`${path}|${body}|t-`);
  if (isOwnResponse && result.signature !== undefined) return [];
  return [{ invariant: 'own-answer', callId, detail: `body ${result.body.slice(0, 60)}` }];
}

function checkOrder(call: SentCall, runs: ReadonlyMap<string, number>): Violation[] {
  const count = runs.get(call.callId) ?? 0;
  if (!call.isOrder) return [];
  const violations: Violation[] = [];
  if (count > 1) {
    violations.push({ invariant: 'at-most-once', callId: call.callId, detail: `${count} runs` });
  }
  if (count > 0 && notRunStatuses.has(call.result.status)) {
    const detail = `returned ${call.result.status} although it ran`;
    violations.push({ invariant: 'not-run', callId: call.callId, detail });
  }
  return violations;
}

function checkDrain({ target, acknowledgedAt }: DrainedTarget): Violation[] {
  return target.runs
    .filter(({ startedAt }) => startedAt > acknowledgedAt + DRAIN_LIMIT_MS)
    .map(({ callId, startedAt }) => ({
      invariant: 'drain',
      callId,
      detail: `reached ${target.id} ${startedAt - acknowledgedAt} ms after its draining was acknowledged`,
    }));
}

function checkRateLimit({ target, callsPerSecond, statedAt, endedAt }: LimitedTarget): Violation[] {
  const windowCalls = (callsPerSecond * RATE_LIMIT_WINDOW_MS) / MS_PER_SECOND;
  const allowed = windowCalls * RATE_LIMIT_FACTOR + RATE_LIMIT_EXTRA_CALLS;
  const runs = target.runs.filter(
    ({ startedAt }) => startedAt >= statedAt + RATE_LIMIT_DELAY_MS && startedAt <= endedAt,
  );
  return runs.flatMap(({ callId, startedAt }) => {
    const count = runs.filter(
      (run) => run.startedAt >= startedAt && run.startedAt < startedAt + RATE_LIMIT_WINDOW_MS,
    ).length;
    if (count <= allowed) return [];
    const detail = `${target.id} got ${count} calls in 4 s, ${allowed} are allowed`;
    return [{ invariant: 'rate-limit', callId, detail }];
  });
}

/**
 * Checks the outcome of every call against the executions that targets recorded.
 *
 * @example
 * checkCalls(calls, runs, { drainedTargets, limitedTargets }).length; // 0
 */
export function checkCalls(
  calls: readonly SentCall[],
  runs: readonly meshTarget.CallRun[],
  {
    drainedTargets,
    limitedTargets,
  }: { drainedTargets: readonly DrainedTarget[]; limitedTargets: readonly LimitedTarget[] },
): Violation[] {
  const runCounts = countRuns(runs);
  const sentIds = new Set(calls.map(({ callId }) => callId));
  const unsolicitedRuns = runs
    .filter(({ callId }) => !sentIds.has(callId))
    .map(({ callId, path }) => ({ invariant: 'unasked', callId, detail: path }));
  return [
    ...calls.flatMap((call) => [...checkResponse(call), ...checkOrder(call, runCounts)]),
    ...drainedTargets.flatMap(checkDrain),
    ...limitedTargets.flatMap(checkRateLimit),
    ...unsolicitedRuns,
  ];
}

/** Lines that a process writes when it ends by itself, or a call because of an error of its own. */
const FAILURE_LINE =
  /event=(uncaught-exception|unhandled-rejection|callback-failed|attempt-not-sent) /;

/**
 * Checks that no process failed by itself.
 *
 * @example
 * checkProcesses(fleet.hosts).length; // 0
 */
export function checkProcesses(
  hosts: readonly { name: string; lines: readonly string[] }[],
): Violation[] {
  return hosts.flatMap(({ name, lines }) =>
    lines
      .filter((line) => FAILURE_LINE.test(line))
      .map((line) => ({ invariant: 'no-failure', callId: '', detail: `${name} ${line}` })),
  );
}

/**
 * Checks that no process went back to an older version; `observed` is in the order of the probes.
 *
 * @example
 * checkVersions(observed).length; // 0
 */
export function checkVersions(observed: readonly ObservedVersion[]): Violation[] {
  const newest = new Map<string, number>();
  return observed.flatMap(({ host, pid, version, callId }) => {
    const key = `${host}|${pid}`;
    const before = newest.get(key) ?? version;
    newest.set(key, Math.max(before, version));
    if (version >= before) return [];
    const detail = `${host} went from version ${before} to ${version}`;
    return [{ invariant: 'no-regress', callId, detail }];
  });
}
