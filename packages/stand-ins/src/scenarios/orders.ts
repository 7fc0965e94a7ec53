import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import * as callers from '../harness/caller.js';
import type * as fleets from '../harness/fleet.js';
import * as loadGenerator from './load.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const MS_PER_SECOND = 1_000;
const ROUND_MS = 3 * MS_PER_SECOND;

function pickHost(fleet: setup.ScenarioFleet, context: types.ScenarioContext): fleets.FleetHost {
  return fleet.hosts[Math.floor(context.random() * fleet.hosts.length)] as fleets.FleetHost;
}

/** Kills proxies and drops all data of open connections; each response must match its call. */
export const ownAnswer: types.Scenario = {
  description: 'every response belongs to its own call while connections break or drop all data',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1, 2] }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 150, orderShare: 0.1 });
      let faults = 0;
      for (let round = 0; round < 4; round += 1) {
        /* eslint-disable no-await-in-loop -- rounds follow one another */
        await timers.setTimeout(ROUND_MS / 2);
        const { silenced } = await fleet.setLinkFaults({ silence: true });
        const host = pickHost(fleet, context);
        host.proxy?.sendSignal('SIGKILL');
        await host.proxy?.exited;
        faults += silenced + 1;
        await fleet.startProxy(host);
        context.print(`${host.id} killed and replaced, ${silenced} connections blackholed`);
        /* eslint-enable no-await-in-loop */
      }
      const report = await load.stop();
      return { held: loadGenerator.isConsistent(report), faults, figures: { ...report } };
    }),
};

/** Injects six kinds of faults while orders are repeated through random proxies. */
export const atMostOnce: types.Scenario = {
  description:
    'no order runs twice despite kills, freezes, repeats, a log outage and lost responses',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 2, 4] }, async (fleet) => {
      const load = setup.startLoad(fleet, context, { callsPerSecond: 80, orderShare: 0.8 });
      const [first, second] = fleet.topology.dataCentres.map(({ name }) => name) as [
        string,
        string,
      ];
      let faults = 0;
      const steps: (() => Promise<string>)[] = [
        async () => {
          const host = pickHost(fleet, context);
          host.proxy?.sendSignal('SIGKILL');
          await host.proxy?.exited;
          await fleet.startProxy(host);
          return `${host.id} killed and replaced`;
        },
        async () => {
          await fleet.setLogFaults({ lostAnswers: 0.3 });
          await timers.setTimeout(ROUND_MS);
          await fleet.setLogFaults({ lostAnswers: 0 });
          return 'responses to appends were lost';
        },
        async () => {
          const host = pickHost(fleet, context);
          host.proxy?.sendSignal('SIGSTOP');
          await timers.setTimeout(ROUND_MS);
          host.proxy?.sendSignal('SIGCONT');
          return `${host.id} was frozen`;
        },
        async () => {
          await fleet.setLogFaults({ outage: true });
          await timers.setTimeout(ROUND_MS);
          await fleet.setLogFaults({ outage: false });
          return 'the log was down';
        },
        async () => {
          await fleet.setLinkFaults({ cuts: [[first, second]] });
          await fleet.setLogFaults({ cutOff: [second] });
          await timers.setTimeout(ROUND_MS);
          await fleet.setLinkFaults({ cuts: [] });
          await fleet.setLogFaults({ cutOff: [] });
          return `${second} was isolated`;
        },
        async () => {
          const host = pickHost(fleet, context);
          host.target?.sendSignal('SIGKILL');
          await host.target?.exited;
          await fleet.replaceTarget(host);
          return `the target of ${host.id} was killed and replaced`;
        },
      ];
      for (const step of steps) {
        /* eslint-disable no-await-in-loop -- one fault after the other */
        await timers.setTimeout(MS_PER_SECOND / 2);
        context.print(await step());
        faults += 1;
        /* eslint-enable no-await-in-loop */
      }
      await timers.setTimeout(2 * MS_PER_SECOND);
      const report = await load.stop();
      const { lost } = await fleet.readLogCounts();
      const held = loadGenerator.isConsistent(report) && report.ordersDone > 0 && lost > 0;
      return { held, faults, figures: { ...report, lost } };
    }),
};

