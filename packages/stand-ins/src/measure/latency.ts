/** Measures the latency added by one and two proxies, relative to direct calls in the same run. */
import * as timers from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const CALLS_PER_SECOND = [25, 50, 100];
const WARM_UP_MS = 6_000;
const RUN_MS = 12_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const MAX_CONNECTIONS = 32;

interface CallPath {
  name: string;
  origin: string;
  histogram: hdr.Histogram;
  pool: undici.Pool;
  failedCalls: number;
}

function createCallPath(name: string, origin: string): CallPath {
  return {
    name,
    origin,
    histogram: hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000 }),
    pool: new undici.Pool(origin, { connections: MAX_CONNECTIONS }),
    failedCalls: 0,
  };
}

/**
 * Sends calls at a fixed rate without waiting for responses (open loop). Latency counts from the
 * time at which a call is sent.
 */
async function sendOpenLoop(
  callPaths: readonly CallPath[],
  ratePerSecond: number,
  runMs: number,
  shouldRecord: boolean,
): Promise<void> {
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  const callCount = Math.floor((runMs * ratePerSecond) / MS_PER_SECOND);
  const sendCall = async (callPath: CallPath, sentAt: number): Promise<void> => {
    try {
      const response = await callPath.pool.request({
        method: 'GET',
        path: '/catalogue/items/1?ms=0',
        headers: { authorization: `Bearer ${setup.API_KEY}` },
      });
      await response.body.dump();
      if (response.statusCode !== 200) callPath.failedCalls += 1;
    } catch {
      callPath.failedCalls += 1;
    }
    const latencyMicroseconds = (performance.now() - sentAt) * MICROSECONDS_PER_MS;
    if (shouldRecord) callPath.histogram.recordValue(Math.max(1, Math.round(latencyMicroseconds)));
  };
  for (let index = 0; index < callCount; index += 1) {
    const dueAt = startedAt + (index * MS_PER_SECOND) / ratePerSecond;
    const waitMs = dueAt - performance.now();
    // eslint-disable-next-line no-await-in-loop -- keeps the call rate
    if (waitMs > 0.2) await timers.setTimeout(waitMs);
    // Excludes the delay of a timer that fires late from the measured latency.
    const sentAt = Math.max(dueAt, performance.now());
    pending.push(sendCall(callPaths[index % callPaths.length] as CallPath, sentAt));
  }
  await Promise.all(pending);
}

function getPercentileMs(callPath: CallPath, percentile: number): number {
  return callPath.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

export const addedLatency: types.Measurement = {
  description: 'latency of calls through one and two proxies, compared with direct calls',
  async run(print) {
    const fleet = await setup.setUpFleet(
      { seed: 1, random: Math.random, print },
      {
        dataCentres: [0, 1],
        hostsPerDataCentre: 1,
        hasLinks: false,
        services: ['catalogue', 'bookings'],
        chooseService: (_index, dataCentre) =>
          dataCentre === 'khomas-1' ? 'catalogue' : 'bookings',
        settings: { log: { level: 'info' }, routing: { slowStartMs: 100 } },
        target: { serviceMs: 0, slots: 100 },
      },
    );
    try {
      const [catalogueHost, bookingsHost] = fleet.hosts;
      if (!catalogueHost || !bookingsHost) throw new Error('the fleet has fewer than two hosts');
      const readyLine = (await catalogueHost.target?.waitForLine(/^ready/, 1_000)) ?? '';
      const targetPort = /port=(\d+)/.exec(readyLine)?.[1] ?? '';
      const rows: types.Row[] = [];
      for (const callsPerSecond of CALLS_PER_SECOND) {
        const callPaths = [
          createCallPath('direct', `http://127.0.0.1:${targetPort}`),
          createCallPath(
            'one proxy',
            `http://${catalogueHost.address}:${catalogueHost.callerPort}`,
          ),
          createCallPath(
            'two proxies',
            `http://${bookingsHost.address}:${bookingsHost.callerPort}`,
          ),
        ];
        print(`measuring ${callsPerSecond} calls a second on each route`);
        // eslint-disable-next-line no-await-in-loop -- rates are measured one at a time
        await sendOpenLoop(callPaths, callsPerSecond * callPaths.length, WARM_UP_MS, false);
        // eslint-disable-next-line no-await-in-loop
        await sendOpenLoop(callPaths, callsPerSecond * callPaths.length, RUN_MS, true);
        const [direct] = callPaths as [CallPath];
        callPaths.forEach((callPath) =>
          rows.push({
            'calls/s': callsPerSecond,
            route: callPath.name,
            'p50 ms': getPercentileMs(callPath, 50),
            'p99 ms': getPercentileMs(callPath, 99),
            'p99.9 ms': getPercentileMs(callPath, 99.9),
            'added p50': Number(
              (getPercentileMs(callPath, 50) - getPercentileMs(direct, 50)).toFixed(3),
            ),
            'added p99': Number(
              (getPercentileMs(callPath, 99) - getPercentileMs(direct, 99)).toFixed(3),
            ),
            failed: callPath.failedCalls,
          }),
        );
        // eslint-disable-next-line no-await-in-loop
        await Promise.all(callPaths.map(({ pool }) => pool.close()));
      }
      return { rows, figures: { runMs: RUN_MS } };
    } finally {
      await fleet.stop();
    }
  },
};
