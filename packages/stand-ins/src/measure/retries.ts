/** Measures how many calls reach targets per call from a caller while a third of the targets fail. */
import * as timers from 'node:timers/promises';
import * as loadModule from '../scenarios/load.js';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const RUN_MS = 10_000;
const CALLS_PER_SECOND = 150;

async function sumMetric(fleet: setup.ScenarioFleet, name: string): Promise<number> {
  const statuses = await setup.readStatuses(fleet, fleet.hosts);
  return statuses.reduce((sum, { metrics }) => sum + (metrics[name] ?? 0), 0);
}

/** Amplification with a third of the targets killed every second. */
export const retries: types.Measurement = {
  description: 'calls to targets per call from callers while a third of the targets fail',
  async run(say) {
    const fleet = await setup.setUpFleet(
      { seed: 1, random: Math.random, say },
      { dataCentres: [0], hostsPerDataCentre: 6 },
    );
    try {
      const failing = fleet.hosts.slice(0, 2);
      const before = await sumMetric(fleet, 'egress.attempts');
      const retriesBefore = await sumMetric(fleet, 'ingress.retries');
      const load = loadModule.startLoad(
        {
          ...setup.loadDefaults,
          service: fleet.topology.services[0] as string,
          listHosts: fleet.listRunning,
          callsPerSecond: CALLS_PER_SECOND,
          orderShare: 0,
        },
        Math.random,
        fleet.listTargetLines,
      );
      const until = performance.now() + RUN_MS;
      while (performance.now() < until) {
        /* eslint-disable no-await-in-loop -- the failing targets crash again and again */
        await timers.setTimeout(500);
        failing.forEach(({ target }) => target?.signal('SIGKILL'));
        await Promise.all(failing.map(({ target }) => target?.exited));
        await Promise.all(failing.map((host) => fleet.replaceTarget(host)));
        /* eslint-enable no-await-in-loop */
      }
      const report = await load.stop();
      const attempts = (await sumMetric(fleet, 'egress.attempts')) - before;
      const retried = (await sumMetric(fleet, 'ingress.retries')) - retriesBefore;
      const row = {
        calls: report.calls,
        answered: report.answered,
        attempts,
        retried,
        amplification: Number((attempts / report.calls).toFixed(3)),
        'p99 ms': report.p99Ms,
      };
      return { rows: [row], figures: { failingTargets: failing.length, runMs: RUN_MS } };
    } finally {
      await fleet.stop();
    }
  },
};
