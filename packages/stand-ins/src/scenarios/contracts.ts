/** Scenarios of the contract: its limits hold for the fleet, and overload harms nobody within it. */
import * as timers from 'node:timers/promises';
import * as callerModule from '../harness/caller.js';
import * as fleetModule from '../harness/fleet.js';
import * as operator from '../harness/operator.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const MS_PER_SECOND = 1_000;
const HTTP_OK = 200;
const HTTP_TOO_MANY = 429;

/** Calls of one customer over a while. */
export interface Flow {
  sent: number;
  admitted: number;
  refused: number;
  other: number;
  seconds: number;
  latencies: number[];
}

/** What a flow is made of. */
export interface FlowOptions {
  key: string;
  path: string;
  callsPerSecond: number;
  runMs: number;
  hosts: readonly fleetModule.FleetHost[];
  timeoutMs?: number;
}

/**
 * Sends calls of one customer at a steady rate and counts what became of them.
 *
 * @example
 * const flow = await runFlow({ key, path, callsPerSecond: 100, runMs: 5_000, hosts });
 */
export async function runFlow(options: FlowOptions): Promise<Flow> {
  const caller = callerModule.createCaller();
  const flow: Flow = { sent: 0, admitted: 0, refused: 0, other: 0, seconds: 0, latencies: [] };
  const startedAt = performance.now();
  const open: Promise<void>[] = [];
  const send = async (host: fleetModule.FleetHost): Promise<void> => {
    const answer = await caller.call({
      address: host.address,
      port: host.callerPort,
      path: options.path,
      key: options.key,
      timeoutMs: options.timeoutMs ?? 5_000,
    });
    if (answer.status === HTTP_OK) {
      flow.admitted += 1;
      flow.latencies.push(answer.ms);
    } else if (answer.status === HTTP_TOO_MANY) flow.refused += 1;
    else flow.other += 1;
  };
  while (performance.now() - startedAt < options.runMs) {
    const dueAt = startedAt + (flow.sent * MS_PER_SECOND) / options.callsPerSecond;
    // eslint-disable-next-line no-await-in-loop -- paces the calls
    if (dueAt > performance.now()) await timers.setTimeout(dueAt - performance.now());
    open.push(send(options.hosts[flow.sent % options.hosts.length] as fleetModule.FleetHost));
    flow.sent += 1;
  }
  await Promise.all(open);
  flow.seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  await caller.close();
  return flow;
}

const RATE = 60;
const BURST = 30;

/** Demand moves between data centres, one is cut off, a keeper dies; the sum stays within terms. */
export const contractLimits: types.Scenario = {
  description: 'the rate holds for the fleet while demand moves, a cut lasts and proxies die',
  async run(context) {
    const fleet = await setup.setUpFleet(context, {
      dataCentres: [0, 2],
      contract: { ratePerSecond: RATE, burst: BURST },
    });
    try {
      const path = `/${fleet.topology.services[0]}/items/1?ms=1`;
      const [first, second] = fleet.topology.dataCentres.map(({ name }) => name) as [
        string,
        string,
      ];
      const of = (name: string) => fleet.hosts.filter(({ dataCentre }) => dataCentre === name);
      const run = (hosts: readonly fleetModule.FleetHost[], factor: number) =>
        runFlow({
          key: setup.API_KEY,
          path,
          callsPerSecond: RATE * factor,
          runMs: 6 * MS_PER_SECOND,
          hosts,
        });
      await timers.setTimeout(2 * MS_PER_SECOND);
      const phases: Record<string, () => Promise<Flow>> = {
        steady: () => run(fleet.hosts, 3),
        shifted: () => run(of(first).slice(0, 1), 3),
        cut: async () => {
          await fleet.setLinks({ cuts: [[first, second]] });
          const flow = await run(fleet.hosts, 3);
          await fleet.setLinks({ cuts: [] });
          return flow;
        },
        killed: async () => {
          const [victim, ...others] = fleet.hosts as [fleetModule.FleetHost];
          victim.proxy?.signal('SIGKILL');
          return run(others, 3);
        },
      };
      const figures: Record<string, unknown> = {};
      const ratios: number[] = [];
      for (const [name, phase] of Object.entries(phases)) {
        // eslint-disable-next-line no-await-in-loop -- phases follow one another
        const flow = await phase();
        // Tokens that were saved up before the phase belong to the burst.
        const ratio = flow.admitted / (RATE * flow.seconds + BURST);
        ratios.push(ratio);
        figures[name] = {
          admitted: flow.admitted,
          refused: flow.refused,
          other: flow.other,
          admittedOverAllowed: Number(ratio.toFixed(3)),
          usedOverRate: Number((flow.admitted / (RATE * flow.seconds)).toFixed(3)),
        };
        context.say(`${name}: ${JSON.stringify(figures[name])}`);
      }
      const used = (figures.shifted as { usedOverRate: number }).usedOverRate;
      const held = ratios.every((ratio) => ratio <= 1) && used >= 0.9;
      return { held, faults: 2, figures };
    } finally {
      await fleet.stop();
    }
  },
};

/** A customer far over its share meets one within its terms at full targets. */
export const overload: types.Scenario = {
  description: 'at five times the capacity goodput stays, and a modest customer is not slowed',
  async run(context) {
    const slots = 4;
    const serviceMs = 50;
    const fleet = await setup.setUpFleet(context, {
      dataCentres: [0],
      target: { slots, serviceMs },
    });
    try {
      const contract = fleet.resources.find(({ kind }) => kind === 'contract');
      const modest = {
        ...contract,
        name: 'modest',
        keyDigests: [fleetModule.hashKey('modest-key')],
      } as (typeof fleet.resources)[number];
      const file = operator.writeDocument(fleet, 'modest', [modest]);
      await operator.runCommand(fleet, ['publish', file, '--wait']);
      await timers.setTimeout(2 * MS_PER_SECOND);
      const capacity = (fleet.hosts.length * slots * MS_PER_SECOND) / serviceMs;
      const path = `/${fleet.topology.services[0]}/items/1`;
      const runMs = 8 * MS_PER_SECOND;
      const common = { path, runMs, hosts: fleet.hosts, timeoutMs: 3_000 };
      const [greedy, calm] = await Promise.all([
        runFlow({ ...common, key: setup.API_KEY, callsPerSecond: capacity * 5 }),
        runFlow({ ...common, key: 'modest-key', callsPerSecond: capacity * 0.2 }),
      ]);
      const goodput = (greedy.admitted + calm.admitted) / (capacity * greedy.seconds);
      const calmShare = calm.admitted / calm.sent;
      const sorted = calm.latencies.sort((left, right) => left - right);
      return {
        held: goodput >= 0.9 && calmShare >= 0.95,
        faults: greedy.refused + greedy.other,
        figures: {
          capacityPerSecond: capacity,
          goodputOverCapacity: Number(goodput.toFixed(3)),
          modestAnswered: Number(calmShare.toFixed(3)),
          modestP50Ms: sorted[Math.floor(sorted.length / 2)] ?? 0,
          greedy: { ...greedy, latencies: undefined },
          modest: { ...calm, latencies: undefined },
        },
      };
    } finally {
      await fleet.stop();
    }
  },
};
