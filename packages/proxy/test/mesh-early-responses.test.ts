import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as mesh from '@figshed/core/mesh';
import * as runtime from '@figshed/runtime';
import * as byteBudgets from '../src/byte-budget.js';
import type * as call from '../src/mesh/call.js';
import * as callerServer from '../src/mesh/caller-server.js';
import type * as context from '../src/mesh/context.js';
import * as linkUsages from '../src/mesh/link-usage.js';
import type * as localTarget from '../src/mesh/local-target.js';
import * as meshMetrics from '../src/mesh/metrics.js';
import * as meshSettings from '../src/mesh/settings.js';
import * as peerServer from '../src/mesh/peer-server.js';
import * as requestBodies from '../src/mesh/request-body.js';
import type * as types from '../src/mesh/types.js';
import * as upstreamResponse from '../src/mesh/upstream-response.js';

const { describe, it } = test;

const ADDRESS = '127.0.240.1';
/** More than is buffered, so that the body is streamed. */
const BODY_BYTES = 600_000;
const SENT_BYTES = 300_000;
/** More than the time after which an unread body ends its connection. */
const LATER_MS = 2_300;
const TIMEOUT_MS = 5_000;

let port = 21_700;

type EndAttempt = (request: http.ClientRequest, callbacks: Callbacks) => void;

interface Callbacks {
  respond(upstream: upstreamResponse.UpstreamResponse): void;
  refuse(): void;
  fail(): void;
}

const respondEarly: EndAttempt = (request, { respond }) => {
  request.once('response', (message) =>
    respond({
      status: 413,
      headers: [],
      message,
      leavingTarget: undefined,
      isComplete: upstreamResponse.trackCompletion(request, message),
    }),
  );
};

const refuseEarly: EndAttempt = (request, { refuse }) => {
  request.once('response', (message) => {
    message.resume();
    refuse();
  });
};

const failEarly: EndAttempt = (request, { fail }) => {
  request.once('response', () => {
    request.destroy();
    fail();
  });
};

const routes = mesh.compileRoutes({
  version: 1,
  routes: [
    {
      name: 'all',
      host: 'shop.example',
      pathPrefix: '/',
      parts: [{ service: 'a', weight: 1 }],
      isRepeatable: false,
      timeoutMs: TIMEOUT_MS,
      objectiveMs: TIMEOUT_MS,
      rank: 0,
      maxAttempts: 1,
    },
  ],
  services: [{ name: 'a', healthPath: '/', maxConnections: 100 }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: TIMEOUT_MS,
    idleTimeoutMs: TIMEOUT_MS,
  },
});

function createContext(): context.MeshContext {
  return {
    settings: meshSettings.meshSettingsSchema.parse({
      id: 'h1',
      dataCentre: 'a',
      region: 'r',
      service: 'a',
      address: ADDRESS,
      callers: `${ADDRESS}:${port}`,
      ready: `${ADDRESS}:1`,
      announcements: `${ADDRESS}:2`,
      target: `${ADDRESS}:3`,
      peerPort: port,
      metricsPort: 5,
    }),
    clock: runtime.systemClock,
    random: Math.random,
    log: runtime.createLogger({
      level: 'error',
      commonFields: {},
      now: Date.now,
      write: () => undefined,
    }),
    metrics: meshMetrics.createMeshMetrics(),
    protocol: { callIdHeader: 'call-id' } as never,
  };
}

/** Streams a body to a target that responds at its first byte; `endAttempt` handles the response. */
function streamBody(
  targetPort: number,
  body: requestBodies.RequestBody,
  endAttempt: EndAttempt,
  callbacks: Callbacks,
): void {
  const request = http.request({
    host: ADDRESS,
    port: targetPort,
    method: 'POST',
    agent: false,
    // A target that closes the connection with unread bytes would reset it, and its response be lost.
    headers: { 'content-length': BODY_BYTES, connection: 'keep-alive' },
  });
  request.on('error', () => undefined);
  endAttempt(request, callbacks);
  requestBodies.writeBody(body, request);
}

interface TestServer {
  start(): Promise<void>;
  destroy(): void;
}

