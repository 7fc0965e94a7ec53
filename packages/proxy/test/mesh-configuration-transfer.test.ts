import * as assert from 'node:assert/strict';
import * as diagnostics from 'node:diagnostics_channel';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as core from '@figshed/core';
import type * as mesh from '@figshed/core/mesh';
import * as runtime from '@figshed/runtime';
import * as meshProxy from '../src/mesh/index.js';

const { describe, it } = test;

const ROUTES = 1_100;
const SERVICES = 40;
const PEER_PORT = 21_504;
const TIMEOUT_MS = 10_000;
const POLL_MS = 5;
/** Control traffic that docs/CAPACITY.md allows for each node, in bytes per second. */
const CONTROL_BYTES_PER_SECOND = 19_000;
/** Interval of the versions that the fleet has to carry, in seconds. */
const VERSION_INTERVAL_S = 0.9;
/** Hosts that fetch each version from the same peer. */
const FETCHERS = 10;
const MAX_BYTES_PER_FETCH = (CONTROL_BYTES_PER_SECOND * VERSION_INTERVAL_S) / FETCHERS;

const random = runtime.createSeededRandom(18);
const createName = (): string => Math.floor(random() * 36 ** 8).toString(36);

function createConfig(version: number): mesh.MeshConfig {
  const services = Array.from({ length: SERVICES }, () => ({
    name: createName(),
    healthPath: `/${createName()}`,
    maxConnections: 100,
  }));
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    name: createName(),
    host: `${createName()}.example`,
    pathPrefix: `/${createName()}/`,
    parts: [{ service: services[index % SERVICES]?.name ?? '', weight: 1 }],
    isRepeatable: random() < 0.5,
    timeoutMs: 1_000 + Math.floor(random() * 1_000),
    objectiveMs: 200 + Math.floor(random() * 200),
    rank: index % 3,
    maxAttempts: 2,
  }));
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  return { version, routes, services, limits };
}

/** Returns the next version, in which one route has a different time-out. */
function changeOneRoute(config: mesh.MeshConfig): mesh.MeshConfig {
  const changed = Math.floor(random() * ROUTES);
  const routes = config.routes.map((route, index) =>
    index === changed ? { ...route, timeoutMs: route.timeoutMs + 1 } : route,
  );
  return { ...config, version: config.version + 1, routes };
}

interface Node {
  process: meshProxy.MeshProcess;
  /** Version that the process has logged last. */
  getVersion: () => number | undefined;
  /** Fields of the lines of each event, oldest first. */
  events: Map<string, runtime.LogFields[]>;
}

const refuseRead = (): Promise<mesh.MeshConfig[]> => Promise.reject(new Error('cut off'));

function startNode(
  index: number,
  endpoints: readonly core.Endpoint[],
  read: meshProxy.ConfigurationSource['read'],
): Node {
  const address = `127.0.100.${index}`;
  const events: Node['events'] = new Map();
  const record = (event: string, fields: runtime.LogFields = {}): void => {
    events.set(event, [...(events.get(event) ?? []), fields]);
  };
  const protocol: meshProxy.CallProtocol = {
    callIdHeader: 'x-call-id',
    deadlineHeader: 'x-deadline-ms',
    signatureHeader: 'x-signature',
    expectedInstanceHeader: 'x-expected',
    instanceIdHeader: 'x-instance',
    notExecutedHeader: 'x-not-executed',
    callerServiceHeader: 'x-caller-service',
    accountHeader: 'x-account',
    keyHeader: 'authorization',
    keyScheme: 'Token',
    readyPath: '/ready',
    readTargetNotice: () => ({ callsPerSecond: undefined, isLeaving: false }),
  };
  const ctx: meshProxy.MeshContext = {
    settings: meshProxy.meshSettingsSchema.parse({
      id: `host-${index}`,
      dataCentre: 'a',
      region: 'r',
      service: 'catalogue',
      address,
      callers: `${address}:21500`,
      ready: `${address}:21501`,
      announcements: `${address}:21502`,
      target: `${address}:21503`,
      peerPort: PEER_PORT,
      metricsPort: 21_505,
      graceMs: 500,
    }),
    clock: runtime.systemClock,
    random: runtime.createSeededRandom(index),
    log: {
      debug: record,
      info: record,
      warn: record,
      error: record,
      flush: () => undefined,
      isEnabled: () => true,
    },
    metrics: meshProxy.createMeshMetrics(),
    protocol,
  };
  const meshProcess = meshProxy.createMeshProcess(ctx, {
    configurationSource: { read },
    hostRegistry: {
      register: () => Promise.resolve(),
      list: () => Promise.resolve([...endpoints]),
      deregister: () => Promise.resolve(),
      renew: () => Promise.resolve(),
    },
    sourceEpoch: { get: () => undefined, onChange: () => undefined },
    rolloutOrders: { onOrder: () => undefined },
    rolloutStatuses: { read: () => Promise.resolve(undefined), write: () => Promise.resolve() },
    announcementParser: { parse: () => ({ type: 'unknown-path' }) },
    protocol,
  });
  return {
    process: meshProcess,
    getVersion: () => events.get('configuration')?.at(-1)?.version as number | undefined,
    events,
  };
}

