import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as consumers from 'node:stream/consumers';
import * as test from 'node:test';
import * as runtime from '@figshed/runtime';
import * as byteBudgets from '../src/byte-budget.js';
import * as constants from '../src/mesh/constants.js';
import * as linkUsages from '../src/mesh/link-usage.js';
import type * as localTarget from '../src/mesh/local-target.js';
import * as meshMetrics from '../src/mesh/metrics.js';
import * as meshSettings from '../src/mesh/settings.js';
import * as peerServer from '../src/mesh/peer-server.js';
import * as upstreamResponse from '../src/mesh/upstream-response.js';

const { describe, it } = test;

const ADDRESS = '127.0.241.1';
const PORT = 21_750;
const LINK_MBPS = 4.9;
/** Greatest share of the link for large responses. */
const PACED_SHARE = 0.7;
const LARGE = Buffer.from(Array.from({ length: 60_000 }, (_, index) => index % 251));
const SMALL = Buffer.from('small');
const LARGE_RESPONSES = 6;
/** Time that a link of this width needs for all but one of the large responses. */
const MIN_TRANSFER_MS =
  ((LARGE_RESPONSES - 1) * LARGE.length) / ((LINK_MBPS * 1_000 * PACED_SHARE) / 8);

/** Time that a link of this width needs for the least that is streamed. */
const MIN_UPLOAD_MS =
  constants.MAX_BUFFERED_REQUEST_BYTES / ((LINK_MBPS * 1_000 * constants.UPLOAD_LINK_SHARE) / 8);
/** Timers may fire this much early. */
const TIMER_SLACK_MS = 5;

const bodies: Record<string, Buffer> = { '/large': LARGE, '/small': SMALL };

function createContext(): Parameters<typeof peerServer.createPeerServer>[0]['ctx'] {
  return {
    settings: meshSettings.meshSettingsSchema.parse({
      id: 'h1',
      dataCentre: 'a',
      region: 'r',
      service: 'a',
      address: ADDRESS,
      callers: `${ADDRESS}:1`,
      ready: `${ADDRESS}:2`,
      announcements: `${ADDRESS}:3`,
      target: `${ADDRESS}:4`,
      peerPort: PORT,
      metricsPort: 5,
      linkMbps: LINK_MBPS,
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

/** Passes each repeatable attempt on to the target, and asks for the body of any other. */
function createLocalTarget(targetPort: number): localTarget.LocalTarget {
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
    run(attempt, handler) {
      if (!attempt.isRepeatable) {
        handler.provideBody().catch(() => undefined);
        return { cancel: () => false };
      }
      const request = http.get({ host: ADDRESS, port: targetPort, path: attempt.path });
      request.once('response', (message) =>
        handler.onResponse({
          status: 200,
          headers: [],
          message,
          leavingTarget: undefined,
          isComplete: upstreamResponse.trackCompletion(request, message),
        }),
      );
      return { cancel: () => false };
    },
  };
  return target as localTarget.LocalTarget;
}

function formatAttempt(route: string, fields: object): string {
  return JSON.stringify({
    callId: 'c',
    service: 'a',
    route,
    mayBeLate: false,
    rank: 0,
    objectiveMs: 5_000,
    deadlineMs: 5_000,
    ...fields,
  });
}

/** Starts to send a streamed body; resolves to the time at which the server asks for it. */
async function startUpload(): Promise<number> {
  const request = http.request({
    host: ADDRESS,
    port: PORT,
    method: 'POST',
    path: '/upload',
    agent: false,
    headers: {
      'x-figshed-attempt': formatAttempt('/upload', { isRepeatable: false, isStreamed: true }),
      expect: '100-continue',
      'transfer-encoding': 'chunked',
    },
  });
  request.on('error', () => undefined);
  request.flushHeaders();
  await new Promise((resolve) => {
    request.once('continue', resolve);
  });
  const askedAt = performance.now();
  request.destroy();
  return askedAt;
}

async function fetchBody(path: string): Promise<Buffer> {
  const attemptHeader = formatAttempt(path, { isRepeatable: true, isStreamed: false });
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
    http
      .get(
        {
          host: ADDRESS,
          port: PORT,
          path,
          agent: false,
          headers: { 'x-figshed-attempt': attemptHeader },
        },
        resolve,
      )
      .once('error', reject);
  });
  assert.equal(response.statusCode, 200);
  return consumers.buffer(response);
}

/** Runs a peer server on a narrow link whose target states no length in its responses. */
async function withPeerServer(play: () => Promise<void>): Promise<void> {
  const target = http.createServer((request, response) => {
    // Without a length, Node.js sends the body in chunks.
    response.write(bodies[request.url ?? '']);
    response.end();
  });
  await new Promise<void>((resolve) => {
    target.listen(0, ADDRESS, resolve);
  });
  const ctx = createContext();
  const server = peerServer.createPeerServer({
    linkUsage: linkUsages.createLinkUsage(ctx),
    ctx,
    target: createLocalTarget((target.address() as net.AddressInfo).port),
    configurationSender: { send: () => undefined },
    isStopping: () => false,
    byteBudget: byteBudgets.createByteBudget(LARGE.length * LARGE_RESPONSES),
  });
  await server.start();
  try {
    await play();
  } finally {
    server.destroy();
    target.closeAllConnections();
    target.close();
  }
}

describe('responses whose length the target does not state', () => {
  it('are sent no faster than the link, while small ones pass them', async () => {
    await withPeerServer(async () => {
      const startedAt = performance.now();
      let downloaded = 0;
      const downloads = Array.from({ length: LARGE_RESPONSES }, async () => {
        assert.deepEqual(await fetchBody('/large'), LARGE);
        downloaded += 1;
      });
      assert.deepEqual(await fetchBody('/small'), SMALL);
      assert.ok(downloaded <= LARGE_RESPONSES / 2, `${downloaded} large ones came first`);
      await Promise.all(downloads);
      const transferMs = performance.now() - startedAt;
      assert.ok(
        transferMs >= MIN_TRANSFER_MS,
        `${LARGE_RESPONSES} bodies took ${Math.round(transferMs)} of ${Math.round(MIN_TRANSFER_MS)} ms`,
      );
    });
  });
});

describe('streamed request bodies whose length the caller does not state', () => {
  it('are requested one after another, as far apart as the link needs for the least of them', async () => {
    await withPeerServer(async () => {
      const askedAt = await Promise.all([startUpload(), startUpload()]);
      const betweenMs = Math.abs((askedAt[1] ?? 0) - (askedAt[0] ?? 0));
      assert.ok(
        betweenMs >= MIN_UPLOAD_MS - TIMER_SLACK_MS,
        `${Math.round(betweenMs)} of ${Math.round(MIN_UPLOAD_MS)} ms`,
      );
    });
  });
});