function createPeers(targetPort: number, endAttempt: EndAttempt): TestServer {
  const target: Partial<localTarget.LocalTarget> = {
    getLoad: () => ({
      running: 0,
      waiting: 0,
      late: 0,
      slots: 1,
      serviceMs: 1,
      startDelayMs: 0,
      remainingMs: 0,
      lateRemainingMs: 0,
      unitMs: 0,
      failureShare: 0,
    }),
    run(_attempt: types.Attempt, handler: types.AttemptHandler) {
      const stream = async (): Promise<void> => {
        const body = await handler.provideBody();
        if (!body) return;
        streamBody(targetPort, body, endAttempt, {
          respond: (upstream) => handler.onResponse(upstream),
          refuse: () => handler.onRefused('target-refused', 0),
          fail: () => handler.onBroken('test'),
        });
      };
      stream().catch(() => undefined);
      return { cancel: () => false };
    },
  };
  const ctx = createContext();
  return peerServer.createPeerServer({
    linkUsage: linkUsages.createLinkUsage(ctx),
    ctx,
    target: target as localTarget.LocalTarget,
    configurationSender: { send: () => undefined },
    isStopping: () => false,
    byteBudget: byteBudgets.createByteBudget(BODY_BYTES),
  });
}

function createCallers(targetPort: number, endAttempt: EndAttempt): TestServer {
  const ctx = createContext();
  return callerServer.createCallerServer({
    linkUsage: linkUsages.createLinkUsage(ctx),
    ctx,
    getRoutes: () => routes,
    configuration: {} as never,
    runner: {
      run({ body }: call.Call, responder) {
        streamBody(targetPort, body, endAttempt, {
          respond: (upstream) => responder.stream(upstream, []),
          refuse: () => responder.refuse(503, 0),
          fail: () => responder.refuse(502, 0),
        });
        return () => undefined;
      },
      expireOpenCalls: () => undefined,
    },
    admission: { admit: () => ({ type: 'admitted', account: undefined }) },
    isNested: () => false,
    byteBudget: byteBudgets.createByteBudget(BODY_BYTES),
  });
}

const attemptHeader = JSON.stringify({
  callId: 'c',
  service: 'a',
  route: 'all',
  isRepeatable: false,
  mayBeLate: false,
  rank: 0,
  objectiveMs: TIMEOUT_MS,
  deadlineMs: TIMEOUT_MS,
  isStreamed: true,
});
const HEAD =
  'POST /a HTTP/1.1\r\nhost: shop.example\r\ncall-id: c\r\nexpect: 100-continue\r\n' +
  `x-figshed-attempt: ${attemptHeader}\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;

/** Sends two calls on one connection, the rest of the first one's body after its response. */
async function sendTwoCalls(): Promise<void> {
  const socket = net.connect(port, ADDRESS);
  let received = '';
  let isClosed = false;
  socket
    .on('error', () => undefined)
    .once('close', () => {
      isClosed = true;
    });
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  const countHeads = (): number => received.split(/HTTP\/1\.1 [2-5]/).length - 1;
  const waitForHeads = async (count: number): Promise<void> => {
    const giveUpAt = performance.now() + TIMEOUT_MS;
    while (countHeads() < count) {
      assert.ok(!isClosed, 'the connection was closed');
      assert.ok(performance.now() < giveUpAt, `${count} responses did not come: ${received}`);
      // eslint-disable-next-line no-await-in-loop -- a poll
      await timers.setTimeout(5);
    }
  };
  try {
    socket.write(HEAD);
    socket.write(Buffer.alloc(SENT_BYTES, 97));
    await waitForHeads(1);
    socket.write(Buffer.alloc(BODY_BYTES - SENT_BYTES, 97));
    socket.write(HEAD);
    socket.write(Buffer.alloc(BODY_BYTES, 97));
    await waitForHeads(2);
    await timers.setTimeout(LATER_MS);
    assert.ok(!isClosed, 'the connection was closed later');
  } finally {
    socket.destroy();
  }
}

async function withServers(
  createServer: (targetPort: number, endAttempt: EndAttempt) => TestServer,
  endAttempt: EndAttempt,
): Promise<void> {
  port += 1;
  const target = http.createServer((request, response) => {
    request.once('data', () => response.writeHead(413, { 'content-length': 0 }).end());
  });
  await new Promise<void>((resolve) => {
    target.listen(0, ADDRESS, resolve);
  });
  const server = createServer((target.address() as net.AddressInfo).port, endAttempt);
  await server.start();
  try {
    await sendTwoCalls();
  } finally {
    server.destroy();
    target.closeAllConnections();
    target.close();
  }
}

describe('a streamed body whose response comes before its end', () => {
  const servers = [
    ['a call', createCallers],
    ['an attempt', createPeers],
  ] as const;
  const ends = [
    ['is answered', respondEarly],
    ['is refused', refuseEarly],
    ['fails', failEarly],
  ] as const;
  servers.forEach(([name, createServer]) =>
    ends.forEach(([end, endAttempt]) => {
      it(`is read to its end, and ${name} after it on the connection is served: ${end}`, () =>
        withServers(createServer, endAttempt));
    }),
  );
});
