/** Calls and orders that flow during a scenario, and the check of what their callers were told. */
import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import type * as core from '@figshed/core';
import * as callerModule from '../harness/caller.js';
import type * as fleetModule from '../harness/fleet.js';

/** Settings of a flow. */
export interface LoadOptions {
  key: string;
  service: string;
  callsPerSecond: number;
  /** Share of the calls that are orders. */
  orderShare: number;
  /** How often an order that was not done is repeated, through other proxies. */
  repeats: number;
  serviceMs?: number;
  timeoutMs?: number;
  /** Proxies that callers may use at this moment. */
  listHosts(): fleetModule.FleetHost[];
}

/** What the callers of one order were told, in order. */
export interface OrderRecord {
  orderKey: string;
  outcomes: string[];
  answers: string[];
}

/** Figures and findings of a flow. */
export interface LoadReport {
  calls: number;
  answered: number;
  notRun: number;
  unknown: number;
  /** Calls whose connection to the proxy broke. */
  broken: number;
  orders: number;
  ordersDone: number;
  replays: number;
  /** Answers that were not done, counted by what they said. */
  failures: Record<string, number>;
  /** Answers that belong to another call. */
  foreignAnswers: string[];
  runTwice: string[];
  /** Told "not run" although a target ran it. */
  notRunButRan: string[];
  /** Told "done" although no target ran it. */
  doneWithoutRun: string[];
  p50Ms: number;
  p99Ms: number;
}

/** A running flow. */
export interface Load {
  records: readonly OrderRecord[];
  stop(): Promise<LoadReport>;
}

const HTTP_OK = 200;
const REPEAT_PAUSE_MS = 150;
const MS_PER_SECOND = 1_000;
const MAX_SAMPLES = 200_000;

/**
 * Counts how often targets ran each order, from what they printed.
 *
 * @example
 * countRuns(fleet).get(orderKey); // 1
 */
export function countRuns(lines: readonly string[]): Map<string, number> {
  const runs = new Map<string, number>();
  lines.forEach((line) => {
    const key = /^run key=(\S+)/.exec(line)?.[1];
    if (key !== undefined) runs.set(key, (runs.get(key) ?? 0) + 1);
  });
  return runs;
}

function compareRecords(
  records: readonly OrderRecord[],
  runs: ReadonlyMap<string, number>,
): Pick<LoadReport, 'runTwice' | 'notRunButRan' | 'doneWithoutRun'> {
  const listKeys = (isWrong: (record: OrderRecord, count: number) => boolean): string[] =>
    records
      .filter((record) => isWrong(record, runs.get(record.orderKey) ?? 0))
      .map(({ orderKey, outcomes }) => `${orderKey}:${outcomes.join('>')}`);
  return {
    runTwice: listKeys((_, count) => count > 1),
    // "Not run" speaks of all tries so far, so only a later run may follow it.
    notRunButRan: listKeys(({ outcomes }, count) => count > 0 && outcomes.at(-1) === 'not-run'),
    doneWithoutRun: listKeys(({ outcomes }, count) => count === 0 && outcomes.includes('done')),
  };
}

function computePercentile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return Number((sorted[index] ?? 0).toFixed(2));
}

/**
 * Starts a flow of calls at a steady rate.
 *
 * @example
 * const load = startLoad(options, random, () => targetLines);
 */
