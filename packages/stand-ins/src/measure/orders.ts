/** Measures orders: rate and latency against offered load, and log appends per thousand orders. */
import * as timers from 'node:timers/promises';
import * as loadModule from '../scenarios/load.js';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const RATES = [20, 100, 200];
const RUN_MS = 8_000;
const MS_PER_SECOND = 1_000;
const HTTP_OK_SHARE_DIGITS = 3;

/** Orders per second, latency and appends at a few offered rates. */
export const orders: types.Measurement = {
  description: 'orders per second and latency, and log appends used per thousand orders',
  async run(say) {
    const fleet = await setup.setUpFleet(
      { seed: 1, random: Math.random, say },
      { dataCentres: [0, 2, 4] },
    );
    try {
      const rows: types.Row[] = [];
      for (const rate of RATES) {
        /* eslint-disable no-await-in-loop -- measured alone */
        const before = await fleet.readLogCounts();
        const load = loadModule.startLoad(
          {
            ...setup.loadDefaults,
            service: fleet.topology.services[0] as string,
            listHosts: fleet.listRunning,
            callsPerSecond: rate,
            orderShare: 1,
          },
          Math.random,
          fleet.listTargetLines,
        );
        await timers.setTimeout(RUN_MS);
        const report = await load.stop();
        const after = await fleet.readLogCounts();
        const appends = after.appends - before.appends;
        rows.push({
          'offered/s': rate,
          'done/s': Number(((report.ordersDone * MS_PER_SECOND) / RUN_MS).toFixed(1)),
          'p50 ms': report.p50Ms,
          'p99 ms': report.p99Ms,
          'appends/1000': Math.round((appends * 1_000) / Math.max(1, report.ordersDone)),
          'append B/order': Math.round(
            (after.appendBytes - before.appendBytes) / Math.max(1, report.ordersDone),
          ),
          'done share': Number((report.ordersDone / report.orders).toFixed(HTTP_OK_SHARE_DIGITS)),
        });
        /* eslint-enable no-await-in-loop */
      }
      return { rows, figures: { runMs: RUN_MS } };
    } finally {
      await fleet.stop();
    }
  },
};
