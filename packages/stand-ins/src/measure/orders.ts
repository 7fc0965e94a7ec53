/** Measures throughput and latency of orders by offered load, and log appends per 1000 orders. */
import * as timers from 'node:timers/promises';
import * as loadGenerator from '../scenarios/load.js';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const ORDERS_PER_SECOND = [20, 100, 200];
const RUN_MS = 8_000;
const MS_PER_SECOND = 1_000;
const DONE_SHARE_DIGITS = 3;

export const orders: types.Measurement = {
  description: 'throughput and latency of orders, and log appends per thousand orders',
  async run(print) {
    const fleet = await setup.setUpFleet(
      { seed: 1, random: Math.random, print },
      { dataCentres: [0, 2, 4] },
    );
    try {
      const rows: types.Row[] = [];
      for (const ordersPerSecond of ORDERS_PER_SECOND) {
        /* eslint-disable no-await-in-loop -- rates are measured one at a time */
        const countsBefore = await fleet.readLogCounts();
        const load = loadGenerator.startLoad(
          {
            ...setup.defaultLoadOptions,
            service: fleet.topology.services[0] as string,
            listHosts: fleet.listReadyHosts,
            callsPerSecond: ordersPerSecond,
            orderShare: 1,
          },
          Math.random,
          fleet.listTargetLines,
        );
        await timers.setTimeout(RUN_MS);
        const report = await load.stop();
        const countsAfter = await fleet.readLogCounts();
        const appends = countsAfter.appends - countsBefore.appends;
        rows.push({
          'offered/s': ordersPerSecond,
          'done/s': Number(((report.ordersDone * MS_PER_SECOND) / RUN_MS).toFixed(1)),
          'p50 ms': report.p50Ms,
          'p99 ms': report.p99Ms,
          'appends/1000': Math.round((appends * 1_000) / Math.max(1, report.ordersDone)),
          'append B/order': Math.round(
            (countsAfter.appendBytes - countsBefore.appendBytes) / Math.max(1, report.ordersDone),
          ),
          'done share': Number((report.ordersDone / report.orders).toFixed(DONE_SHARE_DIGITS)),
        });
        /* eslint-enable no-await-in-loop */
      }
      return { rows, figures: { runMs: RUN_MS } };
    } finally {
      await fleet.stop();
    }
  },
};