export function startLoad(
  options: LoadOptions,
  random: core.Random,
  listTargetLines: () => string[],
): Load {
  const caller = callerModule.createCaller();
  const records: OrderRecord[] = [];
  const open = new Set<Promise<void>>();
  const samples: number[] = [];
  const report: LoadReport = {
    calls: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    broken: 0,
    orders: 0,
    ordersDone: 0,
    replays: 0,
    failures: {},
    foreignAnswers: [],
    runTwice: [],
    notRunButRan: [],
    doneWithoutRun: [],
    p50Ms: 0,
    p99Ms: 0,
  };
  let isStopped = false;

  const send = async (
    path: string,
    orderKey: string | undefined,
  ): Promise<callerModule.CallAnswer> => {
    const hosts = options.listHosts();
    const host = hosts[Math.floor(random() * hosts.length)];
    if (!host) throw new Error('no proxy is left to call');
    return caller.call({
      address: host.address,
      port: host.callerPort,
      path,
      key: options.key,
      timeoutMs: options.timeoutMs ?? 9_000,
      ...(orderKey ? { method: 'POST', body: orderKey, orderKey } : {}),
    });
  };

  const noteFailure = (answer: callerModule.CallAnswer): void => {
    const message = /"message":"([^"]*)"/.exec(answer.body)?.[1] ?? answer.body.slice(0, 60);
    const text = `${answer.status} ${message}`;
    report.failures[text] = (report.failures[text] ?? 0) + 1;
  };

  const note = (answer: callerModule.CallAnswer, path: string): void => {
    report.calls += 1;
    if (answer.status !== HTTP_OK) noteFailure(answer);
    if (samples.length < MAX_SAMPLES) samples.push(answer.ms);
    if (answer.status === HTTP_OK) {
      report.answered += 1;
      if (!answer.body.includes(`"path":"${path}"`)) report.foreignAnswers.push(path);
    } else if (answer.status === 0) report.broken += 1;
    else if (answer.outcome === 'not-run') report.notRun += 1;
    else report.unknown += 1;
  };

  const makeCall = async (number: number): Promise<void> => {
    const path = `/${options.service}/items/${number}?ms=${options.serviceMs ?? 2}`;
    note(await send(path, undefined), path);
  };

  const makeOrder = async (number: number): Promise<void> => {
    const orderKey = uuid.v7();
    const path = `/${options.service}/orders/${number}?ms=${options.serviceMs ?? 2}`;
    const record: OrderRecord = { orderKey, outcomes: [], answers: [] };
    records.push(record);
    report.orders += 1;
    for (let tries = 0; tries <= options.repeats; tries += 1) {
      /* eslint-disable no-await-in-loop -- a repeat follows the answer before it */
      const answer = await send(path, orderKey);
      note(answer, path);
      record.outcomes.push(answer.outcome);
      record.answers.push(`${answer.status} ${answer.body.slice(0, 200)}`);
      if (answer.isReplay) report.replays += 1;
      if (answer.status === HTTP_OK) {
        report.ordersDone += 1;
        return;
      }
      await timers.setTimeout(REPEAT_PAUSE_MS);
      /* eslint-enable no-await-in-loop */
    }
  };

  const run = async (): Promise<void> => {
    const startedAt = performance.now();
    for (let number = 0; !isStopped; number += 1) {
      const action = random() < options.orderShare ? makeOrder(number) : makeCall(number);
      open.add(action);
      action.finally(() => open.delete(action)).catch(() => undefined);
      const dueAt = startedAt + ((number + 1) * MS_PER_SECOND) / options.callsPerSecond;
      // eslint-disable-next-line no-await-in-loop -- paces the calls
      await timers.setTimeout(Math.max(0, dueAt - performance.now()));
    }
  };
  const running = run();

  return {
    records,
    async stop() {
      isStopped = true;
      await running;
      await Promise.allSettled([...open]);
      await caller.close();
      // The last lines of the targets are on their way.
      await timers.setTimeout(REPEAT_PAUSE_MS);
      const sorted = samples.sort((left, right) => left - right);
      report.p50Ms = computePercentile(sorted, 0.5);
      report.p99Ms = computePercentile(sorted, 0.99);
      return { ...report, ...compareRecords(records, countRuns(listTargetLines())) };
    },
  };
}

/**
 * Tells whether every caller was told the truth.
 *
 * @example
 * const held = isTruthful(await load.stop());
 */
export function isTruthful(report: LoadReport): boolean {
  const findings = [
    ...report.foreignAnswers,
    ...report.runTwice,
    ...report.notRunButRan,
    ...report.doneWithoutRun,
  ];
  return report.calls > 0 && findings.length === 0;
}
