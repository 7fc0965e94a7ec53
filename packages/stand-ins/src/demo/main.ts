/** Demo: starts a fleet, publishes a configuration, and amends it and stops a proxy under load. */
import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import * as callers from '../harness/caller.js';
import * as fleets from '../harness/fleet.js';
import * as operator from '../harness/operator.js';
import * as topologies from '../harness/topology.js';

const API_KEY = 'demo-key-of-the-customer';
const CALL_COUNT = 300;
const CALL_INTERVAL_MS = 5;
const AMENDED_WEIGHT = 2;

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const topology = topologies.loadTopology('trust');
const dataCentres = topology.dataCentres.filter(({ region }) => region === 'khomas');
print(
  'Starting the platform log, two data centres with two proxies each, and a target beside each.',
);
const fleet = await fleets.startFleet({
  topology: { ...topology, dataCentres, services: ['catalogue'] },
  hostsPerDataCentre: 2,
  hasLinks: false,
  hasTargets: true,
});
fleet.hosts.forEach((host) =>
  print(`  ${host.id}: callers at ${host.address}:${host.callerPort}, target of ${host.service}`),
);

const caller = callers.createCaller();
let answered = 0;
let failed = 0;
const versions = new Set<number>();

async function makeCalls(count: number): Promise<void> {
  const calls = Array.from({ length: count }, async (_, index) => {
    await timers.setTimeout(index * CALL_INTERVAL_MS);
    const host = fleet.hosts[index % fleet.hosts.length] as fleets.FleetHost;
    const isOrder = index % 10 === 0;
    const response = await caller.call({
      address: host.address,
      port: host.callerPort,
      path: `/catalogue/garments/${index}`,
      apiKey: API_KEY,
      ...(isOrder ? { method: 'POST', body: '{"garment":7}', orderKey: uuid.v7() } : {}),
    });
    if (response.status === 200) answered += 1;
    else {
      failed += 1;
      print(`  call ${index} failed: ${response.status} ${response.body}`);
    }
    versions.add(response.version);
  });
  await Promise.all(calls);
}

async function runDemo(): Promise<boolean> {
  print('\nPublishing a contract, a service and a route:');
  const resources = operator.createResources(fleet, { apiKey: API_KEY, ratePerSecond: 5_000 });
  const document = operator.writeDocument(fleet, 'trust', resources);
  const printIndented = (line: string): void => print(`  ${line}`);
  const publishResult = await operator.runCommand(
    fleet,
    ['publish', document, '--wait'],
    printIndented,
  );
  const host = fleet.hosts[0] as fleets.FleetHost;
  const callDefaults = { address: host.address, port: host.callerPort, path: '/catalogue/1' };

  print('\nCalls without a key, and to a path outside the contract:');
  const unauthenticated = await caller.call({ ...callDefaults, apiKey: '' });
  print(`  ${unauthenticated.status} ${unauthenticated.body}`);
  const outsideContract = await caller.call({
    ...callDefaults,
    path: '/elsewhere',
    apiKey: API_KEY,
  });
  print(`  ${outsideContract.status} ${outsideContract.body}`);

  print(`\nMaking ${CALL_COUNT} calls through all proxies; one in ten is an order.`);
  await makeCalls(CALL_COUNT);
  print(`  ${answered} answered, ${failed} failed`);

  print('\nAmending the contract under load:');
  const contract = resources.find(({ kind }) => kind === 'contract');
  const amendedDocument = operator.writeDocument(
    fleet,
    'amended',
    contract ? [{ ...contract, weight: AMENDED_WEIGHT } as typeof contract] : [],
  );
  const amendArguments = ['amend', amendedDocument, '--base', 'current', '--wait', '--json'];
  const startedAt = Date.now();
  const [amendment] = await Promise.all([
    operator.runCommand(fleet, amendArguments),
    makeCalls(CALL_COUNT / 3),
  ]);
  const version = Number(/"version":(\d+)/.exec(amendment.lines.join(''))?.[1]);
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
  print(`  version ${version} in force on every proxy, ${convergenceMs} ms after the first`);
  print(`  (the command took ${Date.now() - startedAt} ms)`);

  print('\nStopping one proxy gracefully under load:');
  const stoppingHost = fleet.hosts.at(-1) as fleets.FleetHost;
  stoppingHost.proxy?.sendSignal('SIGTERM');
  await timers.setTimeout(200);
  const failedBefore = failed;
  const remainingHosts = fleet.hosts.filter((other) => other !== stoppingHost);
  await Promise.all(
    Array.from({ length: 100 }, async (_, index) => {
      await timers.setTimeout(index * CALL_INTERVAL_MS * 2);
      const proxyHost = remainingHosts[index % remainingHosts.length] as fleets.FleetHost;
      const response = await caller.call({
        address: proxyHost.address,
        port: proxyHost.callerPort,
        path: `/catalogue/garments/${index}`,
        apiKey: API_KEY,
      });
      if (response.status === 200) answered += 1;
      else failed += 1;
    }),
  );
  const exitCode = await stoppingHost.proxy?.exited;
  print(
    `  ${stoppingHost.id} ended with exit code ${exitCode}; ${failed - failedBefore} calls failed in the meantime`,
  );

  const hasPassed =
    publishResult.exitCode === 0 &&
    amendment.exitCode === 0 &&
    failed === 0 &&
    exitCode === '0' &&
    unauthenticated.status === 401 &&
    outsideContract.status === 404;
  print(JSON.stringify({ answered, failed, convergenceMs, version }));
  return hasPassed;
}

let hasPassed = false;
try {
  hasPassed = await runDemo();
} finally {
  await caller.close();
  await fleet.stop();
}
process.exit(hasPassed ? 0 : 1);
