import * as assert from 'node:assert/strict';
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as undici from 'undici';
import * as proxyProcess from '../src/process.js';
import * as schema from '../src/settings/schema.js';
import * as support from './support.js';

const { describe, it } = test;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const ADDED_KEY = 'a-key-that-is-added-later';
const READ_WAIT_MS = 300;
const LOG_TIMEOUT_MS = 300;
/** Time in which a change has to be in force, and a second more. */
const STALE_AFTER_MS = 4_000;
const APPLY_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 100;
/** Two of three hosts of a region read the log. */
const HOST_COUNT = 3;
/** Red until a refusal depends on the age of the configuration. */
const KNOWN_RED = { todo: 'refused from a version of any age, see KNOWN-RED.txt' };

type Reply = 'records' | 'unavailable' | 'none';

interface Log {
  url: string;
  append(resources: core.Resource[], base: number): void;
  setReply(reply: Reply): void;
  close(): void;
}

interface Answer {
  status: number;
  code: string;
  retryAfter: string | undefined;
}

const [contract, service, route] = Object.values(support.createConfig().state.resources).map(
  ({ resource }) => resource,
) as [core.Contract, core.Service, core.Resource];

/** Starts a log that keeps its records while it does not reply with them. */
async function startLog(): Promise<Log> {
  const records: core.OffsetRecord[] = [];
  let reply: Reply = 'records';
  const server = http.createServer(async (request, response) => {
    const from = Number(new URL(request.url ?? '', 'http://log').searchParams.get('from'));
    const endAt = performance.now() + READ_WAIT_MS;
    while (reply === 'records' && from >= records.length && performance.now() < endAt) {
      // eslint-disable-next-line no-await-in-loop -- polls until done
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
    if (reply === 'none') return;
    response.writeHead(reply === 'records' ? HTTP_OK : HTTP_UNAVAILABLE);
    response.end(JSON.stringify({ first: 0, head: records.length, records: records.slice(from) }));
  });
  const port = await support.listen(server);
  return {
    url: `http://${support.ADDRESS}:${port}`,
    append(resources, base) {
      const ids = resources.map((resource) => [core.formatResourceId(resource), base] as const);
      const change: core.Change = {
        type: 'change',
        id: crypto.randomUUID(),
        author: 'test',
        base: Object.fromEntries(ids),
        put: resources,
        remove: [],
      };
      records.push({ offset: records.length, body: change });
    },
    setReply(nextReply) {
      reply = nextReply;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function sendCall(port: number, method: string, path: string, key: string): Promise<Answer> {
  const url = `http://${support.ADDRESS}:${port}${path}`;
  const { statusCode, headers, body } = await undici.request(url, {
    method,
    headers: { authorization: `Bearer ${key}` },
  });
  const { error } = (await body.json()) as { error: { code: string } };
  const retryAfter = headers['retry-after'] as string | undefined;
  return { status: statusCode, code: error.code, retryAfter };
}

async function startHosts(
  logUrl: string,
): Promise<{ callerPorts: number[]; stop(): Promise<void> }> {
  const ports = await Promise.all(Array.from({ length: HOST_COUNT * 3 }, support.findFreePort));
  const indexes = Array.from({ length: HOST_COUNT }, (_, index) => index);
  const peers = indexes.map((index) => ({ address: support.ADDRESS, port: ports[index * 3 + 1] }));
  const hosts = indexes.map((index) =>
    proxyProcess.createProxyProcess(
      schema.settingsSchema.parse({
        id: `host-${index}`,
        dataCentre: 'a',
        region: 'r',
        listen: {
          callerPort: ports[index * 3],
          peerPort: ports[index * 3 + 1],
          localPort: ports[index * 3 + 2],
        },
        fleetKey: support.FLEET_KEY,
        platform: { logUrl, timeoutMs: LOG_TIMEOUT_MS, readWaitMs: READ_WAIT_MS },
        peers: peers.filter((_, other) => other !== index),
        stop: { announceMs: 1, graceMs: 1 },
      }),
      () => undefined,
    ),
  );
  await Promise.all(hosts.map((host) => host.start()));
  return {
    callerPorts: indexes.map((index) => ports[index * 3] as number),
    async stop() {
      await Promise.all(hosts.map((host) => host.stop()));
    },
  };
}

/** Calls that the first version refuses and the second one allows. */
const addedCalls: readonly [
  name: string,
  status: number,
  method: string,
  path: string,
  key: string,
][] = [
  ['a key', 401, 'GET', '/catalogue/1', ADDED_KEY],
  ['a service of the contract', 403, 'GET', '/prices/1', support.API_KEY],
  ['a route', 404, 'GET', '/added/1', support.API_KEY],
  ['a request kind', 405, 'PUT', '/catalogue/1', support.API_KEY],
];

function createFirstVersion(): core.Resource[] {
  const prices: core.Resource[] = [
    { ...service, name: 'prices' },
    { kind: 'route', name: 'prices', pathPrefix: '/prices', service: 'prices' },
  ];
  return [contract, service, route, ...prices];
}

function createAdditions(): core.Resource[] {
  const [read] = service.requestKinds as [core.RequestKind];
  return [
    {
      ...contract,
      services: ['catalogue', 'prices'],
      keyDigests: [...contract.keyDigests, core.computeDigest(ADDED_KEY)],
    },
    { ...service, requestKinds: [read, { ...read, name: 'write', method: 'PUT' }] },
  ];
}

const addedRoute: core.Resource = {
  kind: 'route',
  name: 'added',
  pathPrefix: '/added',
  service: 'catalogue',
};

describe('a call that the configuration at hand refuses', { concurrency: true }, () => {
  const sendAll = async (callerPorts: number[]): Promise<Answer[][]> =>
    Promise.all(
      addedCalls.map(([, , method, path, key]) =>
        Promise.all(callerPorts.map((port) => sendCall(port, method, path, key))),
      ),
    );

  const runFleet = async (
    action: (log: Log, callerPorts: number[]) => Promise<void>,
  ): Promise<void> => {
    const log = await startLog();
    log.append(createFirstVersion(), 0);
    const hosts = await startHosts(log.url);
    try {
      await action(log, hosts.callerPorts);
    } finally {
      log.setReply('unavailable');
      await hosts.stop();
      log.close();
    }
  };

  it('is refused as the version says while every host can confirm the version', async () => {
    await runFleet(async (_log, callerPorts) => {
      await timers.setTimeout(STALE_AFTER_MS);
      const answers = await sendAll(callerPorts);
      addedCalls.forEach(([name, status], index) =>
        assert.deepEqual(
          answers[index]?.map((answer) => answer.status),
          callerPorts.map(() => status),
          name,
        ),
      );
    });
  });

  (['none', 'unavailable'] as const).forEach((reply) =>
    it(`is not run and may be repeated once the log's reply is ${reply}`, KNOWN_RED, async () => {
      await runFleet(async (log, callerPorts) => {
        log.setReply(reply);
        log.append(createAdditions(), 1);
        log.append([addedRoute], 0);
        await timers.setTimeout(STALE_AFTER_MS);
        const answers = await sendAll(callerPorts);
        const found = addedCalls.map(([name], index) => [name, answers[index]]);
        const isNotRun = ({ status, code, retryAfter }: Answer) =>
          status === HTTP_UNAVAILABLE && code !== 'NOT_RUN' && retryAfter !== undefined;
        assert.ok(answers.flat().every(isNotRun), JSON.stringify(found));
      });
    }),
  );

  it('is not confused with a call that the version allows, which has no target here', async () => {
    await runFleet(async (log, callerPorts) => {
      const sendAllowed = () =>
        Promise.all(
          callerPorts.map((port) => sendCall(port, 'GET', '/catalogue/1', support.API_KEY)),
        );
      log.setReply('none');
      await timers.setTimeout(STALE_AFTER_MS);
      const codes = (await sendAllowed()).map(({ code }) => code);
      assert.deepEqual(
        codes,
        callerPorts.map(() => 'NOT_RUN'),
      );
    });
  });

  it('is allowed once the log replies again and the addition is applied', async () => {
    await runFleet(async (log, callerPorts) => {
      log.setReply('unavailable');
      log.append(createAdditions(), 1);
      log.append([addedRoute], 0);
      await timers.setTimeout(STALE_AFTER_MS);
      log.setReply('records');
      const endAt = performance.now() + APPLY_TIMEOUT_MS;
      const isRefused = (answers: Answer[][]) =>
        answers.flat().some(({ code }) => code !== 'NOT_RUN');
      // eslint-disable-next-line no-await-in-loop -- polls until done
      while (isRefused(await sendAll(callerPorts))) {
        assert.ok(performance.now() < endAt, 'the addition is not in force');
        // eslint-disable-next-line no-await-in-loop -- polls until done
        await timers.setTimeout(POLL_INTERVAL_MS);
      }
    });
  });
});
