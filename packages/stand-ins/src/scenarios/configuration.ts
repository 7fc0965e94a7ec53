/** Scenarios of the configuration: it only moves forward, whole, everywhere, whatever fails. */
import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import type * as core from '@figshed/core';
import * as operator from '../harness/operator.js';
import * as observerModule from './observer.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const IN_FORCE_MS = 10_000;
const MS_PER_SECOND = 1_000;
/** Three regions, two readers each, and four reads of each while it starts. */
const MAX_HERD_READS = 24;

interface Revision {
  revision: number;
}

async function readRevision(fleet: setup.ScenarioFleet): Promise<number> {
  const [host] = fleet.listRunning();
  if (!host) throw new Error('no proxy runs');
  const state = (await fleet.request(host, 'config.get')) as {
    resources: Record<string, Revision>;
  };
  return state.resources['contract/customer-1']?.revision ?? 0;
}

async function watchFleet(
  fleet: setup.ScenarioFleet,
  action: () => Promise<{ held: boolean; faults: number; figures: Record<string, unknown> }>,
): Promise<types.ScenarioResult> {
  const observer = observerModule.startObserver(fleet);
  try {
    const result = await action();
    const observation = await observer.stop();
    return {
      held: result.held && observerModule.isSound(observation),
      faults: result.faults,
      figures: { ...result.figures, observation },
    };
  } finally {
    await observer.stop();
    await fleet.stop();
  }
}

/** Publishes while proxies are killed and replaced. */
export const noVersionRegress: types.Scenario = {
  description: 'no proxy goes back to an older version while proxies are killed and replaced',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2, 4], hasTargets: false });
    return watchFleet(fleet, async () => {
      let kills = 0;
      let last = 0;
      for (let round = 0; round < 5; round += 1) {
        /* eslint-disable no-await-in-loop -- rounds follow one another */
        const index = Math.floor(context.random() * fleet.hosts.length);
        const host = fleet.hosts[index] as (typeof fleet.hosts)[number];
        host.proxy?.signal('SIGKILL');
        await host.proxy?.exited;
        kills += 1;
        const revision = await readRevision(fleet);
        last = (await setup.appendChange(fleet, round + 2, revision)).offset;
        await fleet.startProxy(host);
        await setup.waitForPosition(fleet, fleet.hosts, last, IN_FORCE_MS);
        context.say(`${host.id} killed and replaced, position ${last} everywhere`);
        /* eslint-enable no-await-in-loop */
      }
      return { held: true, faults: kills, figures: { kills, position: last } };
    });
  },
};

function createDangling(fleet: setup.ScenarioFleet): core.Resource[] {
  return [
    { kind: 'route', name: 'dangling', pathPrefix: '/dangling', service: 'missing' },
    { kind: 'service', name: 'orphan', requestKinds: [] as never },
    fleet.resources[0] as core.Resource,
  ];
}

/** Appends changes that would leave a route without its service, past the operators' command. */
export const noDanglingRoute: types.Scenario = {
  description: 'changes with dangling routes or broken content are refused whole, everywhere',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2], hasTargets: false });
    return watchFleet(fleet, async () => {
      const [service] = fleet.topology.services;
      const base = { author: 'scenario', type: 'change', base: {}, put: [], remove: [] };
      const changes = [
        { ...base, id: uuid.v4(), put: createDangling(fleet) },
        {
          ...base,
          id: uuid.v4(),
          base: { 'route/dangling': 0 },
          put: [{ kind: 'route', name: 'dangling', pathPrefix: '/d', service: 'missing' }],
        },
        {
          ...base,
          id: uuid.v4(),
          base: { [`service/${service}`]: 1 },
          remove: [`service/${service}`],
        },
        { nonsense: true },
      ];
      const before = await readRevision(fleet);
      let position = 0;
      for (const change of changes) {
        // eslint-disable-next-line no-await-in-loop -- one after the other
        const answer = await fetch(`${fleet.logUrl}/streams/config/records`, {
          method: 'POST',
          body: JSON.stringify(change),
        });
        // eslint-disable-next-line no-await-in-loop
        position = ((await answer.json()) as { offset: number }).offset;
      }
      await setup.waitForPosition(fleet, fleet.hosts, position, IN_FORCE_MS);
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const held = statuses.every(({ version }) => version === 0);
      const after = await readRevision(fleet);
      return {
        held: held && before === after,
        faults: changes.length,
        figures: { refused: changes.length, versions: statuses.map(({ version }) => version) },
      };
    });
  },
};