async function waitUntil(isDone: () => boolean, message: string): Promise<void> {
  const deadline = Date.now() + TIMEOUT_MS;
  while (!isDone()) {
    assert.ok(Date.now() < deadline, message);
    // eslint-disable-next-line no-await-in-loop -- a poll
    await timers.setTimeout(POLL_MS);
  }
}

describe('transfer of configurations between hosts', () => {
  it('stays within the control bytes of a host when versions change one route each', async (context) => {
    const sockets = new Set<net.Socket>();
    const recordSocket = (message: unknown): void => {
      const { socket } = message as { socket: net.Socket };
      if (socket.localPort === PEER_PORT) sockets.add(socket);
    };
    diagnostics.subscribe('net.server.socket', recordSocket);
    const countBytes = (): number =>
      [...sockets].reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0);

    let newest = createConfig(1);
    let lastRead = 0;
    const readNewest = async (waitMs: number): Promise<mesh.MeshConfig[]> => {
      const deadline = Date.now() + waitMs;
      while (lastRead === newest.version && Date.now() < deadline)
        // eslint-disable-next-line no-await-in-loop -- a poll
        await timers.setTimeout(POLL_MS);
      if (lastRead === newest.version) return [];
      lastRead = newest.version;
      return [newest];
    };
    const endpoints = [1, 2].map((index) => ({ address: `127.0.100.${index}`, port: PEER_PORT }));
    const nodes = [startNode(1, endpoints, readNewest), startNode(2, endpoints, refuseRead)];
    await Promise.all(nodes.map((node) => node.process.start()));
    const waitForVersion = (version: number): Promise<void> =>
      waitUntil(
        () => nodes.every(({ getVersion }) => getVersion() === version),
        `version ${version} is not in force on all hosts`,
      );
    try {
      await waitForVersion(newest.version);
      const bytesPerFetch: number[] = [];
      for (let change = 0; change < 5; change += 1) {
        const bytesBefore = countBytes();
        newest = changeOneRoute(newest);
        // eslint-disable-next-line no-await-in-loop -- one version after another
        await waitForVersion(newest.version);
        bytesPerFetch.push(countBytes() - bytesBefore);
      }
      context.diagnostic(`${bytesPerFetch.join(', ')} bytes per fetch`);
      assert.ok(
        Math.max(...bytesPerFetch) <= MAX_BYTES_PER_FETCH,
        `${bytesPerFetch.join(', ')} bytes per fetch, at most ${MAX_BYTES_PER_FETCH} fit`,
      );
      const forms = nodes
        .at(1)
        ?.events.get('configuration')
        ?.map(({ form }) => form);
      assert.deepEqual(forms, ['whole', ...bytesPerFetch.map(() => 'delta')]);
    } finally {
      diagnostics.unsubscribe('net.server.socket', recordSocket);
      await Promise.all(nodes.map((node) => node.process.stop()));
    }
  });
});
