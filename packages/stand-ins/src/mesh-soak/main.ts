/** Soak test of the route mesh: `npm run soak:mesh -- --minutes M --seed N`. */
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
import * as soakFaults from './faults.js';

const MS_PER_MINUTE = 60_000;
const MAX_CONCURRENT_FAULTS = 3;
const MIN_FAULT_DURATION_MS = 500;
const FAULT_DURATION_RANGE_MS = 2_500;
const CALL_INTERVAL_MS = 12;
const ORDER_SHARE = 0.3;
/** Share of the reads, which are GET requests, that have a body. */
const READ_BODY_SHARE = 0.2;
const KEEP_ALIVE_SHARE = 0.7;
/** Calls must succeed again this long after the last fault. */
const RECOVERY_DELAY_MS = 3_000;
/** The platform's limit for applying a new version when there are no faults. */
const APPLY_LIMIT_MS = 2_000;
const RECOVERY_CALLS = 100;
const MIN_RECOVERED_SHARE = 0.95;
const HTTP_OK = 200;
/** Offset of a target's own port from the port of the link in front of it. */
const TARGET_PORT_OFFSET = 50;
/** The seed selects the third octet of the hosts' addresses, so that soaks can run concurrently. */
const MIN_THIRD_OCTET = 100;
const THIRD_OCTET_COUNT = 100;
const VERSION_PROBE_INTERVAL_MS = 50;
/** Number of versions before the newest that are probed too. */
const PROBED_OLDER_VERSIONS = 3;

const hostOptions: meshFleet.MeshHostOptions[] = [
  { service: 'catalogue', dataCentre: 'a', region: 'r' },
  { service: 'catalogue', dataCentre: 'b', region: 'r' },
  { service: 'catalogue', dataCentre: 'c', region: 's' },
  { service: 'bookings', dataCentre: 'a', region: 'r' },
  { service: 'bookings', dataCentre: 'b', region: 'r' },
  { service: 'bookings', dataCentre: 'c', region: 's' },
];

interface SoakResult {
  violations: checks.Violation[];
  calls: number;
  served: number;
  injectedCounts: Map<string, number>;
  /** Number of probes that showed which version a process serves. */
  observedVersionCount: number;
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
  /** Directory for the timeline and logs of a failed run. */
  directory: string;
  /** Script that each mesh process runs; the built bundle when undefined. */
  program: string | undefined;
}

