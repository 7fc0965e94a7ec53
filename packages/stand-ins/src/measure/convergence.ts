/**
 * Measures the time from the append of a change until every proxy has applied it, and the control
 * traffic, CPU time and memory of each proxy, for fleets of several sizes. The baseline is computed
 * for a fleet in which every proxy polls the log once a second.
 */
import * as timers from 'node:timers/promises';
import * as setup from '../scenarios/setup.js';
import type * as types from './types.js';

const HOSTS_PER_DATA_CENTRE = [1, 2, 4, 8];
const CHANGE_COUNT = 30;
const IDLE_MS = 8_000;
const MS_PER_SECOND = 1_000;
const DATA_CENTRE_COUNT = 6;
const POLL_INTERVAL_MS = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;

interface Sample {
  statuses: setup.ProxyStatus[];
  logCounts: { appends: number; reads: number; readBytes: number };
  linkBytes: Record<string, number>;
  takenAt: number;
}

function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

function computePercentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

async function takeSample(fleet: setup.ScenarioFleet): Promise<Sample> {
  const [statuses, logCounts, linkCounts] = await Promise.all([
    setup.readStatuses(fleet, fleet.hosts),
    fleet.readLogCounts(),
    fleet.readLinkCounts(),
  ]);
  return {
    statuses,
    logCounts,
    linkBytes: linkCounts.bytes,
    takenAt: performance.now(),
  };
}

function sumBytes(sample: Sample, isCounted: (pair: string) => boolean): number {
  return Object.entries(sample.linkBytes)
    .filter(([pair]) => isCounted(pair))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}

function isBetweenRegions(pair: string): boolean {
  const [left = '', right = ''] = pair.split('|');
  return left.split('-')[0] !== right.split('-')[0];
}

function sumControlBytes(sample: Sample): number {
  return sample.statuses.reduce(
    (sum, { controlBytes }) => sum + controlBytes.sent + controlBytes.received,
    0,
  );
}

function sumCpuMs(sample: Sample): number {
  return sample.statuses.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
}

/** Appends a change and returns the milliseconds until the last proxy logs `config-applied`. */
async function measureChange(fleet: setup.ScenarioFleet, weight: number): Promise<number> {
  const [host] = fleet.hosts;
  if (!host) throw new Error('the fleet has no hosts');
  const state = (await fleet.request(host, 'config.get')) as {
    resources: Record<string, { revision: number }>;
  };
  const revision = state.resources['contract/customer-1']?.revision ?? 0;
  const { offset } = await setup.appendChange(fleet, weight, revision);
  const acceptedAt = Date.now();
  const pattern = new RegExp(`event=config-applied .*version=${offset} `);
  const appliedAt = await Promise.all(
    fleet.hosts.map(async ({ proxy }) => {
      const line = (await proxy?.waitForLine(pattern, 10_000)) ?? '';
      return Date.parse(/time=(\S+)/.exec(line)?.[1] ?? '');
    }),
  );
  return Math.max(0, Math.max(...appliedAt) - acceptedAt);
}

async function measureSize(
  hostsPerDataCentre: number,
  print: (text: string) => void,
): Promise<types.Row> {
  const context = { seed: 1, random: Math.random, print };
  const fleet = await setup.setUpFleet(context, {
    hostsPerDataCentre,
    hasTargets: false,
  });
  try {
    await timers.setTimeout(3 * MS_PER_SECOND);
    const proxyCount = fleet.hosts.length;
    const idleStart = await takeSample(fleet);
    await timers.setTimeout(IDLE_MS);
    const idleEnd = await takeSample(fleet);
    const idleSeconds = (idleEnd.takenAt - idleStart.takenAt) / MS_PER_SECOND;
    const timesMs: number[] = [];
    for (let index = 0; index < CHANGE_COUNT; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- changes are measured one at a time
      timesMs.push(await measureChange(fleet, index + 2));
    }
    const changesEnd = await takeSample(fleet);
    const changeSeconds = (changesEnd.takenAt - idleEnd.takenAt) / MS_PER_SECOND;
    const computeRatePerProxy = (bytes: number) => round(bytes / proxyCount / idleSeconds, 0);
    const idleRegionBytesPerSecond =
      (sumBytes(idleEnd, isBetweenRegions) - sumBytes(idleStart, isBetweenRegions)) / idleSeconds;
    const changeRegionBytes =
      sumBytes(changesEnd, isBetweenRegions) -
      sumBytes(idleEnd, isBetweenRegions) -
      idleRegionBytesPerSecond * changeSeconds;
    return {
      nodes: proxyCount,
      'median ms': computePercentile(timesMs, 0.5),
      'p99 ms': computePercentile(timesMs, 0.99),
      'worst ms': Math.max(...timesMs),
      'idle B/s node': computeRatePerProxy(sumControlBytes(idleEnd) - sumControlBytes(idleStart)),
      'regions B/s idle': round(idleRegionBytesPerSecond, 0),
      'regions B/change': round(changeRegionBytes / CHANGE_COUNT, 0),
      'idle CPU %': round(
        (sumCpuMs(idleEnd) - sumCpuMs(idleStart)) / proxyCount / idleSeconds / 10,
      ),
      'RSS MB': round(
        Math.max(...idleEnd.statuses.map(({ memoryBytes }) => memoryBytes)) / BYTES_PER_MEGABYTE,
        0,
      ),
      'log reads/s': round((idleEnd.logCounts.reads - idleStart.logCounts.reads) / idleSeconds),
      'polling reads/s': round(proxyCount / (POLL_INTERVAL_MS / MS_PER_SECOND)),
      'log reads/change': round(
        (changesEnd.logCounts.reads - idleEnd.logCounts.reads) / CHANGE_COUNT,
        1,
      ),
    };
  } finally {
    await fleet.stop();
  }
}

/** Convergence time and control-plane cost of fleets of 6, 12, 24 and 48 proxies. */
export const convergence: types.Measurement = {
  description: 'time until a change is in force everywhere, and control-plane cost, by fleet size',
  async run(print) {
    const rows: types.Row[] = [];
    for (const size of HOSTS_PER_DATA_CENTRE) {
      print(`measuring ${size * DATA_CENTRE_COUNT} proxies`);
      // eslint-disable-next-line no-await-in-loop -- sizes are measured one at a time
      rows.push(await measureSize(size, print));
    }
    return { rows, figures: { changes: CHANGE_COUNT, idleMs: IDLE_MS } };
  },
};
