/** Scenarios of leaving: drains, planned stops, crashes, poisonous and cancelled requests. */
import * as timers from 'node:timers/promises';
import * as callerModule from '../harness/caller.js';
import type * as fleetModule from '../harness/fleet.js';
import * as loadModule from './load.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const MS_PER_SECOND = 1_000;
const HTTP_OK = 200;
/** Time within which a leaving target must get no new work. */
const DRAIN_BOUND_MS = 3 * MS_PER_SECOND;

function countRoutes(fleet: setup.ScenarioFleet, id: string, after: number): number {
  return fleet.hosts
    .flatMap(({ proxy }) => proxy?.lines ?? [])
    .filter((line) => line.includes('event=route') && line.includes(`target=${id} `))
    .filter((line) => Date.parse(/time=(\S+)/.exec(line)?.[1] ?? '') > after).length;
}

/** A target announces that it leaves. */
export const drain: types.Scenario = {
  description: 'a draining target gets no new work after a few seconds, and no call fails',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1, 2] }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 120, serviceMs: 20 });
      await timers.setTimeout(2 * MS_PER_SECOND);
      const leaving = fleet.hosts.slice(0, 2);
      leaving.forEach(({ target }) => target?.signal('SIGUSR2'));
      await Promise.all(leaving.map(({ target }) => target?.waitForLine(/^draining/, 2_000)));
      const drainedAt = Date.now();
      context.say(`${leaving.map(({ id }) => id).join(' and ')} drain`);
      await timers.setTimeout(DRAIN_BOUND_MS + 3 * MS_PER_SECOND);
      const report = await load.stop();
      const late = leaving.map(({ id }) => countRoutes(fleet, id, drainedAt + DRAIN_BOUND_MS));
      const early = leaving.map(({ id }) => countRoutes(fleet, id, drainedAt));
      const held =
        loadModule.isTruthful(report) &&
        late.every((count) => count === 0) &&
        report.answered === report.calls;
      return {
        held,
        faults: leaving.length,
        figures: { routesAfterDrain: early, routesAfterBound: late, ...report },
      };
    }),
};

/** Proxies get SIGTERM under load, with long calls and a download in flight. */
export const gracefulStop: types.Scenario = {
  description: 'a planned stop of proxies cuts no call and no download, and ends with exit 0',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1] }, async (fleet) => {
      const caller = callerModule.createCaller();
      const [first, second] = fleet.hosts as [fleetModule.FleetHost, fleetModule.FleetHost];
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
            key: setup.API_KEY,
            timeoutMs: 20_000,
          }),
        ),
      );
      await timers.setTimeout(MS_PER_SECOND / 5);
      first.proxy?.signal('SIGTERM');
      second.proxy?.signal('SIGTERM');
      context.say(`${first.id} and ${second.id} were told to stop`);
      const answers = await Promise.all(inFlight);
      const exits = await Promise.all([first, second].map(({ proxy }) => proxy?.exited));
      await timers.setTimeout(MS_PER_SECOND);
      const report = await load.stop();
      await caller.close();
      const whole = answers.filter(({ status }) => status === HTTP_OK).length;
      const downloads = answers.filter(({ body }) => body.length === 30_000_000).length;
      const held =
        loadModule.isTruthful(report) &&
        whole === answers.length &&
        downloads === 2 &&
        report.answered === report.calls &&
        exits.every((exit) => exit === '0');
      return { held, faults: 2, figures: { whole, downloads, exits, ...report } };
    }),
};

/** One request crashes every target that runs it, and its caller repeats it. */
export const poisonRequest: types.Scenario = {
  description: 'a request that crashes targets kills at most two and is then refused as not run',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1], hostsPerDataCentre: 3 }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 60 });
      const caller = callerModule.createCaller();
      await timers.setTimeout(MS_PER_SECOND);
      const service = fleet.topology.services[0];
      const outcomes: string[] = [];
      for (let tries = 0; tries < 8; tries += 1) {
        /* eslint-disable no-await-in-loop -- the caller repeats after each answer */
        const host = fleet.hosts[tries % fleet.hosts.length] as fleetModule.FleetHost;
        const answer = await caller.call({
          address: host.address,
          port: host.callerPort,
          path: `/${service}/poison?crash=1`,
          key: setup.API_KEY,
        });
        outcomes.push(`${answer.status} ${answer.outcome}`);
        await timers.setTimeout(MS_PER_SECOND / 4);
        /* eslint-enable no-await-in-loop */
      }
      await timers.setTimeout(MS_PER_SECOND);
      const dead = fleet.hosts.filter(({ target }) => !target?.isRunning()).length;
      const report = await load.stop();
      await caller.close();
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const knowing = statuses.filter(({ quarantine }) =>
        quarantine.some(({ quarantined }) => quarantined),
      ).length;
      const held =
        loadModule.isTruthful(report) &&
        dead >= 1 &&
        dead <= 2 &&
        outcomes.slice(-4).every((outcome) => outcome === '503 not-run') &&
        knowing === fleet.hosts.length;
      return { held, faults: dead, figures: { dead, knowing, outcomes, ...report } };
    }),
};

/** Targets crash and come back under load. */
export const targetCrash: types.Scenario = {
  description: 'targets crash and come back under load; lookups are answered by others',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1] }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 150, orderShare: 0.1 });
      let crashes = 0;
      for (let round = 0; round < 5; round += 1) {
        /* eslint-disable no-await-in-loop -- rounds follow one another */
        await timers.setTimeout(MS_PER_SECOND);
        const host = fleet.hosts[round % fleet.hosts.length] as fleetModule.FleetHost;
        host.target?.signal('SIGKILL');
        await host.target?.exited;
        crashes += 1;
        await timers.setTimeout(MS_PER_SECOND);
        await fleet.replaceTarget(host);
        /* eslint-enable no-await-in-loop */
      }
      const report = await load.stop();
      const lookups = report.calls - report.orders;
      // An order that was running when its target died has an open outcome; a lookup never has.
      const held = loadModule.isTruthful(report) && report.answered >= lookups;
      return { held, faults: crashes, figures: { crashes, lookups, ...report } };
    }),
};

/** Callers give up; targets are told, and late answers reach nobody. */
export const cancelledAndLate: types.Scenario = {
  description: 'callers that give up cancel their calls at the targets, and free the slots',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0] }, async (fleet) => {
      const caller = callerModule.createCaller();
      const load = setup.startLoad(fleet, context, { callsPerSecond: 60 });
      const service = fleet.topology.services[0];
      const abandoned = Array.from({ length: 40 }, (_, index) => {
        const host = fleet.hosts[index % fleet.hosts.length] as fleetModule.FleetHost;
        return caller.call({
          address: host.address,
          port: host.callerPort,
          path: `/${service}/slow?ms=4000&n=${index}`,
          key: setup.API_KEY,
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
        loadModule.isTruthful(report) && report.answered === report.calls && cancelled > 20;
      return {
        held,
        faults: abandoned.length,
        figures: { cancelled, open: statuses.map(({ inFlight }) => inFlight), ...report },
      };
    }),
};