async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { minutes, seed, directory, program } = options;
  const random = runtime.createSeededRandom(seed);
  const startedAt = Date.now();
  const timeline: string[] = [];
  const recordEvent = (text: string): void => {
    timeline.push(`${new Date().toISOString()} +${Date.now() - startedAt} ${text}`);
  };
  const fleet = await meshFleet.startMeshFleet({
    thirdOctet: MIN_THIRD_OCTET + (seed % THIRD_OCTET_COUNT),
    hosts: hostOptions,
    ...(program === undefined ? {} : { program }),
    slots: 4,
    random,
    targetPortOffset: TARGET_PORT_OFFSET,
  });
  const links = new Map<string, faultLink.FaultLink>();
  const closedTargets: meshTarget.MeshTarget[] = [];
  const drainedTargets: checks.DrainedTarget[] = [];
  const limitedTargets: checks.LimitedTarget[] = [];
  const calls: checks.SentCall[] = [];
  const observed: checks.ObservedVersion[] = [];
  const injectedCounts = new Map<string, number>();
  const agent = new http.Agent({ keepAlive: true, maxFreeSockets: 16 });
  let version = 1;
  let targetNumber = hostOptions.length;
  let isFinished = false;

  const publishNextVersion = (): void => {
    version += 1;
    const extraPrefixes = [`/v${version}/`];
    fleet.publish(meshConfig.createMeshConfig({ version, extraPrefixes }));
  };

  const publishPreviousVersion = (): void => {
    const previous = Math.max(1, version - 1);
    const extraPrefixes = [`/v${previous}/`];
    fleet.publish(meshConfig.createMeshConfig({ version: previous, extraPrefixes }));
  };

  const replaceTarget = async (host: meshFleet.MeshHost): Promise<void> => {
    targetNumber += 1;
    host.target = await meshTarget.startMeshTarget({
      id: `t-${targetNumber}`,
      service: host.service,
      address: host.address,
      port: host.ports.target + TARGET_PORT_OFFSET,
      announcedPort: host.ports.target,
      slots: 4,
      announcements: { address: host.address, port: host.ports.announcements },
      random,
    });
    host.target.startHeartbeats();
  };

  const sendCall = async (host: meshFleet.MeshHost, isOrder: boolean): Promise<checks.SentCall> => {
    const callId = `c${calls.length}-${Math.floor(random() * 1e9)}`;
    const hasBody = isOrder || random() < READ_BODY_SHARE;
    const body = hasBody ? `body of ${callId}` : '';
    const call: checks.SentCall = {
      callId,
      path: `${isOrder ? '/order/' : '/read/'}${callId}`,
      body,
      isOrder,
      host: host.name,
      sentAt: Date.now(),
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
      ...(hasBody ? { body } : {}),
      ...(random() < KEEP_ALIVE_SHARE ? { agent } : {}),
    });
    return call;
  };

  const pickHost = (): meshFleet.MeshHost =>
    fleet.hosts[Math.floor(random() * fleet.hosts.length)] as meshFleet.MeshHost;

  const runLoad = async (): Promise<void> => {
    const pending = new Set<Promise<unknown>>();
    while (!isFinished) {
      const call = sendCall(pickHost(), random() < ORDER_SHARE);
      pending.add(call);
      call.finally(() => pending.delete(call)).catch(() => undefined);
      // eslint-disable-next-line no-await-in-loop -- a steady rate
      await timers.setTimeout(CALL_INTERVAL_MS);
    }
    await Promise.all(pending);
  };

  const probeVersion = async (
    host: meshFleet.MeshHost,
    requestedVersion: number,
  ): Promise<void> => {
    const callId = `probe-${observed.length}-${requestedVersion}`;
    const pid = host.child?.pid ?? 0;
    const { status } = await meshCaller.sendCall({
      address: host.address,
      port: host.ports.callers,
      path: `/v${requestedVersion}/`,
      callId,
    });
    if (status === HTTP_OK && host.child?.pid === pid) {
      observed.push({ host: host.name, pid, version: requestedVersion, callId });
    }
  };

  /** Probes the newest versions at a host one after the other until the soak is over. */
  const probeVersions = async (host: meshFleet.MeshHost): Promise<void> => {
    while (!isFinished) {
      const newest = version;
      for (
        let requestedVersion = Math.max(1, newest - PROBED_OLDER_VERSIONS);
        requestedVersion <= newest;
        requestedVersion += 1
      ) {
        // eslint-disable-next-line no-await-in-loop -- the check depends on the order of the responses
        await probeVersion(host, requestedVersion);
      }
      // eslint-disable-next-line no-await-in-loop -- a steady rate
      await timers.setTimeout(VERSION_PROBE_INTERVAL_MS);
    }
  };

  const context: soakFaults.SoakContext = {
    fleet,
    links,
    random,
    drainedTargets,
    limitedTargets,
    closedTargets,
    replaceTarget,
    publishNextVersion,
    publishPreviousVersion,
  };

  const injectFaults = async (deadline: number): Promise<void> => {
    const names = Object.keys(soakFaults.faults);
    while (Date.now() < deadline) {
      const name = names[Math.floor(random() * names.length)] as string;
      const durationMs = MIN_FAULT_DURATION_MS + random() * FAULT_DURATION_RANGE_MS;
      recordEvent(`fault ${name} for ${Math.round(durationMs)} ms`);
      // eslint-disable-next-line no-await-in-loop -- each series injects one fault at a time
      const isInjected = await soakFaults.faults[name]?.(context, durationMs);
      if (isInjected) injectedCounts.set(name, (injectedCounts.get(name) ?? 0) + 1);
      recordEvent(`end ${name}${isInjected ? '' : ' (did not take effect)'}`);
    }
  };

  const checkRecovery = async (): Promise<checks.Violation[]> => {
    await timers.setTimeout(RECOVERY_DELAY_MS);
    const violations: checks.Violation[] = [];
    const results = await Promise.all(
      Array.from({ length: RECOVERY_CALLS }, async (_, index) => {
        await timers.setTimeout(index * CALL_INTERVAL_MS);
        return sendCall(pickHost(), false);
      }),
    );
    const served = results.filter(({ result }) => result.status === HTTP_OK).length;
    recordEvent(`recovery ${served} of ${RECOVERY_CALLS}`);
    if (served < RECOVERY_CALLS * MIN_RECOVERED_SHARE) {
      violations.push({
        invariant: 'recovery',
        callId: '',
        detail: `${served} of ${RECOVERY_CALLS}`,
      });
    }
    publishNextVersion();
    await timers.setTimeout(APPLY_LIMIT_MS);
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
        violations.push({
          invariant: 'configuration',
          callId,
          detail: `${host.name} returned ${status}`,
        }),
      );
    return violations;
  };

  try {
    await Promise.all(
      fleet.hosts.map(async ({ name, address, ports }) => {
        const from = { address, port: ports.target };
        const to = { address, port: ports.target + TARGET_PORT_OFFSET };
        links.set(name, await faultLink.startFaultLink(from, to));
      }),
    );
    fleet.publish(meshConfig.createMeshConfig({ version }));
    await fleet.waitUntilReady();
    recordEvent(`ready seed=${seed}`);
    const load = Promise.all([runLoad(), ...fleet.hosts.map(probeVersions)]);
    const deadline = Date.now() + minutes * MS_PER_MINUTE;
    await Promise.all(Array.from({ length: MAX_CONCURRENT_FAULTS }, () => injectFaults(deadline)));
    const recovery = await checkRecovery();
    isFinished = true;
    await load;
    const targets = [...closedTargets, ...fleet.hosts.map(({ target }) => target)];
    const runs = targets
      .flatMap((target) => target.runs)
      .filter(({ callId }) => !callId.startsWith('probe-'));
    const violations = [
      ...checks.checkCalls(calls, runs, { drainedTargets, limitedTargets }),
      ...checks.checkVersions(observed),
      ...checks.checkProcesses(fleet.hosts),
      ...recovery,
    ];
    violations.forEach(({ invariant, callId, detail }) =>
      recordEvent(`breach promise=${invariant} call=${callId} ${detail}`),
    );
    if (violations.length > 0) writeReport(directory, timeline, fleet);
    const served = calls.filter(({ result }) => result.status === HTTP_OK).length;
    return {
      violations,
      calls: calls.length,
      served,
      injectedCounts,
      observedVersionCount: observed.length,
    };
  } finally {
    isFinished = true;
    agent.destroy();
    await Promise.all([...links.values()].map((link) => link.close()));
    await fleet.close();
  }
}

