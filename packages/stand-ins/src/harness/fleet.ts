/** Starts a fleet of separate processes: the log, the links, proxies and targets. */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import type * as linkServer from '../link/link-server.js';
import type * as logServer from '../log/log-server.js';
import type * as targetServer from '../target/target-server.js';
import * as childModule from './child.js';
import * as topologyModule from './topology.js';

/** One host of the fleet: a proxy, and a target when it has one. */
export interface FleetHost {
  id: string;
  dataCentre: string;
  region: string;
  address: string;
  callerPort: number;
  peerPort: number;
  localPort: number;
  settingsFile: string;
  service: string;
  proxy: childModule.Child | undefined;
  /** Whether the proxy takes calls. */
  isReady: boolean;
  target: childModule.Child | undefined;
}

/** What a fleet is started with. */
export interface FleetOptions {
  topology: topologyModule.Topology;
  hostsPerDataCentre: number;
  /** Links with delays between data centres; without them all processes talk directly. */
  hasLinks: boolean;
  hasTargets: boolean;
  log?: Partial<{ retentionMs: number; appendsPerSecond: number }>;
  target?: Partial<targetServer.TargetOptions>;
  /** Added to each proxy's settings. */
  settings?: Record<string, unknown>;
  /** Service of each host, by its index in the data centre. */
  serviceOf?: (index: number, dataCentre: string) => string;
}

/** A running fleet. */
export interface Fleet {
  hosts: FleetHost[];
  topology: topologyModule.Topology;
  logUrl: string;
  fleetKey: string;
  directory: string;
  startProxy(host: FleetHost): Promise<void>;
  startTarget(host: FleetHost, options?: Partial<targetServer.TargetOptions>): Promise<void>;
  setLogFaults(faults: Partial<logServer.LogFaults>): Promise<void>;
  readLogCounts(): Promise<logServer.LogCounts>;
  setLinks(orders: {
    cuts?: (readonly [string, string])[];
    loss?: number;
    silence?: boolean;
  }): Promise<{ silenced: number }>;
  readLinkCounts(): Promise<linkServer.LinkCounts>;
  /** Calls a control method of one proxy. */
  request(host: FleetHost, method: string, params?: unknown, timeoutMs?: number): Promise<unknown>;
  stop(): Promise<void>;
}

const START_TIMEOUT_MS = 30_000;
const REQUEST_TIMEOUT_MS = 2_000;
const MAX_OCTET = 220;
const MIN_OCTET = 20;

const require = (relative: string): string => url.fileURLToPath(new URL(relative, import.meta.url));

const scripts = {
  proxy: require('../../../proxy/bin/figshed-proxy.js'),
  cli: require('../../../cli/bin/figshed.js'),
  log: require('../log/main.js'),
  link: require('../link/main.js'),
  target: require('../target/main.js'),
};

/** Path of the operators' command. */
export const cliScript = scripts.cli;

const MIN_PORT = 12_000;
/** Below the ports that the system gives to outgoing connections. */
const MAX_PORT = 30_000;
let nextPort = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT));

