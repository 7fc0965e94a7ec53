/** Starts a fleet of separate processes: log, links, proxies and targets. */
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
import * as childProcesses from './child.js';
import * as topologies from './topology.js';

/** One host of the fleet: a proxy and an optional target. */
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
  proxy: childProcesses.ChildHandle | undefined;
  /** Whether the proxy has become ready since its last start; stays true when it exits. */
  isReady: boolean;
  target: childProcesses.ChildHandle | undefined;
}

export interface FleetOptions {
  topology: topologies.Topology;
  hostsPerDataCentre: number;
  /** Whether data centres connect through links with delays; otherwise they connect directly. */
  hasLinks: boolean;
  hasTargets: boolean;
  log?: Partial<{ retentionMs: number; appendsPerSecond: number }>;
  target?: Partial<targetServer.TargetOptions>;
  /** Extra settings of every proxy; a key here replaces the default one. */
  settings?: Record<string, unknown>;
  /** Returns the service of a host from its index in the data centre. */
  chooseService?: (index: number, dataCentre: string) => string;
}

export interface Fleet {
  hosts: FleetHost[];
  topology: topologies.Topology;
  logUrl: string;
  fleetKey: string;
  directory: string;
  startProxy(host: FleetHost): Promise<void>;
  startTarget(host: FleetHost, options?: Partial<targetServer.TargetOptions>): Promise<void>;
  setLogFaults(faults: Partial<logServer.LogFaults>): Promise<void>;
  readLogCounts(): Promise<logServer.LogCounts>;
  setLinkFaults(faults: {
    cuts?: (readonly [string, string])[];
    loss?: number;
    /** Whether to drop all further data of the connections that are open now. */
    silence?: boolean;
  }): Promise<{ silenced: number }>;
  readLinkCounts(): Promise<linkServer.LinkCounts>;
  /** Calls a JSON-RPC method of one proxy on its peer port. */
  request(host: FleetHost, method: string, params?: unknown, timeoutMs?: number): Promise<unknown>;
  stop(): Promise<void>;
}

const START_TIMEOUT_MS = 30_000;
const REQUEST_TIMEOUT_MS = 2_000;
const MAX_LOOPBACK_OCTET = 220;
const MIN_LOOPBACK_OCTET = 20;

const resolvePath = (relative: string): string =>
  url.fileURLToPath(new URL(relative, import.meta.url));

const scriptPaths = {
  proxy: resolvePath('../../../proxy/bin/figshed-proxy.js'),
  cli: resolvePath('../../../cli/bin/figshed.js'),
  log: resolvePath('../log/main.js'),
  link: resolvePath('../link/main.js'),
  target: resolvePath('../target/main.js'),
};

/** Path of the `figshed` command-line script. */
export const cliScriptPath = scriptPaths.cli;

const MIN_PORT = 12_000;
/** Below the ephemeral ports that the system assigns to outgoing connections. */
const MAX_PORT = 30_000;
let nextPort = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT));

