/** Measures retry amplification: attempts per call while a third of the targets crash. */
import * as timers from 'node:timers/promises';
import * as loadGenerator from '../scenarios/load.js';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const RUN_MS = 10_000;
const CALLS_PER_SECOND = 150;

async function sumMetric(fleet: setup.ScenarioFleet, name: string): Promise<number> {
  const statuses = await setup.readStatuses(fleet, fleet.hosts);
  return statuses.reduce((sum, { metrics }) => sum + (metrics[name] ?? 0), 0);
}

/** Retry amplification while a third of the targets are killed 500 ms after each restart. */
export const retries: types.Measurement = {
  description: 'attempts at targets per call while a third of the targets crash',
  async run(print) {
    const fleet = await setup.setUpFleet(
      { seed: 1, random: Math.random, print },
      { dataCentres: [0], hostsPerDataCentre: 6 },
    );
    try {
      const failingHosts = fleet.hosts.slice(0, 2);
      const attemptsBefore = await sumMetric(fleet, 'egress.attempts');
      const retriesBefore = await sumMetric(fleet, 'ingress.retries');
      const load = loadGenerator.startLoad(
        {
          ...setup.defaultLoadOptions,
          service: fleet.topology.services[0] as string,
          listHosts: fleet.listReadyHosts,
          callsPerSecond: CALLS_PER_SECOND,
          orderShare: 0,
        },
        Math.random,
        fleet.listTargetLines,
      );
      const endsAt = performance.now() + RUN_MS;
      while (performance.now() < endsAt) {
        /* eslint-disable no-await-in-loop -- the failing targets are killed repeatedly */
        await timers.setTimeout(500);
        failingHosts.forEach(({ target }) => target?.sendSignal('SIGKILL'));
        await Promise.all(failingHosts.map(({ target }) => target?.exited));
        await Promise.all(failingHosts.map((host) => fleet.replaceTarget(host)));
        /* eslint-enable no-await-in-loop */
      }
      const report = await load.stop();
      const attempts = (await sumMetric(fleet, 'egress.attempts')) - attemptsBefore;
      const retryCount = (await sumMetric(fleet, 'ingress.retries')) - retriesBefore;
      const row = {
        calls: report.calls,
        answered: report.answered,
        attempts,
        retried: retryCount,
        amplification: Number((attempts / report.calls).toFixed(3)),
        'p99 ms': report.p99Ms,
      };
      return { rows: [row], figures: { failingTargets: failingHosts.length, runMs: RUN_MS } };
    } finally {
      await fleet.stop();
    }
  },
};
