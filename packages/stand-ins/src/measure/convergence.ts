/**
 * Measures how long an accepted change takes to be in force everywhere, and what control costs
 * each node, at growing sizes; the baseline is a fleet in which every proxy polls the log.
 */
import * as timers from 'node:timers/promises';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const SIZES = [1, 2, 4, 8];
const CHANGES = 30;
const IDLE_MS = 8_000;
const MS_PER_SECOND = 1_000;
const DATA_CENTRES = 6;
const POLL_INTERVAL_MS = 1_000;
const MEGABYTE = 1_000_000;

interface Sample {
  status: setup.Status[];
  log: { appends: number; reads: number; readBytes: number };
  links: Record<string, number>;
  at: number;
}

function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

function computePercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

async function takeSample(fleet: setup.ScenarioFleet): Promise<Sample> {
  const [status, log, links] = await Promise.all([
    setup.readStatuses(fleet, fleet.hosts),
    fleet.readLogCounts(),
    fleet.readLinkCounts(),
  ]);
  return { status, log, links: links.bytes, at: performance.now() };
}

function sumBytes(sample: Sample, isCounted: (pair: string) => boolean): number {
  return Object.entries(sample.links)
    .filter(([pair]) => isCounted(pair))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}

function isBetweenRegions(pair: string): boolean {
  const [left = '', right = ''] = pair.split('|');
  return left.split('-')[0] !== right.split('-')[0];
}

function sumControl(sample: Sample): number {
  return sample.status.reduce(
    (sum, { controlBytes }) => sum + controlBytes.sent + controlBytes.received,
    0,
  );
}

function sumCpu(sample: Sample): number {
  return sample.status.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
}

/** Times from an append to the line by which each proxy says that it applied the version. */
async function measureChange(fleet: setup.ScenarioFleet, number: number): Promise<number> {
  const [host] = fleet.hosts;
  if (!host) throw new Error('no host');
  const state = (await fleet.request(host, 'config.get')) as {
    resources: Record<string, { revision: number }>;
  };
  const revision = state.resources['contract/customer-1']?.revision ?? 0;
  const { offset } = await setup.appendChange(fleet, number, revision);
  const acceptedAt = Date.now();
  const pattern = new RegExp(`event=config-applied .*version=${offset} `);
  const times = await Promise.all(
    fleet.hosts.map(async ({ proxy }) => {
      const line = (await proxy?.waitForLine(pattern, 10_000)) ?? '';
      return Date.parse(/time=(\S+)/.exec(line)?.[1] ?? '');
    }),
  );
  return Math.max(0, Math.max(...times) - acceptedAt);
}

async function measureSize(perDataCentre: number, say: (text: string) => void): Promise<types.Row> {
  const context = { seed: 1, random: Math.random, say };
  const fleet = await setup.setUpFleet(context, {
    hostsPerDataCentre: perDataCentre,
    hasTargets: false,
  });
  try {
    await timers.setTimeout(3 * MS_PER_SECOND);
    const nodes = fleet.hosts.length;
    const idleFrom = await takeSample(fleet);
    await timers.setTimeout(IDLE_MS);
    const idleTo = await takeSample(fleet);
    const seconds = (idleTo.at - idleFrom.at) / MS_PER_SECOND;
    const times: number[] = [];
    for (let number = 0; number < CHANGES; number += 1) {
      // eslint-disable-next-line no-await-in-loop -- one change after the other
      times.push(await measureChange(fleet, number + 2));
    }
    const changesTo = await takeSample(fleet);
    const changeSeconds = (changesTo.at - idleTo.at) / MS_PER_SECOND;
    const perNodeSecond = (bytes: number) => round(bytes / nodes / seconds, 0);
    const idleRegionRate =
      (sumBytes(idleTo, isBetweenRegions) - sumBytes(idleFrom, isBetweenRegions)) / seconds;
    const regionBytes =
      sumBytes(changesTo, isBetweenRegions) -
      sumBytes(idleTo, isBetweenRegions) -
      idleRegionRate * changeSeconds;
    return {
      nodes,
      'median ms': computePercentile(times, 0.5),
      'p99 ms': computePercentile(times, 0.99),
      'worst ms': Math.max(...times),
      'idle B/s node': perNodeSecond(sumControl(idleTo) - sumControl(idleFrom)),
      'regions B/s idle': round(idleRegionRate, 0),
      'regions B/change': round(regionBytes / CHANGES, 0),
      'idle CPU %': round((sumCpu(idleTo) - sumCpu(idleFrom)) / nodes / seconds / 10),
      'RSS MB': round(
        Math.max(...idleTo.status.map(({ memoryBytes }) => memoryBytes)) / MEGABYTE,
        0,
      ),
      'log reads/s': round((idleTo.log.reads - idleFrom.log.reads) / seconds),
      'polling reads/s': round(nodes / (POLL_INTERVAL_MS / MS_PER_SECOND)),
      'log reads/change': round((changesTo.log.reads - idleTo.log.reads) / CHANGES, 1),
    };
  } finally {
    await fleet.stop();
  }
}

/** Convergence time and control cost at 6, 12, 24 and 48 proxies. */
export const convergence: types.Measurement = {
  description: 'time to be in force everywhere, control bytes, CPU, memory and log reads by size',
  async run(say) {
    const rows: types.Row[] = [];
    for (const size of SIZES) {
      say(`measuring ${size * DATA_CENTRES} proxies`);
      // eslint-disable-next-line no-await-in-loop -- measured alone
      rows.push(await measureSize(size, say));
    }
    return { rows, figures: { changes: CHANGES, idleMs: IDLE_MS } };
  },
};
