/** The soak of the route mesh: `npm run soak:mesh -- --minutes M --seed N`. */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as citty from 'citty';
import * as runtime from '@figshed/runtime';
import * as meshCaller from '../mesh/mesh-caller.js';
import * as meshConfig from '../mesh/mesh-config.js';
import * as meshFleet from '../mesh/mesh-fleet.js';
import * as meshTarget from '../mesh/mesh-target.js';
import * as checks from './checks.js';
import * as faultLink from './fault-link.js';
import * as faultsModule from './faults.js';

const MS_PER_MINUTE = 60_000;
/** Faults that are under way at once at most. */
const MAX_OVERLAP = 3;
const MIN_FAULT_MS = 500;
const FAULT_RANGE_MS = 2_500;
const CALL_GAP_MS = 12;
const ORDER_SHARE = 0.3;
const KEEP_ALIVE_SHARE = 0.7;
/** The aim for service after the last fault. */
const RECOVERY_MS = 3_000;
/** Longest time for a version to come into force once nothing is wrong; the platform's bound. */
const APPLY_MS = 2_000;
const RECOVERY_CALLS = 100;
const MIN_RECOVERED = 0.95;
const HTTP_OK = 200;
/** Ports of the targets lie behind the links at this distance. */
const TARGET_PORT_SHIFT = 50;
/** Soaks of different seeds run side by side in networks of their own. */
const FIRST_NETWORK = 100;
const NETWORKS = 100;
/** Pause between two questions for the version that a process holds. */
const VERSION_PROBE_GAP_MS = 50;
/** Versions behind the newest that are asked for. */
const VERSIONS_PROBED = 3;

const hostPlans: meshFleet.HostPlan[] = [
  { service: 'catalogue', dataCentre: 'a', region: 'r' },
  { service: 'catalogue', dataCentre: 'b', region: 'r' },
  { service: 'catalogue', dataCentre: 'c', region: 's' },
  { service: 'bookings', dataCentre: 'a', region: 'r' },
  { service: 'bookings', dataCentre: 'b', region: 'r' },
  { service: 'bookings', dataCentre: 'c', region: 's' },
];

interface SoakResult {
  breaches: checks.Breach[];
  calls: number;
  served: number;
  taken: Map<string, number>;
  /** Answers that told which version a process holds. */
  versions: number;
}

function writeReport(
  directory: string,
  lines: readonly string[],
  fleet: meshFleet.MeshFleet,
): void {
  fs.mkdirSync(directory, { recursive: true });
  fs.writeFileSync(path.join(directory, 'timeline.log'), `${lines.join('\n')}\n`);
  fleet.hosts.forEach((host) =>
    fs.writeFileSync(path.join(directory, `${host.name}.log`), `${host.lines.join('\n')}\n`),
  );
}

interface SoakOptions {
  minutes: number;
  seed: number;
  /** Where a failed run is written. */
  directory: string;
  /** Program of the processes; the built bundle when left out. */
  program: string | undefined;
}

