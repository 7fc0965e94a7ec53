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
  /** Output lines of the process, restarts included; beyond 200,000 the oldest are dropped. */
  lines: string[];
  child: childProcess.ChildProcess | undefined;
  start(): void;
  /** Sends a signal and waits for the process to exit; does nothing when it is not running. */
  stop(signal: NodeJS.Signals): Promise<void>;
}

/** Ports that every host uses, each at its own loopback address. */
export interface MeshPorts {
  callers: number;
  ready: number;
  announcements: number;
  target: number;
  peer: number;
  metrics: number;
}

/** Mesh processes, their targets and the store's stand-in, all on one machine. */
export interface MeshFleet {
  hosts: MeshHost[];
  store: storeServer.StoreServer;
  /** Appends a configuration to the store, as the operator does. */
  publish(config: object): void;
  /** Appends a roll-out order to the store, as the operator does. */
  orderRollout(order: { service: string; targetVersion: string; durationS: number }): void;
  /** Adds a host; resolves once its process is spawned. */
  addHost(options: MeshHostOptions): Promise<MeshHost>;
  /** Waits until every process is ready and has logged every target as up; rejects on time-out. */
  waitUntilReady(): Promise<void>;
  close(): Promise<void>;
}

/** Location of a host and the service of its target. */
export interface MeshHostOptions {
  service: string;
  /** Version of its target. */
  version?: string;
  dataCentre: string;
  region: string;
}

export interface MeshFleetOptions {
  /** Third octet of the hosts' loopback addresses; concurrent fleets need different ones. */
  thirdOctet: number;
  hosts: readonly MeshHostOptions[];
  slots: number;
  random: () => number;
  graceMs?: number;
  /** Offset of a target's own port from the announced port, at which a link then listens. */
  targetPortOffset?: number;
  /** Offset of a proxy's own TCP port for peers from the announced one, at which a link listens. */
  peerPortOffset?: number;
  /** Time for which SIGUSR2 blocks the event loop of a proxy. */
  blockMs?: number;
  /** Settings of all proxies that replace the defaults. */
  settings?: object;
  /** Script that each mesh process runs; defaults to the built bundle. */
  program?: string;
}

const BUNDLE_FILE = url.fileURLToPath(
  new URL('../../../../target/figshed-mesh.cjs', import.meta.url),
);
const PEER_PORT_SHIFT_FILE = new URL('./peer-port-shift.js', import.meta.url).href;
const EVENT_LOOP_BLOCK_FILE = new URL('./event-loop-block.js', import.meta.url).href;
/** Limit of the V8 heap, as deployed. */
const HEAP_OPTION = '--max-old-space-size=200';
const BASE_PORT = 21_000;
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;
const HTTP_OK = 200;
const MAX_LOG_LINES = 200_000;

const ports: MeshPorts = {
  callers: BASE_PORT,
  ready: BASE_PORT + 1,
  announcements: BASE_PORT + 2,
  target: BASE_PORT + 3,
  peer: BASE_PORT + 4,
  metrics: BASE_PORT + 5,
};

/**
 * Starts a fleet; resolves once its processes are spawned, which may be before they are ready.
 *
 * @example
 * const fleet = await startMeshFleet({ thirdOctet: 1, hosts, slots: 4, random });
 * fleet.publish(config);
 * await fleet.waitUntilReady();
 */
