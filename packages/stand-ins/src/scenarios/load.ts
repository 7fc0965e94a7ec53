import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import type * as core from '@figshed/core';
import * as callers from '../harness/caller.js';
import type * as fleets from '../harness/fleet.js';

export interface LoadOptions {
  apiKey: string;
  service: string;
  callsPerSecond: number;
  /** Share of the calls that are orders. */
  orderShare: number;
  /** Maximum number of repeats of an order that is not done, each through a random proxy. */
  repeats: number;
  serviceMs?: number;
  timeoutMs?: number;
  /** Lists the hosts that accept calls now. */
  listHosts(): fleets.FleetHost[];
}

/** Outcomes and responses that the caller of one order received, oldest first. */
export interface OrderOutcomes {
  orderKey: string;
  outcomes: string[];
  responses: string[];
}

/** Counts and violations of a load; its fields are printed as JSON. */
export interface LoadReport {
  calls: number;
  answered: number;
  notRun: number;
  unknown: number;
  /** Calls that got no complete response because the connection failed or the call timed out. */
  broken: number;
  orders: number;
  ordersDone: number;
  replays: number;
  /** Number of unsuccessful responses, by status and message. */
  failures: Record<string, number>;
  /** Paths of calls that received the response of another call. */
  foreignAnswers: string[];
  runTwice: string[];
  /** Orders whose last outcome was "not-run" although a target ran them. */
  notRunButRan: string[];
  /** Orders with the outcome "done" although no target ran them. */
  doneWithoutRun: string[];
  p50Ms: number;
  p99Ms: number;
}

export interface RunningLoad {
  records: readonly OrderOutcomes[];
  stop(): Promise<LoadReport>;
}

const HTTP_OK = 200;
const REPEAT_DELAY_MS = 150;
const MS_PER_SECOND = 1_000;
const MAX_LATENCY_SAMPLES = 200_000;

/**
 * Counts the executions of each order from the output lines of the targets.
 *
 * @example
 * countRuns(fleet.listTargetLines()).get(orderKey); // 1
 */
export function countRuns(lines: readonly string[]): Map<string, number> {
  const runs = new Map<string, number>();
  lines.forEach((line) => {
    const key = /^run key=(\S+)/.exec(line)?.[1];
    if (key !== undefined) runs.set(key, (runs.get(key) ?? 0) + 1);
  });
  return runs;
}

function findOrderViolations(
  records: readonly OrderOutcomes[],
  runs: ReadonlyMap<string, number>,
): Pick<LoadReport, 'runTwice' | 'notRunButRan' | 'doneWithoutRun'> {
  const listOrders = (isWrong: (record: OrderOutcomes, count: number) => boolean): string[] =>
    records
      .filter((record) => isWrong(record, runs.get(record.orderKey) ?? 0))
      .map(({ orderKey, outcomes }) => `${orderKey}:${outcomes.join('>')}`);
  return {
    runTwice: listOrders((_, count) => count > 1),
    // "not-run" covers all attempts so far; only a later attempt may still run the order.
    notRunButRan: listOrders(({ outcomes }, count) => count > 0 && outcomes.at(-1) === 'not-run'),
    doneWithoutRun: listOrders(({ outcomes }, count) => count === 0 && outcomes.includes('done')),
  };
}

function computePercentile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return Number((sorted[index] ?? 0).toFixed(2));
}

/**
 * Starts a load of lookups and orders at a steady rate.
 *
 * @example
 * const load = startLoad(options, random, () => targetLines);
 */