async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { minutes, seed, directory, program } = options;
  const random = runtime.createRandom(seed);
  const startedAt = Date.now();
  const timeline: string[] = [];
  const note = (text: string): void => {
    timeline.push(`${new Date().toISOString()} +${Date.now() - startedAt} ${text}`);
  };
  const fleet = await meshFleet.startMeshFleet({
    network: FIRST_NETWORK + (seed % NETWORKS),
    hosts: hostPlans,
    ...(program === undefined ? {} : { program }),
    slots: 4,
    random,
    targetPortOffset: TARGET_PORT_SHIFT,
  });
  const links = new Map<string, faultLink.FaultLink>();
  const formerTargets: meshTarget.MeshTarget[] = [];
  const leavings: checks.Leaving[] = [];
  const calls: checks.SentCall[] = [];
  const seen: checks.SeenVersion[] = [];
  const taken = new Map<string, number>();
  const agent = new http.Agent({ keepAlive: true, maxFreeSockets: 16 });
  let version = 1;
  let nextTarget = hostPlans.length;
  let isOver = false;

  const publishNext = (): void => {
    version += 1;
    const extraPrefixes = [`/v${version}/`];
    fleet.publish(meshConfig.createMeshConfig({ version, extraPrefixes }));
  };

  const publishOlder = (): void => {
    const older = Math.max(1, version - 1);
    const extraPrefixes = [`/v${older}/`];
    fleet.publish(meshConfig.createMeshConfig({ version: older, extraPrefixes }));
  };

  const replaceTarget = async (host: meshFleet.MeshHost): Promise<void> => {
    nextTarget += 1;
    host.target = await meshTarget.startMeshTarget({
      id: `t-${nextTarget}`,
      service: host.service,
      address: host.address,
      port: host.ports.target + TARGET_PORT_SHIFT,
      announcedPort: host.ports.target,
      slots: 4,
      announcements: { address: host.address, port: host.ports.announcements },
      random,
    });
    host.target.startHeartbeats();
  };

  const send = async (host: meshFleet.MeshHost, isOrder: boolean): Promise<checks.SentCall> => {
    const callId = `c${calls.length}-${Math.floor(random() * 1e9)}`;
    const body = isOrder ? `order ${callId}` : '';
    const call: checks.SentCall = {
      callId,
      path: `${isOrder ? '/order/' : '/read/'}${callId}`,
      body,
      isOrder,
      host: host.name,
      at: Date.now(),
      result: {
        status: 0,
        body: '',
        callId: undefined,
        signature: undefined,
        retryAfterMs: 0,
        tookMs: 0,
      },
    };
    calls.push(call);
    call.result = await meshCaller.sendCall({
      address: host.address,
      port: host.ports.callers,
      path: call.path,
      callId,
      method: isOrder ? 'POST' : 'GET',
      ...(isOrder ? { body } : {}),
      ...(random() < KEEP_ALIVE_SHARE ? { agent } : {}),
    });
    return call;
  };

  const pickHost = (): meshFleet.MeshHost =>
    fleet.hosts[Math.floor(random() * fleet.hosts.length)] as meshFleet.MeshHost;

  const callAlways = async (): Promise<void> => {
    const open = new Set<Promise<unknown>>();
    while (!isOver) {
      const call = send(pickHost(), random() < ORDER_SHARE);
      open.add(call);
      call.finally(() => open.delete(call)).catch(() => undefined);
      // eslint-disable-next-line no-await-in-loop -- a steady rate
      await timers.setTimeout(CALL_GAP_MS);
    }
    await Promise.all(open);
  };

  const probe = async (host: meshFleet.MeshHost, probed: number): Promise<void> => {
    const callId = `probe-${seen.length}-${probed}`;
    const life = host.child?.pid ?? 0;
    const { status } = await meshCaller.sendCall({
      address: host.address,
      port: host.ports.callers,
      path: `/v${probed}/`,
      callId,
    });
    if (status === HTTP_OK && host.child?.pid === life) {
      seen.push({ host: host.name, life, version: probed, callId });
    }
  };

  /** Asks one host after the other which versions it serves, each host one question at a time. */
  const probeVersions = async (host: meshFleet.MeshHost): Promise<void> => {
    while (!isOver) {
      const newest = version;
      for (let probed = Math.max(1, newest - VERSIONS_PROBED); probed <= newest; probed += 1) {
        // eslint-disable-next-line no-await-in-loop -- the order of the answers counts
        await probe(host, probed);
      }
      // eslint-disable-next-line no-await-in-loop -- a steady rate
      await timers.setTimeout(VERSION_PROBE_GAP_MS);
    }
  };

  const world: faultsModule.SoakWorld = {
    fleet,
    links,
    random,
    leavings,
    formerTargets,
    replaceTarget,
    publishNext,
    publishOlder,
  };

  const injectSeries = async (until: number): Promise<void> => {
    const names = Object.keys(faultsModule.faults);
    while (Date.now() < until) {
      const name = names[Math.floor(random() * names.length)] as string;
      const durationMs = MIN_FAULT_MS + random() * FAULT_RANGE_MS;
      note(`fault ${name} for ${Math.round(durationMs)} ms`);
      // eslint-disable-next-line no-await-in-loop -- faults of one series follow one another
      const tookPlace = await faultsModule.faults[name]?.(world, durationMs);
      if (tookPlace) taken.set(name, (taken.get(name) ?? 0) + 1);
      note(`end ${name}${tookPlace ? '' : ' (did not take place)'}`);
    }
  };

  const checkRecovery = async (): Promise<checks.Breach[]> => {
    await timers.setTimeout(RECOVERY_MS);
    const breaches: checks.Breach[] = [];
    const results = await Promise.all(
      Array.from({ length: RECOVERY_CALLS }, async (_, index) => {
        await timers.setTimeout(index * CALL_GAP_MS);
        return send(pickHost(), false);
      }),
    );
    const served = results.filter(({ result }) => result.status === HTTP_OK).length;
    note(`recovery ${served} of ${RECOVERY_CALLS}`);
    if (served < RECOVERY_CALLS * MIN_RECOVERED) {
      breaches.push({ promise: 'recovery', callId: '', detail: `${served} of ${RECOVERY_CALLS}` });
    }
    publishNext();
    await timers.setTimeout(APPLY_MS);
    const prefix = `/v${version}/`;
    const probes = await Promise.all(
      fleet.hosts.map(async (host) => {
        const callId = `probe-${host.name}`;
        const { address, ports } = host;
        const { status } = await meshCaller.sendCall({
          address,
          port: ports.callers,
          path: prefix,
          callId,
        });
        return { host, callId, status };
      }),
    );
    probes
      .filter(({ status }) => status !== HTTP_OK)
      .forEach(({ host, callId, status }) =>
        breaches.push({
          promise: 'configuration',
          callId,
          detail: `${host.name} answered ${status}`,
        }),
      );
    return breaches;
  };

  try {
    await Promise.all(
      fleet.hosts.map(async ({ name, address, ports }) => {
        const from = { address, port: ports.target };
        const to = { address, port: ports.target + TARGET_PORT_SHIFT };
        links.set(name, await faultLink.startFaultLink(from, to));
      }),
    );
    fleet.publish(meshConfig.createMeshConfig({ version }));
    await fleet.waitUntilReady();
    note(`ready seed=${seed}`);
    const load = Promise.all([callAlways(), ...fleet.hosts.map(probeVersions)]);
    const until = Date.now() + minutes * MS_PER_MINUTE;
    await Promise.all(Array.from({ length: MAX_OVERLAP }, () => injectSeries(until)));
    const recovery = await checkRecovery();
    isOver = true;
    await load;
    const targets = [...formerTargets, ...fleet.hosts.map(({ target }) => target)];
    const runs = targets
      .flatMap((target) => target.runs)
      .filter(({ callId }) => !callId.startsWith('probe-'));
    const breaches = [
      ...checks.checkCalls(calls, runs, leavings),
      ...checks.checkVersions(seen),
      ...recovery,
    ];
    breaches.forEach(({ promise, callId, detail }) =>
      note(`breach promise=${promise} call=${callId} ${detail}`),
    );
    if (breaches.length > 0) writeReport(directory, timeline, fleet);
    const served = calls.filter(({ result }) => result.status === HTTP_OK).length;
    return { breaches, calls: calls.length, served, taken, versions: seen.length };
  } finally {
    isOver = true;
    agent.destroy();
    await Promise.all([...links.values()].map((link) => link.close()));
    await fleet.close();
  }
}

