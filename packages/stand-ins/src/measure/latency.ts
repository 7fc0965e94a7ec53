/** Measures what the path adds to a call, against calling the target directly, in one run. */
import * as timers from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const RATES = [25, 50, 100];
const WARM_UP_MS = 6_000;
const RUN_MS = 12_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const CONNECTIONS = 32;

interface Route {
  name: string;
  origin: string;
  histogram: hdr.Histogram;
  agent: undici.Pool;
  failed: number;
}

function createRoute(name: string, origin: string): Route {
  return {
    name,
    origin,
    histogram: hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000 }),
    agent: new undici.Pool(origin, { connections: CONNECTIONS }),
    failed: 0,
  };
}

/** Sends at fixed times whatever happens, and counts from the time a call was due. */
async function sendOpenLoop(
  routes: readonly Route[],
  ratePerSecond: number,
  runMs: number,
  isRecorded: boolean,
): Promise<void> {
  const startedAt = performance.now();
  const open: Promise<void>[] = [];
  const total = Math.floor((runMs * ratePerSecond) / MS_PER_SECOND);
  const send = async (route: Route, dueAt: number): Promise<void> => {
    try {
      const answer = await route.agent.request({
        method: 'GET',
        path: '/catalogue/items/1?ms=0',
        headers: { authorization: `Bearer ${setup.API_KEY}` },
      });
      await answer.body.dump();
      if (answer.statusCode !== 200) route.failed += 1;
    } catch {
      route.failed += 1;
    }
    const micros = (performance.now() - dueAt) * MICROSECONDS_PER_MS;
    if (isRecorded) route.histogram.recordValue(Math.max(1, Math.round(micros)));
  };
  for (let number = 0; number < total; number += 1) {
    const dueAt = startedAt + (number * MS_PER_SECOND) / ratePerSecond;
    const waitMs = dueAt - performance.now();
    // eslint-disable-next-line no-await-in-loop -- paces the calls
    if (waitMs > 0.2) await timers.setTimeout(waitMs);
    // A timer that fires late is not the path's delay.
    const sentAt = Math.max(dueAt, performance.now());
    open.push(send(routes[number % routes.length] as Route, sentAt));
  }
  await Promise.all(open);
}

function readMs(route: Route, percentile: number): number {
  return route.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

/** Added latency of one hop and of two, at a few rates. */
export const addedLatency: types.Measurement = {
  description: 'latency of the path with one and two proxies against calling the target directly',
  async run(say) {
    const fleet = await setup.setUpFleet(
      { seed: 1, random: Math.random, say },
      {
        dataCentres: [0, 1],
        hostsPerDataCentre: 1,
        hasLinks: false,
        services: ['catalogue', 'bookings'],
        serviceOf: (_index, dataCentre) => (dataCentre === 'khomas-1' ? 'catalogue' : 'bookings'),
        settings: { log: { level: 'info' }, routing: { slowStartMs: 100 } },
        target: { serviceMs: 0, slots: 100 },
      },
    );
    try {
      const [near, far] = fleet.hosts;
      if (!near || !far) throw new Error('no hosts');
      const line = (await near.target?.waitForLine(/^ready/, 1_000)) ?? '';
      const targetPort = /port=(\d+)/.exec(line)?.[1] ?? '';
      const rows: types.Row[] = [];
      for (const rate of RATES) {
        const routes = [
          createRoute('direct', `http://127.0.0.1:${targetPort}`),
          createRoute('one proxy', `http://${near.address}:${near.callerPort}`),
          createRoute('two proxies', `http://${far.address}:${far.callerPort}`),
        ];
        say(`measuring ${rate} calls a second on each route`);
        // eslint-disable-next-line no-await-in-loop -- measured alone
        await sendOpenLoop(routes, rate * routes.length, WARM_UP_MS, false);
        // eslint-disable-next-line no-await-in-loop
        await sendOpenLoop(routes, rate * routes.length, RUN_MS, true);
        const [direct] = routes as [Route];
        routes.forEach((route) =>
          rows.push({
            'calls/s': rate,
            route: route.name,
            'p50 ms': readMs(route, 50),
            'p99 ms': readMs(route, 99),
            'p99.9 ms': readMs(route, 99.9),
            'added p50': Number((readMs(route, 50) - readMs(direct, 50)).toFixed(3)),
            'added p99': Number((readMs(route, 99) - readMs(direct, 99)).toFixed(3)),
            failed: route.failed,
          }),
        );
        // eslint-disable-next-line no-await-in-loop
        await Promise.all(routes.map(({ agent }) => agent.close()));
      }
      return { rows, figures: { runMs: RUN_MS } };
    } finally {
      await fleet.stop();
    }
  },
};