async function runSeed(options: SoakOptions): Promise<boolean> {
  const { seed, directory } = options;
  const { violations, calls, served, injectedCounts, observedVersionCount } =
    await runSoak(options);
  const faults = [...injectedCounts].map(([name, count]) => `${name}=${count}`).join(' ');
  process.stdout.write(
    `seed ${seed}: ${calls} calls, ${served} served, ${observedVersionCount} versions seen; faults: ${faults}\n`,
  );
  violations.slice(0, 20).forEach(({ invariant, callId, detail }) => {
    process.stdout.write(`broken ${invariant}: call ${callId} ${detail}\n`);
  });
  const hasPassed = violations.length === 0 && injectedCounts.size > 0 && observedVersionCount > 0;
  process.stdout.write(
    hasPassed ? `seed ${seed} held\n` : `seed ${seed} failed, see ${directory}\n`,
  );
  return hasPassed;
}

/** Parses a seed such as `4` or a range such as `1-50`. */
function parseSeeds(text: string): number[] {
  const [first = 1, last = first] = text.split('-').map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

const main = citty.defineCommand({
  meta: { name: 'soak:mesh', description: 'Injects random faults and checks every invariant' },
  args: {
    minutes: { type: 'string', description: 'Duration of the run of each seed', default: '1' },
    seed: {
      type: 'string',
      description: 'Seed of the faults, or a range such as 1-50',
      default: '1',
    },
    results: {
      type: 'string',
      description: 'Directory for the logs of a failed run',
      default: 'results',
    },
    program: { type: 'string', description: 'Script to run instead of the built bundle' },
  },
  async run({ args }) {
    const failed: number[] = [];
    for (const seed of parseSeeds(args.seed)) {
      const directory = path.join(args.results, `mesh-soak-${seed}`);
      const options = { minutes: Number(args.minutes), seed, directory, program: args.program };
      // eslint-disable-next-line no-await-in-loop -- one seed after the other
      if (!(await runSeed(options))) failed.push(seed);
    }
    process.stdout.write(failed.length === 0 ? 'held\n' : `failed seeds: ${failed.join(' ')}\n`);
    // Pending timers of abandoned calls would keep the process alive for seconds.
    process.exit(failed.length === 0 ? 0 : 1);
  },
});

await citty.runMain(main);
