import * as timers from 'node:timers/promises';
import * as callers from '../harness/caller.js';
import * as fleets from '../harness/fleet.js';
import * as operator from '../harness/operator.js';
import * as setup from './setup.js';
import type * as types from './types.js';

const MS_PER_SECOND = 1_000;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;

export interface CustomerLoadResult {
  sent: number;
  admitted: number;
  refused: number;
  other: number;
  seconds: number;
  /** Latencies of the admitted calls. */
  latenciesMs: number[];
}

export interface CustomerLoadOptions {
  apiKey: string;
  path: string;
  callsPerSecond: number;
  runMs: number;
  hosts: readonly fleets.FleetHost[];
  timeoutMs?: number;
}

/**
 * Sends calls of one customer at a steady rate and counts their results.
 *
 * @example
 * const result = await runCustomerLoad({ apiKey, path, callsPerSecond: 100, runMs: 5_000, hosts });
 */
export async function runCustomerLoad(options: CustomerLoadOptions): Promise<CustomerLoadResult> {
  const caller = callers.createCaller();
  const result: CustomerLoadResult = {
    sent: 0,
    admitted: 0,
    refused: 0,
    other: 0,
    seconds: 0,
    latenciesMs: [],
  };
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  const send = async (host: fleets.FleetHost): Promise<void> => {
    const response = await caller.call({
      address: host.address,
      port: host.callerPort,
      path: options.path,
      apiKey: options.apiKey,
      timeoutMs: options.timeoutMs ?? 5_000,
    });
    if (response.status === HTTP_OK) {
      result.admitted += 1;
      result.latenciesMs.push(response.latencyMs);
    } else if (response.status === HTTP_TOO_MANY_REQUESTS) result.refused += 1;
    else result.other += 1;
  };
  while (performance.now() - startedAt < options.runMs) {
    const dueAt = startedAt + (result.sent * MS_PER_SECOND) / options.callsPerSecond;
    // eslint-disable-next-line no-await-in-loop -- paces the calls
    if (dueAt > performance.now()) await timers.setTimeout(dueAt - performance.now());
    pending.push(send(options.hosts[result.sent % options.hosts.length] as fleets.FleetHost));
    result.sent += 1;
  }
  await Promise.all(pending);
  result.seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  await caller.close();
  return result;
}

const RATE_PER_SECOND = 60;
const BURST_CALLS = 30;

/**
 * Sends calls at three times the rate limit: to all hosts, to a single one, during a partition and
 * after a proxy is killed.
 */
export const contractLimits: types.Scenario = {
  description:
    'the rate limit holds for the fleet while demand shifts, during a partition and after a kill',
  async run(context) {
    const fleet = await setup.setUpFleet(context, {
      dataCentres: [0, 2],
      contract: { ratePerSecond: RATE_PER_SECOND, burst: BURST_CALLS },
    });
    try {
      const path = `/${fleet.topology.services[0]}/items/1?ms=1`;
      const [first, second] = fleet.topology.dataCentres.map(({ name }) => name) as [
        string,
        string,
      ];
      const listHostsIn = (name: string) =>
        fleet.hosts.filter(({ dataCentre }) => dataCentre === name);
      const runPhase = (hosts: readonly fleets.FleetHost[], factor: number) =>
        runCustomerLoad({
          apiKey: setup.API_KEY,
          path,
          callsPerSecond: RATE_PER_SECOND * factor,
          runMs: 6 * MS_PER_SECOND,
          hosts,
        });
      await timers.setTimeout(2 * MS_PER_SECOND);
      const phases: Record<string, () => Promise<CustomerLoadResult>> = {
        steady: () => runPhase(fleet.hosts, 3),
        shifted: () => runPhase(listHostsIn(first).slice(0, 1), 3),
        cut: async () => {
          await fleet.setLinkFaults({ cuts: [[first, second]] });
          const result = await runPhase(fleet.hosts, 3);
          await fleet.setLinkFaults({ cuts: [] });
          return result;
        },
        killed: async () => {
          const [killedHost, ...others] = fleet.hosts as [fleets.FleetHost];
          killedHost.proxy?.sendSignal('SIGKILL');
          return runPhase(others, 3);
        },
      };
      const figures: Record<string, unknown> = {};
      const ratios: number[] = [];
      for (const [name, phase] of Object.entries(phases)) {
        // eslint-disable-next-line no-await-in-loop -- one phase after the other
        const result = await phase();
        // Tokens that accumulated before the phase may be taken in it, up to the burst.
        const ratio = result.admitted / (RATE_PER_SECOND * result.seconds + BURST_CALLS);
        ratios.push(ratio);
        figures[name] = {
          admitted: result.admitted,
          refused: result.refused,
          other: result.other,
          admittedOverAllowed: Number(ratio.toFixed(3)),
          usedOverRate: Number((result.admitted / (RATE_PER_SECOND * result.seconds)).toFixed(3)),
        };
        context.print(`${name}: ${JSON.stringify(figures[name])}`);
      }
      const shiftedUse = (figures.shifted as { usedOverRate: number }).usedOverRate;
      const held = ratios.every((ratio) => ratio <= 1) && shiftedUse >= 0.9;
      return { held, faults: 2, figures };
    } finally {
      await fleet.stop();
    }
  },
};

/** Overloads all targets with one customer's calls while another stays within its fair share. */
export const overload: types.Scenario = {
  description: 'goodput holds at five times the capacity, and a modest customer is still served',
  async run(context) {
    const slots = 4;
    const serviceMs = 50;
    const fleet = await setup.setUpFleet(context, {
      dataCentres: [0],
      target: { slots, serviceMs },
    });
    try {
      const contract = fleet.resources.find(({ kind }) => kind === 'contract');
      const modestContract = {
        ...contract,
        name: 'modest',
        keyDigests: [fleets.hashApiKey('modest-key')],
      } as (typeof fleet.resources)[number];
      const file = operator.writeDocument(fleet, 'modest', [modestContract]);
      await operator.runCommand(fleet, ['publish', file, '--wait']);
      await timers.setTimeout(2 * MS_PER_SECOND);
      const capacity = (fleet.hosts.length * slots * MS_PER_SECOND) / serviceMs;
      const path = `/${fleet.topology.services[0]}/items/1`;
      const runMs = 8 * MS_PER_SECOND;
      const commonOptions = { path, runMs, hosts: fleet.hosts, timeoutMs: 3_000 };
      const [greedy, modest] = await Promise.all([
        runCustomerLoad({ ...commonOptions, apiKey: setup.API_KEY, callsPerSecond: capacity * 5 }),
        runCustomerLoad({ ...commonOptions, apiKey: 'modest-key', callsPerSecond: capacity * 0.2 }),
      ]);
      const goodput = (greedy.admitted + modest.admitted) / (capacity * greedy.seconds);
      const modestShare = modest.admitted / modest.sent;
      const sorted = modest.latenciesMs.sort((left, right) => left - right);
      return {
        held: goodput >= 0.9 && modestShare >= 0.95,
        faults: greedy.refused + greedy.other,
        figures: {
          capacityPerSecond: capacity,
          goodputOverCapacity: Number(goodput.toFixed(3)),
          modestAnswered: Number(modestShare.toFixed(3)),
          modestP50Ms: sorted[Math.floor(sorted.length / 2)] ?? 0,
          greedy: { ...greedy, latenciesMs: undefined },
          modest: { ...modest, latenciesMs: undefined },
        },
      };
    } finally {
      await fleet.stop();
    }
  },
};
