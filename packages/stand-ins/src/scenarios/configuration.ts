import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import type * as core from '@figshed/core';
import * as operator from '../harness/operator.js';
import * as configObserver from './observer.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const APPLY_TIMEOUT_MS = 10_000;
const MS_PER_SECOND = 1_000;
/** Three regions with two readers each; each reader reads the log four times during its start. */
const MAX_RESTART_LOG_READS = 24;

interface ResourceState {
  revision: number;
}

async function readContractRevision(fleet: setup.ScenarioFleet): Promise<number> {
  const [host] = fleet.listReadyHosts();
  if (!host) throw new Error('no proxy is ready for calls');
  const state = (await fleet.request(host, 'config.get')) as {
    resources: Record<string, ResourceState>;
  };
  return state.resources['contract/customer-1']?.revision ?? 0;
}

async function runWithObserver(
  fleet: setup.ScenarioFleet,
  action: () => Promise<{ held: boolean; faults: number; figures: Record<string, unknown> }>,
): Promise<types.ScenarioResult> {
  const observer = configObserver.startObserver(fleet);
  try {
    const result = await action();
    const observation = await observer.stop();
    return {
      held: result.held && configObserver.hasNoViolations(observation),
      faults: result.faults,
      figures: { ...result.figures, observation },
    };
  } finally {
    await observer.stop();
    await fleet.stop();
  }
}

/** Kills a random proxy in each of five rounds, and appends a change before it restarts. */
export const noVersionRegress: types.Scenario = {
  description: 'no proxy goes back to an older version while proxies are killed and replaced',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2, 4], hasTargets: false });
    return runWithObserver(fleet, async () => {
      let kills = 0;
      let lastOffset = 0;
      for (let round = 0; round < 5; round += 1) {
        /* eslint-disable no-await-in-loop -- one round after the other */
        const index = Math.floor(context.random() * fleet.hosts.length);
        const host = fleet.hosts[index] as (typeof fleet.hosts)[number];
        host.proxy?.sendSignal('SIGKILL');
        await host.proxy?.exited;
        kills += 1;
        const revision = await readContractRevision(fleet);
        lastOffset = (await setup.appendChange(fleet, round + 2, revision)).offset;
        await fleet.startProxy(host);
        await setup.waitForPosition(fleet, fleet.hosts, lastOffset, APPLY_TIMEOUT_MS);
        context.print(`${host.id} killed and replaced, position ${lastOffset} everywhere`);
        /* eslint-enable no-await-in-loop */
      }
      return { held: true, faults: kills, figures: { kills, position: lastOffset } };
    });
  },
};

function createInvalidResources(fleet: setup.ScenarioFleet): core.Resource[] {
  return [
    { kind: 'route', name: 'dangling', pathPrefix: '/dangling', service: 'missing' },
    { kind: 'service', name: 'orphan', requestKinds: [] as never },
    fleet.resources[0] as core.Resource,
  ];
}

/** Appends invalid changes directly to the log, bypassing the checks of the operators' command. */
export const noDanglingRoute: types.Scenario = {
  description:
    'changes with dangling routes or malformed content are refused entirely by every proxy',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2], hasTargets: false });
    return runWithObserver(fleet, async () => {
      const [service] = fleet.topology.services;
      const commonFields = { author: 'scenario', type: 'change', base: {}, put: [], remove: [] };
      const changes = [
        { ...commonFields, id: uuid.v4(), put: createInvalidResources(fleet) },
        {
          ...commonFields,
          id: uuid.v4(),
          base: { 'route/dangling': 0 },
          put: [{ kind: 'route', name: 'dangling', pathPrefix: '/d', service: 'missing' }],
        },
        {
          ...commonFields,
          id: uuid.v4(),
          base: { [`service/${service}`]: 1 },
          remove: [`service/${service}`],
        },
        { nonsense: true },
      ];
      const before = await readContractRevision(fleet);
      let position = 0;
      for (const change of changes) {
        // eslint-disable-next-line no-await-in-loop -- one after the other
        const response = await fetch(`${fleet.logUrl}/streams/config/records`, {
          method: 'POST',
          body: JSON.stringify(change),
        });
        // eslint-disable-next-line no-await-in-loop
        position = ((await response.json()) as { offset: number }).offset;
      }
      await setup.waitForPosition(fleet, fleet.hosts, position, APPLY_TIMEOUT_MS);
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const held = statuses.every(({ version }) => version === 0);
      const after = await readContractRevision(fleet);
      return {
        held: held && before === after,
        faults: changes.length,
        figures: { refused: changes.length, versions: statuses.map(({ version }) => version) },
      };
    });
  },
};

