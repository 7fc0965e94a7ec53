/** Promises that the soak checks from what callers and targets see. */
import type * as meshCaller from '../mesh/mesh-caller.js';
import type * as meshTarget from '../mesh/mesh-target.js';

/** A call that was sent and what came of it. */
export interface SentCall {
  callId: string;
  path: string;
  body: string;
  isOrder: boolean;
  host: string;
  at: number;
  result: meshCaller.CallResult;
}

/** A broken promise. */
export interface Breach {
  promise: string;
  callId: string;
  detail: string;
}

/** A target that acknowledged leaving. */
export interface Leaving {
  target: meshTarget.MeshTarget;
  acknowledgedAt: number;
}

/** A version that a process was seen to hold. */
export interface SeenVersion {
  host: string;
  /** Identity of the life of the process. */
  life: number;
  version: number;
  callId: string;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const HTTP_TOO_MANY = 429;
/** Bound of the platform on requests to a target whose leaving was acknowledged. */
const DRAIN_MS = 2_000;
const promises = new Set([HTTP_UNAVAILABLE, HTTP_TOO_MANY]);

function countRuns(runs: readonly meshTarget.Run[]): Map<string, number> {
  const counts = new Map<string, number>();
  runs.forEach(({ callId }) => counts.set(callId, (counts.get(callId) ?? 0) + 1));
  return counts;
}

function checkAnswer({ callId, path, body, result }: SentCall): Breach[] {
  if (result.status !== HTTP_OK) return [];
  const isOwn = result.callId === callId && result.body.startsWith(`${path}|${body}|t-`);
  if (isOwn && result.signature !== undefined) return [];
  return [{ promise: 'own-answer', callId, detail: `body ${result.body.slice(0, 60)}` }];
}

function checkOrder(call: SentCall, runs: ReadonlyMap<string, number>): Breach[] {
  const count = runs.get(call.callId) ?? 0;
  if (!call.isOrder) return [];
  const breaches: Breach[] = [];
  if (count > 1) {
    breaches.push({ promise: 'at-most-once', callId: call.callId, detail: `${count} runs` });
  }
  if (count > 0 && promises.has(call.result.status)) {
    const detail = `answered ${call.result.status} and ran`;
    breaches.push({ promise: 'not-run', callId: call.callId, detail });
  }
  return breaches;
}

function checkLeaving({ target, acknowledgedAt }: Leaving): Breach[] {
  return target.runs
    .filter(({ startedAt }) => startedAt > acknowledgedAt + DRAIN_MS)
    .map(({ callId, startedAt }) => ({
      promise: 'drain',
      callId,
      detail: `reached ${target.id} ${startedAt - acknowledgedAt} ms after its leaving was acknowledged`,
    }));
}

/**
 * Checks every call against every run.
 *
 * @example
 * checkCalls(calls, runs, leavings).length; // 0
 */
export function checkCalls(
  calls: readonly SentCall[],
  runs: readonly meshTarget.Run[],
  leavings: readonly Leaving[],
): Breach[] {
  const counts = countRuns(runs);
  const sent = new Set(calls.map(({ callId }) => callId));
  const unasked = runs
    .filter(({ callId }) => !sent.has(callId))
    .map(({ callId, path }) => ({ promise: 'unasked', callId, detail: path }));
  return [
    ...calls.flatMap((call) => [...checkAnswer(call), ...checkOrder(call, counts)]),
    ...leavings.flatMap(checkLeaving),
    ...unasked,
  ];
}

/**
 * Checks that no process went back to an older version; `seen` is in the order of the probes.
 *
 * @example
 * checkVersions(seen).length; // 0
 */
export function checkVersions(seen: readonly SeenVersion[]): Breach[] {
  const newest = new Map<string, number>();
  return seen.flatMap(({ host, life, version, callId }) => {
    const key = `${host}|${life}`;
    const before = newest.get(key) ?? version;
    newest.set(key, Math.max(before, version));
    if (version >= before) return [];
    const detail = `${host} went from version ${before} to ${version}`;
    return [{ promise: 'no-regress', callId, detail }];
  });
}
