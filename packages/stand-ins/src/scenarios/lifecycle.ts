import * as timers from 'node:timers/promises';
import * as callers from '../harness/caller.js';
import type * as fleets from '../harness/fleet.js';
import * as loadGenerator from './load.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const MS_PER_SECOND = 1_000;
const HTTP_OK = 200;
/** Calls must no longer be routed to a draining target after this time. */
const DRAIN_LIMIT_MS = 3 * MS_PER_SECOND;

function countRoutedCalls(fleet: setup.ScenarioFleet, id: string, after: number): number {
  return fleet.hosts
    .flatMap(({ proxy }) => proxy?.outputLines ?? [])
    .filter((line) => line.includes('event=route') && line.includes(`target=${id} `))
    .filter((line) => Date.parse(/time=(\S+)/.exec(line)?.[1] ?? '') > after).length;
}

export const drain: types.Scenario = {
  description: 'no call is routed to a draining target after a few seconds, and no call fails',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1, 2] }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 120, serviceMs: 20 });
      await timers.setTimeout(2 * MS_PER_SECOND);
      const drainingHosts = fleet.hosts.slice(0, 2);
      drainingHosts.forEach(({ target }) => target?.sendSignal('SIGUSR2'));
      await Promise.all(drainingHosts.map(({ target }) => target?.waitForLine(/^draining/, 2_000)));
      const drainedAt = Date.now();
      context.print(`${drainingHosts.map(({ id }) => id).join(' and ')} are draining`);
      await timers.setTimeout(DRAIN_LIMIT_MS + 3 * MS_PER_SECOND);
      const report = await load.stop();
      const routedAfterLimit = drainingHosts.map(({ id }) =>
        countRoutedCalls(fleet, id, drainedAt + DRAIN_LIMIT_MS),
      );
      const routedAfterDrain = drainingHosts.map(({ id }) =>
        countRoutedCalls(fleet, id, drainedAt),
      );
      const held =
        loadGenerator.isConsistent(report) &&
        routedAfterLimit.every((count) => count === 0) &&
        report.answered === report.calls;
      return {
        held,
        faults: drainingHosts.length,
        figures: {
          routesAfterDrain: routedAfterDrain,
          routesAfterBound: routedAfterLimit,
          ...report,
        },
      };
    }),
};

/** Sends SIGTERM to two proxies under load, with long calls and downloads in flight. */
export const gracefulStop: types.Scenario = {
  description: 'a graceful stop of proxies breaks no call and no download, and exits with 0',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1] }, async (fleet) => {
      const caller = callers.createCaller();
      const [first, second] = fleet.hosts as [fleets.FleetHost, fleets.FleetHost];
      const remaining = fleet.hosts.slice(2);
      const load = setup.startLoad(fleet, context, {
        callsPerSecond: 120,
        serviceMs: 30,
        listHosts: () => remaining,
      });
      await timers.setTimeout(MS_PER_SECOND);
      const service = fleet.topology.services[0];
      const inFlight = [first, second].flatMap((host) =>
        ['ms=2500', 'ms=1500', 'ms=2000&download=30000000'].map((query) =>
          caller.call({
            address: host.address,
            port: host.callerPort,
            path: `/${service}/long?${query}`,
            apiKey: setup.API_KEY,
            timeoutMs: 20_000,
          }),
        ),
      );
      await timers.setTimeout(MS_PER_SECOND / 5);
      first.proxy?.sendSignal('SIGTERM');
      second.proxy?.sendSignal('SIGTERM');
      context.print(`sent SIGTERM to ${first.id} and ${second.id}`);
      const responses = await Promise.all(inFlight);
      const exits = await Promise.all([first, second].map(({ proxy }) => proxy?.exited));
      await timers.setTimeout(MS_PER_SECOND);
      const report = await load.stop();
      await caller.close();
      const whole = responses.filter(({ status }) => status === HTTP_OK).length;
      const downloads = responses.filter(({ body }) => body.length === 30_000_000).length;
      const held =
        loadGenerator.isConsistent(report) &&
        whole === responses.length &&
        downloads === 2 &&
        report.answered === report.calls &&
        exits.every((exit) => exit === '0');
      return { held, faults: 2, figures: { whole, downloads, exits, ...report } };
    }),
};

