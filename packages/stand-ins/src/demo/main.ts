/** The demo: a fleet from nothing, a publish, calls, an amendment, and a graceful stop. */
import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import * as callerModule from '../harness/caller.js';
import * as fleetModule from '../harness/fleet.js';
import * as operator from '../harness/operator.js';
import * as topologyModule from '../harness/topology.js';

const API_KEY = 'demo-key-of-the-customer';
const CALLS = 300;
const PARALLEL_STEP_MS = 5;
const AMENDED_WEIGHT = 2;

const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const trust = topologyModule.loadTopology('trust');
const dataCentres = trust.dataCentres.filter(({ region }) => region === 'khomas');
say('Starting the platform log, two data centres with two proxies each, and a target behind each.');
const fleet = await fleetModule.startFleet({
  topology: { ...trust, dataCentres, services: ['catalogue'] },
  hostsPerDataCentre: 2,
  hasLinks: false,
  hasTargets: true,
});
fleet.hosts.forEach((host) =>
  say(`  ${host.id}: callers at ${host.address}:${host.callerPort}, target of ${host.service}`),
);

const caller = callerModule.createCaller();
let answered = 0;
let failed = 0;
const versions = new Set<number>();

async function callAll(count: number): Promise<void> {
  const calls = Array.from({ length: count }, async (_, index) => {
    await timers.setTimeout(index * PARALLEL_STEP_MS);
    const host = fleet.hosts[index % fleet.hosts.length] as fleetModule.FleetHost;
    const isOrder = index % 10 === 0;
    const answer = await caller.call({
      address: host.address,
      port: host.callerPort,
      path: `/catalogue/garments/${index}`,
      key: API_KEY,
      ...(isOrder ? { method: 'POST', body: '{"garment":7}', orderKey: uuid.v7() } : {}),
    });
    if (answer.status === 200) answered += 1;
    else {
      failed += 1;
      say(`  call ${index} failed: ${answer.status} ${answer.body}`);
    }
    versions.add(answer.version);
  });
  await Promise.all(calls);
}

async function runDemo(): Promise<boolean> {
  say('\nPublishing a contract, a service and a route:');
  const resources = operator.createResources(fleet, { key: API_KEY, ratePerSecond: 5_000 });
  const document = operator.writeDocument(fleet, 'trust', resources);
  const print = (line: string): void => say(`  ${line}`);
  const published = await operator.runCommand(fleet, ['publish', document, '--wait'], print);
  const host = fleet.hosts[0] as fleetModule.FleetHost;
  const target = { address: host.address, port: host.callerPort, path: '/catalogue/1' };

  say('\nA caller without a key, and one for a path outside its contract:');
  const stranger = await caller.call({ ...target, key: '' });
  say(`  ${stranger.status} ${stranger.body}`);
  const outside = await caller.call({ ...target, path: '/elsewhere', key: API_KEY });
  say(`  ${outside.status} ${outside.body}`);

  say(`\nMaking ${CALLS} calls through all proxies, one in ten an order.`);
  await callAll(CALLS);
  say(`  ${answered} answered, ${failed} failed`);

  say('\nAmending the contract while calls go on:');
  const contract = resources.find(({ kind }) => kind === 'contract');
  const amended = operator.writeDocument(
    fleet,
    'amended',
    contract ? [{ ...contract, weight: AMENDED_WEIGHT } as typeof contract] : [],
  );
  const amendArguments = ['amend', amended, '--base', 'current', '--wait', '--json'];
  const acceptedAt = Date.now();
  const [result] = await Promise.all([
    operator.runCommand(fleet, amendArguments),
    callAll(CALLS / 3),
  ]);
  const version = Number(/"version":(\d+)/.exec(result.lines.join(''))?.[1]);
  const appliedAt = await Promise.all(
    fleet.hosts.map(async ({ proxy }) => {
      const line = await proxy?.waitForLine(
        new RegExp(`event=config-applied .*version=${version}\\b`),
        10_000,
      );
      return Date.parse(/time=(\S+)/.exec(line ?? '')?.[1] ?? '');
    }),
  );
  const convergenceMs = Math.max(...appliedAt) - Math.min(...appliedAt);
  say(`  version ${version} in force on every proxy, ${convergenceMs} ms after the first`);
  say(`  (the whole command took ${Date.now() - acceptedAt} ms)`);

  say('\nStopping one proxy gracefully while calls go on:');
  const last = fleet.hosts.at(-1) as fleetModule.FleetHost;
  last.proxy?.signal('SIGTERM');
  await timers.setTimeout(200);
  const before = failed;
  const others = fleet.hosts.filter((item) => item !== last);
  await Promise.all(
    Array.from({ length: 100 }, async (_, index) => {
      await timers.setTimeout(index * PARALLEL_STEP_MS * 2);
      const via = others[index % others.length] as fleetModule.FleetHost;
      const answer = await caller.call({
        address: via.address,
        port: via.callerPort,
        path: `/catalogue/garments/${index}`,
        key: API_KEY,
      });
      if (answer.status === 200) answered += 1;
      else failed += 1;
    }),
  );
  const exit = await last.proxy?.exited;
  say(`  ${last.id} ended with exit code ${exit}; ${failed - before} calls failed meanwhile`);

  const hasHeld =
    published.exitCode === 0 &&
    result.exitCode === 0 &&
    failed === 0 &&
    exit === '0' &&
    stranger.status === 401 &&
    outside.status === 404;
  say(JSON.stringify({ answered, failed, convergenceMs, version }));
  return hasHeld;
}

let hasHeld = false;
try {
  hasHeld = await runDemo();
} finally {
  await caller.close();
  await fleet.stop();
}
process.exit(hasHeld ? 0 : 1);