/** Compares digests position by position while updates cross and links are cut and healed. */
export const wholeVersion: types.Scenario = {
  description:
    'every proxy has each version whole or not at all, under a burst of changes and moving cuts',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2, 4], hasTargets: false });
    return watchFleet(fleet, async () => {
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
      let last = 0;
      for (let round = 0; round < 40; round += 1) {
        /* eslint-disable no-await-in-loop -- one after the other */
        const pair = cuts[Math.floor(context.random() * cuts.length)];
        if (round % 4 === 0 && pair) {
          await fleet.setLinks({ cuts: [pair] });
          await fleet.setLogFaults({ cutOff: [pair[1]] });
        }
        last = (await setup.appendChange(fleet, round + 2, await readRevision(fleet))).offset;
        await timers.setTimeout(context.random() * 400);
        /* eslint-enable no-await-in-loop */
      }
      await fleet.setLinks({ cuts: [] });
      await fleet.setLogFaults({ cutOff: [] });
      const ms = await setup.waitForPosition(fleet, fleet.hosts, last, IN_FORCE_MS);
      const { dropped, refused } = await fleet.readLinkCounts();
      return {
        held: true,
        faults: dropped + refused,
        figures: { inForceMs: ms, dropped, refused, position: last },
      };
    });
  },
};

/** Two operators change the same contract at the same time. */
export const operatorRace: types.Scenario = {
  description:
    'of two changes made against one revision exactly one is accepted, and both are told',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2], hasTargets: false });
    return watchFleet(fleet, async () => {
      const contract = fleet.resources.find(({ kind }) => kind === 'contract') as core.Contract;
      let races = 0;
      let wrong = 0;
      for (let round = 0; round < 4; round += 1) {
        /* eslint-disable no-await-in-loop -- one race after the other */
        const revision = await readRevision(fleet);
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
        context.say(`race ${round + 1}: exit codes ${codes.join(' ')}`);
        /* eslint-enable no-await-in-loop */
      }
      return { held: wrong === 0, faults: races, figures: { races, wrong } };
    });
  },
};

/** The log is down for a while; proxies go on and catch up, and some restart meanwhile. */
export const logOutage: types.Scenario = {
  description:
    'the log is down for longer than its retention; proxies restart and go on from peers',
  async run(context) {
    const retentionMs = 8_000;
    const fleet = await setup.setUpFleet(context, {
      dataCentres: [0, 2],
      log: { retentionMs },
    });
    return watchFleet(fleet, async () => {
      await fleet.setLogFaults({ outage: true });
      context.say('log is down');
      await timers.setTimeout(retentionMs + MS_PER_SECOND);
      const [host] = fleet.hosts;
      host?.proxy?.signal('SIGKILL');
      await host?.proxy?.exited;
      if (host) await fleet.startProxy(host);
      const during = await setup.readStatuses(fleet, fleet.hosts);
      const kept = during.filter(({ version }) => version === 0).length;
      context.say(`${kept} of ${fleet.hosts.length} proxies have the version, one restarted`);
      await fleet.setLogFaults({ outage: false });
      await timers.setTimeout(MS_PER_SECOND);
      const { offset } = await setup.appendChange(fleet, 3, await readRevision(fleet));
      const ms = await setup.waitForPosition(fleet, fleet.hosts, offset, IN_FORCE_MS);
      const { refused } = await fleet.readLogCounts();
      return {
        held: kept === fleet.hosts.length,
        faults: refused,
        figures: { refusedByLog: refused, kept, inForceAfterMs: ms },
      };
    });
  },
};