/** Repeats a request that crashes every target that runs it. */
export const poisonRequest: types.Scenario = {
  description:
    'a request that crashes targets kills at most two and is then refused with "not-run"',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1], hostsPerDataCentre: 3 }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 60 });
      const caller = callers.createCaller();
      await timers.setTimeout(MS_PER_SECOND);
      const service = fleet.topology.services[0];
      const outcomes: string[] = [];
      for (let attempt = 0; attempt < 8; attempt += 1) {
        /* eslint-disable no-await-in-loop -- the caller repeats after each response */
        const host = fleet.hosts[attempt % fleet.hosts.length] as fleets.FleetHost;
        const response = await caller.call({
          address: host.address,
          port: host.callerPort,
          path: `/${service}/poison?crash=1`,
          apiKey: setup.API_KEY,
        });
        outcomes.push(`${response.status} ${response.outcome}`);
        await timers.setTimeout(MS_PER_SECOND / 4);
        /* eslint-enable no-await-in-loop */
      }
      await timers.setTimeout(MS_PER_SECOND);
      const dead = fleet.hosts.filter(({ target }) => !target?.isRunning()).length;
      const report = await load.stop();
      await caller.close();
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const quarantiningCount = statuses.filter(({ quarantine }) =>
        quarantine.some(({ quarantined }) => quarantined),
      ).length;
      const held =
        loadGenerator.isConsistent(report) &&
        dead >= 1 &&
        dead <= 2 &&
        outcomes.slice(-4).every((outcome) => outcome === '503 not-run') &&
        quarantiningCount === fleet.hosts.length;
      return {
        held,
        faults: dead,
        figures: { dead, knowing: quarantiningCount, outcomes, ...report },
      };
    }),
};

export const targetCrash: types.Scenario = {
  description: 'targets crash and restart under load; lookups succeed at other targets',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1] }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 150, orderShare: 0.1 });
      let crashes = 0;
      for (let round = 0; round < 5; round += 1) {
        /* eslint-disable no-await-in-loop -- rounds follow one another */
        await timers.setTimeout(MS_PER_SECOND);
        const host = fleet.hosts[round % fleet.hosts.length] as fleets.FleetHost;
        host.target?.sendSignal('SIGKILL');
        await host.target?.exited;
        crashes += 1;
        await timers.setTimeout(MS_PER_SECOND);
        await fleet.replaceTarget(host);
        /* eslint-enable no-await-in-loop */
      }
      const report = await load.stop();
      const lookups = report.calls - report.orders;
      // An order has an unknown outcome when its target is killed during the run; lookups are retried.
      const held = loadGenerator.isConsistent(report) && report.answered >= lookups;
      return { held, faults: crashes, figures: { crashes, lookups, ...report } };
    }),
};

/** Abandons calls after 300 ms; targets cancel them, and no other call gets their responses. */
export const cancelledAndLate: types.Scenario = {
  description:
    'calls that their callers abandon are cancelled at the targets and release their slots',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0] }, async (fleet) => {
      const caller = callers.createCaller();
      const load = setup.startLoad(fleet, context, { callsPerSecond: 60 });
      const service = fleet.topology.services[0];
      const abandoned = Array.from({ length: 40 }, (_, index) => {
        const host = fleet.hosts[index % fleet.hosts.length] as fleets.FleetHost;
        return caller.call({
          address: host.address,
          port: host.callerPort,
          path: `/${service}/slow?ms=4000&n=${index}`,
          apiKey: setup.API_KEY,
          timeoutMs: 300,
        });
      });
      await Promise.all(abandoned);
      await timers.setTimeout(MS_PER_SECOND);
      const cancelled = fleet
        .listTargetLines()
        .filter((line) => line.startsWith('cancelled')).length;
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      await timers.setTimeout(2 * MS_PER_SECOND);
      const report = await load.stop();
      await caller.close();
      const held =
        loadGenerator.isConsistent(report) && report.answered === report.calls && cancelled > 20;
      return {
        held,
        faults: abandoned.length,
        figures: { cancelled, open: statuses.map(({ inFlight }) => inFlight), ...report },
      };
    }),
};