function isFree(address: string, port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

async function findFreePort(address: string): Promise<number> {
  const port = nextPort;
  nextPort = nextPort >= MAX_PORT ? MIN_PORT : nextPort + 1;
  return (await isFree(address, port)) ? port : findFreePort(address);
}

function readPort(line: string): number {
  return Number(/port=(\d+)/.exec(line)?.[1]);
}

async function sendJson<T>(port: number, path_: string, body?: unknown): Promise<T> {
  const answer = await fetch(`http://127.0.0.1:${port}${path_}`, {
    method: body === undefined ? 'GET' : 'PUT',
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  return (await answer.json()) as T;
}

async function createHosts(options: FleetOptions, octet: number): Promise<FleetHost[]> {
  const hosts = options.topology.dataCentres.flatMap(({ name, region }, dataCentreIndex) =>
    Array.from({ length: options.hostsPerDataCentre }, async (_, index) => {
      const address = `127.${octet}.${dataCentreIndex + 1}.1`;
      const { services } = options.topology;
      return {
        id: `${name}-${index + 1}`,
        dataCentre: name,
        region,
        address,
        callerPort: await findFreePort(address),
        peerPort: await findFreePort(address),
        localPort: await findFreePort(address),
        settingsFile: '',
        service: options.serviceOf?.(index, name) ?? (services[index % services.length] as string),
        proxy: undefined,
        isReady: false,
        target: undefined,
      };
    }),
  );
  return Promise.all(hosts);
}

/** Address at which one data centre reaches another through a link. */
function formatLinkAddress(octet: number, fromIndex: number, toIndex: number): string {
  return `127.${octet}.${100 + fromIndex}.${100 + toIndex}`;
}

function createLinks(
  options: FleetOptions,
  hosts: readonly FleetHost[],
  octet: number,
): linkServer.LinkOptions[] {
  const { dataCentres } = options.topology;
  return dataCentres.flatMap((from, fromIndex) =>
    dataCentres.flatMap((to, toIndex) => {
      if (from.name === to.name) return [];
      const there = hosts.filter(({ dataCentre }) => dataCentre === to.name);
      return [
        {
          from: from.name,
          to: to.name,
          listenAddress: formatLinkAddress(octet, fromIndex, toIndex),
          toAddress: there[0]?.address ?? '',
          ports: there.map(({ peerPort }) => peerPort),
          delayMs: topologyModule.computeDelay(options.topology, from.name, to.name),
        },
      ];
    }),
  );
}

/**
 * Starts a fleet and waits until every proxy takes calls.
 *
 * @example
 * const fleet = await startFleet({ topology, hostsPerDataCentre: 2, hasLinks: true, hasTargets: true });
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const octet = MIN_OCTET + Math.floor(Math.random() * (MAX_OCTET - MIN_OCTET));
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-'));
  const fleetKey = 'fleet-key-of-a-test-run';
  const { topology } = options;
  const hosts = await createHosts(options, octet);
  const log = childModule.startChild('log', scripts.log, [JSON.stringify(options.log ?? {})], {});
  const logPort = readPort(await log.waitForLine(/^ready/, START_TIMEOUT_MS));
  const logUrl = `http://127.0.0.1:${logPort}`;
  const links = options.hasLinks ? createLinks(options, hosts, octet) : [];
  const link = options.hasLinks
    ? childModule.startChild('link', scripts.link, [JSON.stringify(links)], {})
    : undefined;
  const linkPort = link ? readPort(await link.waitForLine(/^ready/, START_TIMEOUT_MS)) : 0;
  const peers = runtime.createPeerClient(fleetKey);
  const isOf = (dataCentre: string) => (host: FleetHost) => host.dataCentre === dataCentre;

  const listGateways = (dataCentre: string): Record<string, { address: string }> =>
    Object.fromEntries(
      links
        .filter(({ from }) => from === dataCentre)
        .map(({ to, listenAddress }) => [to, { address: listenAddress }]),
    );

  const listSeeds = (host: FleetHost): { address: string; port: number }[] => {
    const gateways = listGateways(host.dataCentre);
    return topology.dataCentres.flatMap(({ name }) => {
      const seed = hosts.find((other) => isOf(name)(other) && other !== host);
      if (!seed) return [];
      return [{ address: gateways[name]?.address ?? seed.address, port: seed.peerPort }];
    });
  };

  const writeSettings = (host: FleetHost): void => {
    const { retentionMs } = options.log ?? {};
    const settings = {
      id: host.id,
      dataCentre: host.dataCentre,
      region: host.region,
      listen: {
        address: host.address,
        callerPort: host.callerPort,
        peerPort: host.peerPort,
        localPort: host.localPort,
      },
      fleetKey,
      platform: {
        logUrl: `${logUrl}/from/${host.dataCentre}`,
        ...(retentionMs ? { retentionMs } : {}),
      },
      ...(retentionMs ? { orders: { windowMs: Math.floor(retentionMs / 2) } } : {}),
      peers: listSeeds(host),
      gateways: listGateways(host.dataCentre),
      ...options.settings,
    };
    host.settingsFile = path.join(directory, `${host.id}.jsonc`);
    fs.writeFileSync(host.settingsFile, JSON.stringify(settings));
  };

  const startProxy = async (host: FleetHost): Promise<void> => {
    host.isReady = false;
    host.proxy = childModule.startChild(host.id, scripts.proxy, ['run', host.settingsFile], {});
    await host.proxy.waitForLine(/event=ready/, START_TIMEOUT_MS);
    host.isReady = true;
  };

  const startTarget = async (
    host: FleetHost,
    targetOptions: Partial<targetServer.TargetOptions> = {},
  ): Promise<void> => {
    const argument = {
      service: host.service,
      proxyPort: host.localPort,
      slots: topology.slots,
      ...options.target,
      ...targetOptions,
    };
    host.target = childModule.startChild(
      `${host.id}-target`,
      scripts.target,
      [JSON.stringify({ ...argument, proxyAddress: host.address })],
      {},
    );
    await host.target.waitForLine(/^ready/, START_TIMEOUT_MS);
  };

  hosts.forEach(writeSettings);
  await Promise.all(hosts.map(startProxy));
  if (options.hasTargets) await Promise.all(hosts.map((host) => startTarget(host)));

  return {
    hosts,
    topology,
    logUrl,
    fleetKey,
    directory,
    startProxy,
    startTarget,
    async setLogFaults(faults) {
      await sendJson(logPort, '/faults', faults);
    },
    readLogCounts: () => sendJson(logPort, '/counts'),
    setLinks: (orders) => sendJson(linkPort, '/', orders),
    readLinkCounts: () => sendJson(linkPort, '/'),
    request: (host, method, params = {}, timeoutMs = REQUEST_TIMEOUT_MS) =>
      peers.request({ address: host.address, port: host.peerPort }, method, params, timeoutMs),
    async stop() {
      const running = hosts.flatMap(({ proxy, target }) => [proxy, target]);
      [...running, log, link].forEach((child) => child?.signal('SIGKILL'));
      await Promise.all([...running, log, link].map((child) => child?.exited));
      await peers.close();
      fs.rmSync(directory, { recursive: true, force: true });
    },
  };
}

/**
 * Computes the digest of an API key for a contract.
 *
 * @example
 * hashKey('secret');
 */
export function hashKey(key: string): string {
  return core.computeDigest(key);
}