export function startLoad(
  options: LoadOptions,
  random: core.Random,
  listTargetLines: () => string[],
): RunningLoad {
  const caller = callers.createCaller();
  const records: OrderOutcomes[] = [];
  const pending = new Set<Promise<void>>();
  const latenciesMs: number[] = [];
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
  ): Promise<callers.CallResponse> => {
    const hosts = options.listHosts();
    const host = hosts[Math.floor(random() * hosts.length)];
    if (!host) throw new Error('no proxy is ready for calls');
    return caller.call({
      address: host.address,
      port: host.callerPort,
      path,
      apiKey: options.apiKey,
      timeoutMs: options.timeoutMs ?? 9_000,
      ...(orderKey ? { method: 'POST', body: orderKey, orderKey } : {}),
    });
  };

  const countFailure = (response: callers.CallResponse): void => {
    const message = /"message":"([^"]*)"/.exec(response.body)?.[1] ?? response.body.slice(0, 60);
    const text = `${response.status} ${message}`;
    report.failures[text] = (report.failures[text] ?? 0) + 1;
  };

  const recordResponse = (response: callers.CallResponse, path: string): void => {
    report.calls += 1;
    if (response.status !== HTTP_OK) countFailure(response);
    if (latenciesMs.length < MAX_LATENCY_SAMPLES) latenciesMs.push(response.latencyMs);
    if (response.status === HTTP_OK) {
      report.answered += 1;
      if (!response.body.includes(`"path":"${path}"`)) report.foreignAnswers.push(path);
    } else if (response.status === 0) report.broken += 1;
    else if (response.outcome === 'not-run') report.notRun += 1;
    else report.unknown += 1;
  };

  const sendLookup = async (number: number): Promise<void> => {
    const path = `/${options.service}/items/${number}?ms=${options.serviceMs ?? 2}`;
    recordResponse(await send(path, undefined), path);
  };

  const sendOrder = async (number: number): Promise<void> => {
    const orderKey = uuid.v7();
    const path = `/${options.service}/orders/${number}?ms=${options.serviceMs ?? 2}`;
    const record: OrderOutcomes = { orderKey, outcomes: [], responses: [] };
    records.push(record);
    report.orders += 1;
    for (let attempt = 0; attempt <= options.repeats; attempt += 1) {
      /* eslint-disable no-await-in-loop -- each repeat follows the previous response */
      const response = await send(path, orderKey);
      recordResponse(response, path);
      record.outcomes.push(response.outcome);
      record.responses.push(`${response.status} ${response.body.slice(0, 200)}`);
      if (response.isReplayed) report.replays += 1;
      if (response.status === HTTP_OK) {
        report.ordersDone += 1;
        return;
      }
      await timers.setTimeout(REPEAT_DELAY_MS);
      /* eslint-enable no-await-in-loop */
    }
  };

  const sendCalls = async (): Promise<void> => {
    const startedAt = performance.now();
    for (let number = 0; !isStopped; number += 1) {
      const call = random() < options.orderShare ? sendOrder(number) : sendLookup(number);
      pending.add(call);
      call.finally(() => pending.delete(call)).catch(() => undefined);
      const dueAt = startedAt + ((number + 1) * MS_PER_SECOND) / options.callsPerSecond;
      // eslint-disable-next-line no-await-in-loop -- paces the calls
      await timers.setTimeout(Math.max(0, dueAt - performance.now()));
    }
  };
  const sending = sendCalls();

  return {
    records,
    async stop() {
      isStopped = true;
      await sending;
      await Promise.allSettled([...pending]);
      await caller.close();
      // The last output lines of the targets may not have been read yet.
      await timers.setTimeout(REPEAT_DELAY_MS);
      const sorted = latenciesMs.sort((left, right) => left - right);
      report.p50Ms = computePercentile(sorted, 0.5);
      report.p99Ms = computePercentile(sorted, 0.99);
      return { ...report, ...findOrderViolations(records, countRuns(listTargetLines())) };
    },
  };
}

/**
 * Checks that the load sent calls and that all responses agree with the targets' executions.
 *
 * @example
 * const held = isConsistent(await load.stop());
 */
export function isConsistent(report: LoadReport): boolean {
  const findings = [
    ...report.foreignAnswers,
    ...report.runTwice,
    ...report.notRunButRan,
    ...report.doneWithoutRun,
  ];
  return report.calls > 0 && findings.length === 0;
}