/** Compares digests at equal positions during changes and network partitions. */
export const wholeVersion: types.Scenario = {
  description:
    'every proxy applies each version entirely or not at all, under changes and partitions',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2, 4], hasTargets: false });
    return runWithObserver(fleet, async () => {
      const [first, second, third] = fleet.topology.dataCentres.map(({ name }) => name) as [
        string,
        string,
        string,
      ];
      const cuts: (readonly [string, string])[] = [
        [first, second],
        [second, third],
        [first, third],
      ];
      let lastOffset = 0;
      for (let round = 0; round < 40; round += 1) {
        /* eslint-disable no-await-in-loop -- one after the other */
        const cut = cuts[Math.floor(context.random() * cuts.length)];
        if (round % 4 === 0 && cut) {
          await fleet.setLinkFaults({ cuts: [cut] });
          await fleet.setLogFaults({ cutOff: [cut[1]] });
        }
        lastOffset = (await setup.appendChange(fleet, round + 2, await readContractRevision(fleet)))
          .offset;
        await timers.setTimeout(context.random() * 400);
        /* eslint-enable no-await-in-loop */
      }
      await fleet.setLinkFaults({ cuts: [] });
      await fleet.setLogFaults({ cutOff: [] });
      const elapsedMs = await setup.waitForPosition(
        fleet,
        fleet.hosts,
        lastOffset,
        APPLY_TIMEOUT_MS,
      );
      const { dropped, refused } = await fleet.readLinkCounts();
      return {
        held: true,
        faults: dropped + refused,
        figures: { inForceMs: elapsedMs, dropped, refused, position: lastOffset },
      };
    });
  },
};

/** Three operators change the same contract concurrently. */
export const operatorRace: types.Scenario = {
  description:
    'of changes made against one revision exactly one is accepted; all operators get a result',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2], hasTargets: false });
    return runWithObserver(fleet, async () => {
      const contract = fleet.resources.find(({ kind }) => kind === 'contract') as core.Contract;
      let races = 0;
      let wrong = 0;
      for (let round = 0; round < 4; round += 1) {
        /* eslint-disable no-await-in-loop -- one race after the other */
        const revision = await readContractRevision(fleet);
        const results = await Promise.all(
          [1, 2, 3].map((number) => {
            const resource = { ...contract, weight: round * 10 + number };
            const file = operator.writeDocument(fleet, `race-${number}`, [resource]);
            const base = `contract/customer-1=${revision}`;
            return operator.runCommand(fleet, ['amend', file, '--base', base, '--wait', '--json']);
          }),
        );
        const codes = results.map(({ exitCode }) => exitCode).sort();
        races += 1;
        if (codes.join() !== '0,1,1') wrong += 1;
        context.print(`race ${round + 1}: exit codes ${codes.join(' ')}`);
        /* eslint-enable no-await-in-loop */
      }
      return { held: wrong === 0, faults: races, figures: { races, wrong } };
    });
  },
};