function isPortFree(address: string, port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

async function findFreePort(address: string): Promise<number> {
  const port = nextPort;
  nextPort = nextPort >= MAX_PORT ? MIN_PORT : nextPort + 1;
  return (await isPortFree(address, port)) ? port : findFreePort(address);
}

function parsePort(line: string): number {
  return Number(/port=(\d+)/.exec(line)?.[1]);
}

async function requestJson<T>(port: number, urlPath: string, body?: unknown): Promise<T> {
  const response = await fetch(`http://127.0.0.1:${port}${urlPath}`, {
    method: body === undefined ? 'GET' : 'PUT',
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  return (await response.json()) as T;
}

async function createHosts(options: FleetOptions, secondOctet: number): Promise<FleetHost[]> {
  const hosts = options.topology.dataCentres.flatMap(({ name, region }, dataCentreIndex) =>
    Array.from({ length: options.hostsPerDataCentre }, async (_, index) => {
      const address = `127.${secondOctet}.${dataCentreIndex + 1}.1`;
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
        service:
          options.chooseService?.(index, name) ?? (services[index % services.length] as string),
        proxy: undefined,
        isReady: false,
        target: undefined,
      };
    }),
  );
  return Promise.all(hosts);
}

/** Formats the address on which a link from one data centre to another listens. */
function formatLinkAddress(secondOctet: number, fromIndex: number, toIndex: number): string {
  return `127.${secondOctet}.${100 + fromIndex}.${100 + toIndex}`;
}

function createLinkOptions(
  options: FleetOptions,
  hosts: readonly FleetHost[],
  secondOctet: number,
): linkServer.LinkOptions[] {
  const { dataCentres } = options.topology;
  return dataCentres.flatMap((from, fromIndex) =>
    dataCentres.flatMap((to, toIndex) => {
      if (from.name === to.name) return [];
      const remoteHosts = hosts.filter(({ dataCentre }) => dataCentre === to.name);
      return [
        {
          from: from.name,
          to: to.name,
          listenAddress: formatLinkAddress(secondOctet, fromIndex, toIndex),
          toAddress: remoteHosts[0]?.address ?? '',
          ports: remoteHosts.map(({ peerPort }) => peerPort),
          delayMs: topologies.computeDelayMs(options.topology, from.name, to.name),
        },
      ];
    }),
  );
}

/**
 * Starts a fleet and waits until every proxy accepts calls.
 *
 * @example
 * const fleet = await startFleet({ topology, hostsPerDataCentre: 2, hasLinks: true, hasTargets: true });
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const secondOctet =
    MIN_LOOPBACK_OCTET + Math.floor(Math.random() * (MAX_LOOPBACK_OCTET - MIN_LOOPBACK_OCTET));
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-'));
  const fleetKey = 'fleet-key-of-a-test-run';
  const { topology } = options;
  const hosts = await createHosts(options, secondOctet);
  const logProcess = childProcesses.startChild(
    'log',
    scriptPaths.log,
    [JSON.stringify(options.log ?? {})],
    {},
  );
  const logPort = parsePort(await logProcess.waitForLine(/^ready/, START_TIMEOUT_MS));
  const logUrl = `http://127.0.0.1:${logPort}`;
  const linkOptions = options.hasLinks ? createLinkOptions(options, hosts, secondOctet) : [];
  const linkProcess = options.hasLinks
    ? childProcesses.startChild('link', scriptPaths.link, [JSON.stringify(linkOptions)], {})
    : undefined;
  const linkPort = linkProcess
    ? parsePort(await linkProcess.waitForLine(/^ready/, START_TIMEOUT_MS))
    : 0;
  const peerClient = runtime.createPeerClient(fleetKey);
  const isInDataCentre = (dataCentre: string) => (host: FleetHost) =>
    host.dataCentre === dataCentre;

  const listGateways = (dataCentre: string): Record<string, { address: string }> =>
    Object.fromEntries(
      linkOptions
        .filter(({ from }) => from === dataCentre)
        .map(({ to, listenAddress }) => [to, { address: listenAddress }]),
    );

  const listSeeds = (host: FleetHost): { address: string; port: number }[] => {
    const gateways = listGateways(host.dataCentre);
    return topology.dataCentres.flatMap(({ name }) => {
      const seedHost = hosts.find((other) => isInDataCentre(name)(other) && other !== host);
      if (!seedHost) return [];
      return [{ address: gateways[name]?.address ?? seedHost.address, port: seedHost.peerPort }];
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
    host.proxy = childProcesses.startChild(
      host.id,
      scriptPaths.proxy,
      ['run', host.settingsFile],
      {},
    );
    await host.proxy.waitForLine(/event=ready/, START_TIMEOUT_MS);
    host.isReady = true;
  };

  const startTarget = async (
    host: FleetHost,
    targetOptions: Partial<targetServer.TargetOptions> = {},
  ): Promise<void> => {
    const launchOptions = {
      service: host.service,
      proxyPort: host.localPort,
      slots: topology.slots,
      ...options.target,
      ...targetOptions,
    };
    host.target = childProcesses.startChild(
      `${host.id}-target`,
      scriptPaths.target,
      [JSON.stringify({ ...launchOptions, proxyAddress: host.address })],
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
      await requestJson(logPort, '/faults', faults);
    },
    readLogCounts: () => requestJson(logPort, '/counts'),
    setLinkFaults: (faults) => requestJson(linkPort, '/', faults),
    readLinkCounts: () => requestJson(linkPort, '/'),
    request: (host, method, params = {}, timeoutMs = REQUEST_TIMEOUT_MS) =>
      peerClient.request({ address: host.address, port: host.peerPort }, method, params, timeoutMs),
    async stop() {
      const hostProcesses = hosts.flatMap(({ proxy, target }) => [proxy, target]);
      [...hostProcesses, logProcess, linkProcess].forEach((child) => child?.sendSignal('SIGKILL'));
      await Promise.all([...hostProcesses, logProcess, linkProcess].map((child) => child?.exited));
      await peerClient.close();
      fs.rmSync(directory, { recursive: true, force: true });
    },
  };
}

/**
 * Computes the digest under which a contract lists an API key.
 *
 * @example
 * hashApiKey('secret');
 */
export function hashApiKey(apiKey: string): string {
  return core.computeDigest(apiKey);
}
