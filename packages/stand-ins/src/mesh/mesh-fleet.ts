/** Runs a fleet of mesh processes with their targets and the store's stand-in. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as keyedRecord from '../store/keyed-record.js';
import * as storeServer from '../store/store-server.js';
import * as meshCaller from './mesh-caller.js';
import * as meshTarget from './mesh-target.js';

/** One host: a mesh process and its target. */
export interface MeshHost {
  name: string;
  address: string;
  service: string;
  ports: MeshPorts;
  target: meshTarget.MeshTarget;
  /** Lines of every life of the process. */
  lines: string[];
  child: childProcess.ChildProcess | undefined;
  start(): void;
  /** Sends a signal and waits for the end of the process. */
  stop(signal: NodeJS.Signals): Promise<void>;
}

/** Ports of a host, the same at each. */
export interface MeshPorts {
  callers: number;
  ready: number;
  announcements: number;
  target: number;
  peer: number;
  metrics: number;
}

/** A fleet on one machine. */
export interface MeshFleet {
  hosts: MeshHost[];
  store: storeServer.StoreServer;
  /** Publishes a configuration as the operator. */
  publish(config: object): void;
  waitUntilReady(): Promise<void>;
  close(): Promise<void>;
}

/** Where a host stands and what its target serves. */
export interface HostPlan {
  service: string;
  dataCentre: string;
  region: string;
}

/** What a fleet consists of. */
export interface FleetPlan {
  /** Third number of the hosts' loopback addresses, so that fleets don't meet. */
  network: number;
  hosts: readonly HostPlan[];
  slots: number;
  random: () => number;
  graceMs?: number;
  /** Distance of the targets' own ports from those that they announce, for links between. */
  targetPortShift?: number;
  /** Program of the processes; the built bundle when left out. */
  program?: string;
}

const BUNDLE = url.fileURLToPath(new URL('../../../../target/figshed-mesh.cjs', import.meta.url));
const BASE_PORT = 21_000;
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;
const HTTP_OK = 200;
const MAX_LINES = 200_000;

const ports: MeshPorts = {
  callers: BASE_PORT,
  ready: BASE_PORT + 1,
  announcements: BASE_PORT + 2,
  target: BASE_PORT + 3,
  peer: BASE_PORT + 4,
  metrics: BASE_PORT + 5,
};

/**
 * Starts a fleet; its processes are up, but perhaps not ready yet.
 *
 * @example
 * const fleet = await startMeshFleet({ network: 1, hosts, slots: 4, random });
 * fleet.publish(config);
 * await fleet.waitUntilReady();
 */
export async function startMeshFleet(plan: FleetPlan): Promise<MeshFleet> {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-mesh-'));
  const store = await storeServer.startStoreServer();

  const startHost = async (hostPlan: HostPlan, index: number): Promise<MeshHost> => {
    const address = `127.0.${plan.network}.${index + 1}`;
    const name = `host-${index + 1}`;
    const at = (port: number): string => `${address}:${port}`;
    const file = path.join(directory, `${name}.jsonc`);
    fs.writeFileSync(
      file,
      JSON.stringify({
        id: name,
        ...hostPlan,
        address,
        callers: at(ports.callers),
        ready: at(ports.ready),
        announcements: at(ports.announcements),
        target: at(ports.target),
        peerPort: ports.peer,
        metricsPort: ports.metrics,
        graceMs: plan.graceMs ?? 6_000,
        store: `127.0.0.1:${store.port}`,
      }),
    );
    const target = await meshTarget.startMeshTarget({
      id: `t-${index + 1}`,
      service: hostPlan.service,
      address,
      port: ports.target + (plan.targetPortShift ?? 0),
      announcedPort: ports.target,
      slots: plan.slots,
      announcements: { address, port: ports.announcements },
      random: plan.random,
    });
    const host: MeshHost = {
      name,
      address,
      service: hostPlan.service,
      ports,
      target,
      lines: [],
      child: undefined,
      start() {
        const child = childProcess.spawn(process.execPath, [plan.program ?? BUNDLE], {
          env: { PATH: process.env.PATH, FIGSHED_BOOT: file },
          stdio: ['ignore', 'pipe', 'pipe'],
        });
        host.child = child;
        [child.stdout, child.stderr].forEach((stream) => {
          stream.setEncoding('utf8');
          stream.on('data', (text: string) => {
            host.lines.push(...text.split('\n').filter((line) => line !== ''));
            if (host.lines.length > MAX_LINES) host.lines.splice(0, MAX_LINES / 2);
          });
        });
      },
      async stop(signal) {
        const { child } = host;
        if (!child || child.exitCode !== null || child.signalCode !== null) return;
        const ended = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill(signal);
        await ended;
      },
    };
    host.start();
    target.startBeats();
    return host;
  };

  const hosts = await Promise.all(plan.hosts.map(startHost));

  const isReady = async (host: MeshHost): Promise<boolean> => {
    const { status } = await meshCaller.sendCall({
      address: host.address,
      port: ports.ready,
      path: '/api/ready',
      callId: 'ready',
    });
    return status === HTTP_OK;
  };

  /** Tells whether a host has logged that it may call the target of another. */
  const knows = (host: MeshHost, other: MeshHost): boolean =>
    host.lines.some(
      (line) =>
        line.includes('event=member ') &&
        line.includes(` member=${other.name} `) &&
        line.includes('ready=true') &&
        line.includes('state=up'),
    );

  return {
    hosts,
    store,
    publish: (config) => keyedRecord.writeConfig(store.topics, config),
    async waitUntilReady() {
      const until = Date.now() + READY_TIMEOUT_MS;
      while (Date.now() < until) {
        // eslint-disable-next-line no-await-in-loop -- a poll
        const ready = await Promise.all(hosts.map(isReady));
        if (
          ready.every(Boolean) &&
          hosts.every((host) => hosts.every((other) => knows(host, other)))
        ) {
          return;
        }
        // eslint-disable-next-line no-await-in-loop -- a poll
        await timers.setTimeout(POLL_MS);
      }
      throw new Error('the fleet is not ready in time');
    },
    async close() {
      await Promise.all(hosts.map((host) => host.stop('SIGKILL')));
      await Promise.all(hosts.map(({ target }) => target.close()));
      await store.close();
      fs.rmSync(directory, { recursive: true });
    },
  };
}