/** Takes the log down for longer than its retention and restarts a proxy during the outage. */
export const logOutage: types.Scenario = {
  description:
    'the log is down for longer than its retention; a restarted proxy gets its state from peers',
  async run(context) {
    const retentionMs = 8_000;
    const fleet = await setup.setUpFleet(context, {
      dataCentres: [0, 2],
      log: { retentionMs },
    });
    return runWithObserver(fleet, async () => {
      await fleet.setLogFaults({ outage: true });
      context.print('log is down');
      await timers.setTimeout(retentionMs + MS_PER_SECOND);
      const [host] = fleet.hosts;
      host?.proxy?.sendSignal('SIGKILL');
      await host?.proxy?.exited;
      if (host) await fleet.startProxy(host);
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const kept = statuses.filter(({ version }) => version === 0).length;
      context.print(`${kept} of ${fleet.hosts.length} proxies have the version, one restarted`);
      await fleet.setLogFaults({ outage: false });
      await timers.setTimeout(MS_PER_SECOND);
      const { offset } = await setup.appendChange(fleet, 3, await readContractRevision(fleet));
      const elapsedMs = await setup.waitForPosition(fleet, fleet.hosts, offset, APPLY_TIMEOUT_MS);
      const { refused } = await fleet.readLogCounts();
      return {
        held: kept === fleet.hosts.length,
        faults: refused,
        figures: { refusedByLog: refused, kept, inForceAfterMs: elapsedMs },
      };
    });
  },
};

/** Isolates one data centre from the others and from the log while a change is accepted. */
export const partition: types.Scenario = {
  description:
    'a data centre is isolated while a change is accepted; it keeps serving and catches up',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2, 4] });
    return runWithObserver(fleet, async () => {
      const [first, isolated, third] = fleet.topology.dataCentres.map(({ name }) => name) as [
        string,
        string,
        string,
      ];
      await fleet.setLinkFaults({
        cuts: [
          [first, isolated],
          [isolated, third],
        ],
      });
      await fleet.setLogFaults({ cutOff: [isolated] });
      context.print(`${isolated} is isolated`);
      await timers.setTimeout(2 * MS_PER_SECOND);
      const { offset } = await setup.appendChange(fleet, 3, await readContractRevision(fleet));
      const connectedHosts = fleet.hosts.filter(({ dataCentre }) => dataCentre !== isolated);
      const isolatedHosts = fleet.hosts.filter(({ dataCentre }) => dataCentre === isolated);
      const connectedMs = await setup.waitForPosition(
        fleet,
        connectedHosts,
        offset,
        APPLY_TIMEOUT_MS,
      );
      await timers.setTimeout(8 * MS_PER_SECOND);
      const isolatedStatuses = await setup.readStatuses(fleet, isolatedHosts);
      const served = isolatedStatuses.filter(({ version }) => version === 0).length;
      const connectedStatuses = await setup.readStatuses(fleet, connectedHosts);
      await fleet.setLinkFaults({ cuts: [] });
      await fleet.setLogFaults({ cutOff: [] });
      context.print('partition healed');
      const healedMs = await setup.waitForPosition(fleet, fleet.hosts, offset, APPLY_TIMEOUT_MS);
      const { dropped, refused } = await fleet.readLinkCounts();
      return {
        held: served === isolatedHosts.length,
        faults: dropped + refused,
        figures: {
          connectedMs,
          healedMs,
          dropped,
          refused,
          membersKeptDuringCut: Math.min(...connectedStatuses.map((status) => status.members)),
        },
      };
    });
  },
};