/** Data centres are cut from each other and from the platform while changes are accepted. */
export const partition: types.Scenario = {
  description: 'a data centre is cut off while changes are accepted; it serves on and catches up',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2, 4] });
    return watchFleet(fleet, async () => {
      const [near, far, third] = fleet.topology.dataCentres.map(({ name }) => name) as [
        string,
        string,
        string,
      ];
      await fleet.setLinks({
        cuts: [
          [near, far],
          [far, third],
        ],
      });
      await fleet.setLogFaults({ cutOff: [far] });
      context.say(`${far} is cut off`);
      await timers.setTimeout(2 * MS_PER_SECOND);
      const { offset } = await setup.appendChange(fleet, 3, await readRevision(fleet));
      const connected = fleet.hosts.filter(({ dataCentre }) => dataCentre !== far);
      const away = fleet.hosts.filter(({ dataCentre }) => dataCentre === far);
      const connectedMs = await setup.waitForPosition(fleet, connected, offset, IN_FORCE_MS);
      await timers.setTimeout(8 * MS_PER_SECOND);
      const cutStatuses = await setup.readStatuses(fleet, away);
      const served = cutStatuses.filter(({ version }) => version === 0).length;
      const members = await setup.readStatuses(fleet, connected);
      await fleet.setLinks({ cuts: [] });
      await fleet.setLogFaults({ cutOff: [] });
      context.say('healed');
      const healedMs = await setup.waitForPosition(fleet, fleet.hosts, offset, IN_FORCE_MS);
      const { dropped, refused } = await fleet.readLinkCounts();
      return {
        held: served === away.length,
        faults: dropped + refused,
        figures: {
          connectedMs,
          healedMs,
          dropped,
          refused,
          membersKeptDuringCut: Math.min(...members.map((status) => status.members)),
        },
      };
    });
  },
};

/** All proxies are killed and started again at once. */
export const herdRestart: types.Scenario = {
  description: 'all proxies are killed and come back at once, and reads of the log stay bounded',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { hostsPerDataCentre: 4, hasTargets: false });
    return watchFleet(fleet, async () => {
      const { offset } = await setup.appendChange(fleet, 3, await readRevision(fleet));
      await setup.waitForPosition(fleet, fleet.hosts, offset, IN_FORCE_MS);
      fleet.hosts.forEach(({ proxy }) => proxy?.signal('SIGKILL'));
      await Promise.all(fleet.hosts.map(({ proxy }) => proxy?.exited));
      const before = await fleet.readLogCounts();
      const startedAt = performance.now();
      await Promise.all(fleet.hosts.map((host) => fleet.startProxy(host)));
      const readyMs = performance.now() - startedAt;
      await setup.waitForPosition(fleet, fleet.hosts, offset, IN_FORCE_MS);
      const after = await fleet.readLogCounts();
      const statuses = await setup.readStatuses(fleet, fleet.hosts);
      const logReads = after.reads - before.reads;
      return {
        held: statuses.every(({ version }) => version === offset) && logReads <= MAX_HERD_READS,
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

/** A proxy is stopped for a while and wakes up in a fleet that has moved on. */
export const frozenProxy: types.Scenario = {
  description: 'a proxy frozen while the fleet moves on catches up and never takes others back',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2] });
    return watchFleet(fleet, async () => {
      const [host] = fleet.hosts;
      if (!host) throw new Error('no host');
      host.proxy?.signal('SIGSTOP');
      context.say(`${host.id} is frozen`);
      const others = fleet.hosts.filter((other) => other !== host);
      const [witness] = others;
      if (!witness) throw new Error('no witness');
      let offset = 0;
      for (let round = 0; round < 3; round += 1) {
        /* eslint-disable no-await-in-loop -- one after the other */
        const state = (await fleet.request(witness, 'config.get')) as {
          resources: Record<string, Revision>;
        };
        const revision = state.resources['contract/customer-1']?.revision ?? 0;
        offset = (await setup.appendChange(fleet, round + 2, revision)).offset;
        await setup.waitForPosition(fleet, others, offset, IN_FORCE_MS);
        await timers.setTimeout(4 * MS_PER_SECOND);
        /* eslint-enable no-await-in-loop */
      }
      host.proxy?.signal('SIGCONT');
      const wokenMs = await setup.waitForPosition(fleet, fleet.hosts, offset, IN_FORCE_MS);
      return { held: true, faults: 1, figures: { wokenMs, position: offset } };
    });
  },
};

/** Answers of appends are lost after they took effect; operators repeat. */
export const lostAppendAnswer: types.Scenario = {
  description: 'answers of appends are lost after they took effect, and each change folds once',
  async run(context) {
    const fleet = await setup.setUpFleet(context, { dataCentres: [0, 2], hasTargets: false });
    return watchFleet(fleet, async () => {
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
        context.say(`amend ended with ${result.exitCode}`);
      }
      const { lost } = await fleet.readLogCounts();
      const [host] = fleet.hosts;
      if (!host) throw new Error('no host');
      const state = (await fleet.request(host, 'config.get')) as core.State;
      const accepted = state.decisions.filter((decision) => decision.accepted).length;
      return {
        held: codes.every((code) => code === 0) && accepted === 7,
        faults: lost,
        figures: { lost, codes, accepted },
      };
    });
  },
};