/** Overloads and kills targets; no order whose last outcome is "not-run" may have run. */
export const notRunMeansNotRun: types.Scenario = {
  description: 'an order with the final outcome "not-run" was run by no target',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 1], target: { slots: 2 } }, async (fleet) => {
      // Above the capacity of the slots, 133 calls per second, so that calls are shed or time out.
      const load = setup.startLoad(fleet, context, {
        callsPerSecond: 150,
        orderShare: 0.7,
        repeats: 0,
        serviceMs: 60,
      });
      let faults = 0;
      for (let round = 0; round < 3; round += 1) {
        /* eslint-disable no-await-in-loop -- rounds follow one another */
        await timers.setTimeout(ROUND_MS / 2);
        const host = pickHost(fleet, context);
        host.target?.sendSignal('SIGKILL');
        await host.target?.exited;
        faults += 1;
        await timers.setTimeout(MS_PER_SECOND / 2);
        await fleet.replaceTarget(host);
        context.print(`the target of ${host.id} was killed and replaced`);
        /* eslint-enable no-await-in-loop */
      }
      const report = await load.stop();
      const held = loadGenerator.isConsistent(report) && report.notRun > 0;
      return { held, faults: faults + report.notRun, figures: { ...report } };
    }),
};

export const orderRepeat: types.Scenario = {
  description: 'a repeat of a finished order gets the recorded outcome through any data centre',
  run: (context) =>
    setup.withFleet(context, { dataCentres: [0, 2, 4] }, async (fleet) => {
      const caller = callers.createCaller();
      const path = `/${fleet.topology.services[0]}/orders/1`;
      const send = (host: fleets.FleetHost, orderKey: string) =>
        caller.call({
          address: host.address,
          port: host.callerPort,
          path,
          apiKey: setup.API_KEY,
          method: 'POST',
          body: 'same order',
          orderKey,
        });
      let repeats = 0;
      let wrong = 0;
      for (let round = 0; round < 12; round += 1) {
        /* eslint-disable no-await-in-loop -- the repeat follows the order */
        const orderKey = uuid.v7();
        const first = await send(pickHost(fleet, context), orderKey);
        const repeated = await send(pickHost(fleet, context), orderKey);
        repeats += 1;
        const isSame = repeated.status === first.status && repeated.body === first.body;
        if (first.status !== 200 || !isSame || !repeated.isReplayed) {
          wrong += 1;
          context.print(`${first.status} ${first.body} then ${repeated.status} ${repeated.body}`);
        }
        /* eslint-enable no-await-in-loop */
      }
      await caller.close();
      await timers.setTimeout(MS_PER_SECOND / 2);
      const runs = [...loadGenerator.countRuns(fleet.listTargetLines()).values()];
      const twice = runs.filter((count) => count > 1).length;
      const held = wrong === 0 && twice === 0 && runs.length === repeats;
      return { held, faults: repeats, figures: { repeats, wrong, twice, runs: runs.length } };
    }),
};

/** Drops all data of the open connections between data centres; new connections work. */
export const silentConnection: types.Scenario = {
  description: 'open connections drop all data while new ones work, and all calls succeed',
  run: (context) =>
    setup.withFleet(
      context,
      {
        dataCentres: [0, 2],
        services: ['catalogue', 'bookings'],
        // Only the other data centre has targets of the called service, so all calls use links.
        chooseService: (_index, dataCentre) =>
          dataCentre === 'khomas-1' ? 'bookings' : 'catalogue',
      },
      async (fleet) => {
        const listCallerHosts = () =>
          fleet.hosts.filter(({ dataCentre }) => dataCentre === 'khomas-1');
        const load = setup.startLoad(fleet, context, {
          callsPerSecond: 80,
          orderShare: 0.2,
          listHosts: listCallerHosts,
        });
        let silenced = 0;
        for (let round = 0; round < 4; round += 1) {
          /* eslint-disable no-await-in-loop -- rounds follow one another */
          await timers.setTimeout(ROUND_MS);
          const result = await fleet.setLinkFaults({ silence: true });
          silenced += result.silenced;
          context.print(`${result.silenced} connections blackholed`);
          /* eslint-enable no-await-in-loop */
        }
        await timers.setTimeout(ROUND_MS);
        const report = await load.stop();
        const held = loadGenerator.isConsistent(report) && report.answered === report.calls;
        return { held, faults: silenced, figures: { silenced, ...report } };
      },
    ),
};