export async function startMeshFleet(options: MeshFleetOptions): Promise<MeshFleet> {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-mesh-'));
  const store = await storeServer.startStoreServer();

  const startHost = async (
    { version, ...hostOptions }: MeshHostOptions,
    index: number,
  ): Promise<MeshHost> => {
    const address = `127.0.${options.thirdOctet}.${index + 1}`;
    const name = `host-${index + 1}`;
    const formatAddress = (port: number): string => `${address}:${port}`;
    const settingsFile = path.join(directory, `${name}.jsonc`);
    fs.writeFileSync(
      settingsFile,
      JSON.stringify({
        id: name,
        ...hostOptions,
        address,
        callers: formatAddress(ports.callers),
        ready: formatAddress(ports.ready),
        announcements: formatAddress(ports.announcements),
        target: formatAddress(ports.target),
        peerPort: ports.peer,
        metricsPort: ports.metrics,
        graceMs: options.graceMs ?? 6_000,
        store: `127.0.0.1:${store.port}`,
        ...options.settings,
      }),
    );
    const target = await meshTarget.startMeshTarget({
      id: `t-${index + 1}`,
      service: hostOptions.service,
      version,
      address,
      port: ports.target + (options.targetPortOffset ?? 0),
      announcedPort: ports.target,
      slots: options.slots,
      announcements: { address, port: ports.announcements },
      random: options.random,
    });
    const host: MeshHost = {
      name,
      address,
      service: hostOptions.service,
      ports,
      target,
      lines: [],
      child: undefined,
      start() {
        const { peerPortOffset, blockMs } = options;
        const child = childProcess.spawn(
          process.execPath,
          [
            HEAP_OPTION,
            ...(peerPortOffset === undefined ? [] : ['--import', PEER_PORT_SHIFT_FILE]),
            ...(blockMs === undefined ? [] : ['--import', EVENT_LOOP_BLOCK_FILE]),
            options.program ?? BUNDLE_FILE,
          ],
          {
            env: {
              PATH: process.env.PATH,
              FIGSHED_BOOT: settingsFile,
              PEER_PORT: String(ports.peer),
              PEER_PORT_OFFSET: String(peerPortOffset ?? 0),
              BLOCK_MS: String(blockMs ?? 0),
            },
            stdio: ['ignore', 'pipe', 'pipe'],
          },
        );
        host.child = child;
        [child.stdout, child.stderr].forEach((stream) => {
          stream.setEncoding('utf8');
          stream.on('data', (text: string) => {
            host.lines.push(...text.split('\n').filter((line) => line !== ''));
            if (host.lines.length > MAX_LOG_LINES) host.lines.splice(0, MAX_LOG_LINES / 2);
          });
        });
      },
      async stop(signal) {
        const { child } = host;
        if (!child || child.exitCode !== null || child.signalCode !== null) return;
        const exited = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill(signal);
        await exited;
      },
    };
    host.start();
    target.startHeartbeats();
    return host;
  };

  const hosts = await Promise.all(options.hosts.map(startHost));

  const isReady = async (host: MeshHost): Promise<boolean> => {
    const { status } = await meshCaller.sendCall({
      address: host.address,
      port: ports.ready,
      path: '/api/ready',
      callId: 'ready',
    });
    return status === HTTP_OK;
  };

  /** Checks whether a host has logged another host as ready and its target as up. */
  const hasObservedReadyTarget = (host: MeshHost, other: MeshHost): boolean =>
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
    publish: (config) => keyedRecord.appendConfig(store.topics, config),
    orderRollout: (order) =>
      keyedRecord.appendOperatorRecord(store.topics, `rollout/${order.service}`, order),
    async addHost(hostOptions) {
      const host = await startHost(hostOptions, hosts.length);
      hosts.push(host);
      return host;
    },
    async waitUntilReady() {
      const deadline = Date.now() + READY_TIMEOUT_MS;
      while (Date.now() < deadline) {
        // eslint-disable-next-line no-await-in-loop -- a poll
        const ready = await Promise.all(hosts.map(isReady));
        if (
          ready.every(Boolean) &&
          hosts.every((host) => hosts.every((other) => hasObservedReadyTarget(host, other)))
        ) {
          return;
        }
        // eslint-disable-next-line no-await-in-loop -- a poll
        await timers.setTimeout(POLL_MS);
      }
      throw new Error('mesh fleet did not become ready before the time-out');
    },
    async close() {
      await Promise.all(hosts.map((host) => host.stop('SIGKILL')));
      await Promise.all(hosts.map(({ target }) => target.close()));
      await store.close();
      fs.rmSync(directory, { recursive: true });
    },
  };
}