/** Kills all proxies and restarts them at once, which must not overload the log with reads. */
export const herdRestart: types.Scenario = {
  description: 'all proxies are killed and restart at once, and reads of the log stay bounded',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { hostsPerDataCentre: 4, hasTargets: false });
    return runWithObserver(fleet, async () => {
      const { offset } = await setup.appendChange(fleet, 3, await readContractRevision(fleet));
      await setup.waitForPosition(fleet, fleet.hosts, offset, APPLY_TIMEOUT_MS);
      fleet.hosts.forEach(({ proxy }) => proxy?.sendSignal('SIGKILL'));
      await Promise.all(fleet.hosts.map(({ proxy }) => proxy?.exited));
      const before = await fleet.readLogCounts();
      const startedAt = performance.now();
      await Promise.all(fleet.hosts.map((host) => fleet.startProxy(host)));
      const readyMs = performance.now() - startedAt;
      await setup.waitForPosition(fleet, fleet.hosts, offset, APPLY_TIMEOUT_MS);
      const after = await fleet.readLogCounts();
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const logReads = after.reads - before.reads;
      return {
        held:
          statuses.every(({ version }) => version === offset) && logReads <= MAX_RESTART_LOG_READS,
        faults: fleet.hosts.length,
        figures: {
          killed: fleet.hosts.length,
          readyMs,
          logReads,
          readsByProxy: statuses.map(({ metrics }) => metrics['config.log-reads'] ?? 0),
        },
      };
    });
  },
};

/** Suspends a proxy with SIGSTOP while the rest of the fleet applies changes. */
export const frozenProxy: types.Scenario = {
  description: 'a proxy frozen during changes catches up and never makes others regress',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2] });
    return runWithObserver(fleet, async () => {
      const [host] = fleet.hosts;
      if (!host) throw new Error('the fleet has no hosts');
      host.proxy?.sendSignal('SIGSTOP');
      context.print(`${host.id} is frozen`);
      const others = fleet.hosts.filter((other) => other !== host);
      const [otherHost] = others;
      if (!otherHost) throw new Error('the fleet has only one host');
      let offset = 0;
      for (let round = 0; round < 3; round += 1) {
        /* eslint-disable no-await-in-loop -- one after the other */
        const state = (await fleet.request(otherHost, 'config.get')) as {
          resources: Record<string, ResourceState>;
        };
        const revision = state.resources['contract/customer-1']?.revision ?? 0;
        offset = (await setup.appendChange(fleet, round + 2, revision)).offset;
        await setup.waitForPosition(fleet, others, offset, APPLY_TIMEOUT_MS);
        await timers.setTimeout(4 * MS_PER_SECOND);
        /* eslint-enable no-await-in-loop */
      }
      host.proxy?.sendSignal('SIGCONT');
      const catchUpMs = await setup.waitForPosition(fleet, fleet.hosts, offset, APPLY_TIMEOUT_MS);
      return { held: true, faults: 1, figures: { wokenMs: catchUpMs, position: offset } };
    });
  },
};

/** Drops responses to appends that took effect, so that operators' commands repeat them. */
export const lostAppendAnswer: types.Scenario = {
  description:
    'responses to appends are lost after they took effect, and each change is applied once',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2], hasTargets: false });
    return runWithObserver(fleet, async () => {
      await fleet.setLogFaults({ lostAnswers: 0.5 });
      const contract = fleet.resources.find(({ kind }) => kind === 'contract') as core.Contract;
      const codes: number[] = [];
      for (let round = 0; round < 6; round += 1) {
        const file = operator.writeDocument(fleet, 'lost', [{ ...contract, weight: round + 2 }]);
        // eslint-disable-next-line no-await-in-loop -- one after the other
        const result = await operator.runCommand(fleet, [
          'amend',
          file,
          '--base',
          'current',
          '--wait',
        ]);
        codes.push(result.exitCode);
        context.print(`amend exited with code ${result.exitCode}`);
      }
      const { lost } = await fleet.readLogCounts();
      const [host] = fleet.hosts;
      if (!host) throw new Error('the fleet has no hosts');
      const state = (await fleet.request(host, 'config.get')) as core.State;
      const accepted = state.decisions.filter((decision) => decision.accepted).length;
      return {
        // The first publish and the six amendments.
        held: codes.every((code) => code === 0) && accepted === 7,
        faults: lost,
        figures: { lost, codes, accepted },
      };
    });
  },
};