async function runSeed(options: SoakOptions): Promise<boolean> {
  const { seed, directory } = options;
  const { breaches, calls, served, taken, versions } = await runSoak(options);
  const faults = [...taken].map(([name, count]) => `${name}=${count}`).join(' ');
  process.stdout.write(
    `seed ${seed}: ${calls} calls, ${served} served, ${versions} versions seen; faults: ${faults}\n`,
  );
  breaches.slice(0, 20).forEach(({ promise, callId, detail }) => {
    process.stdout.write(`broken ${promise}: call ${callId} ${detail}\n`);
  });
  const isHeld = breaches.length === 0 && taken.size > 0 && versions > 0;
  process.stdout.write(isHeld ? `seed ${seed} held\n` : `seed ${seed} failed, see ${directory}\n`);
  return isHeld;
}

/** Reads `4` or `1-50`. */
function readSeeds(text: string): number[] {
  const [first = 1, last = first] = text.split('-').map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

const main = citty.defineCommand({
  meta: { name: 'soak:mesh', description: 'Injects faults at random and checks every promise' },
  args: {
    minutes: { type: 'string', description: 'Length of the run of each seed', default: '1' },
    seed: {
      type: 'string',
      description: 'Seed of the faults, or a range such as 1-50',
      default: '1',
    },
    results: { type: 'string', description: 'Where a failed run is written', default: 'results' },
    program: { type: 'string', description: 'Program to run instead of the built bundle' },
  },
  async run({ args }) {
    const failed: number[] = [];
    for (const seed of readSeeds(args.seed)) {
      const directory = path.join(args.results, `mesh-soak-${seed}`);
      const options = { minutes: Number(args.minutes), seed, directory, program: args.program };
      // eslint-disable-next-line no-await-in-loop -- one seed after the other
      if (!(await runSeed(options))) failed.push(seed);
    }
    process.stdout.write(failed.length === 0 ? 'held\n' : `failed seeds: ${failed.join(' ')}\n`);
    // Timers of calls that were abandoned would keep the process for seconds.
    process.exit(failed.length === 0 ? 0 : 1);
  },
});

await citty.runMain(main);
