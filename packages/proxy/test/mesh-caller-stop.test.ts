import * as assert from 'node:assert/strict';
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
import * as meshMetrics from '../src/mesh/metrics.js';
import * as meshSettings from '../src/mesh/settings.js';

const { describe, it } = test;

const ADDRESS = '127.0.78.1';
/** More than the operating system buffers for a caller that does not read. */
const LARGE_BYTES = 12_000_000;
/** Fits into the operating system's buffer, so that it is sent although the caller does not read. */
const BUFFERED_BYTES = 1_500_000;
const PAUSE_MS = 150;
const TIMEOUT_MS = 5_000;
/** Longer than the idle time-out with its margin. */
const IDLE_MS = 2_500;
const STOP_OFFSETS_MS = [0, 5, 20, 60, 120];
const CALLERS = 5;

let port = 21_300;

interface StartedServer {
  callers: callerServer.CallerServer;
  open(options?: Partial<net.TcpNetConnectOpts>): Promise<SlowCaller>;
  lines: string[];
}

interface SlowCaller {
  socket: net.Socket;
  send(path: string): void;
  /** Resolves when the first bytes of a response have come; nothing more is read. */
  paused: Promise<void>;
  /** Reads until the connection closes. */
  readRest(): Promise<string>;
}

const routes = mesh.compileRoutes({
  version: 1,
  routes: [
    {
      name: 'all',
      host: 'shop.example',
      pathPrefix: '/',
      parts: [{ service: 'a', weight: 1 }],
      isRepeatable: true,
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

async function openCaller(options: Partial<net.TcpNetConnectOpts> = {}): Promise<SlowCaller> {
  const socket = net.connect({ port, host: ADDRESS, ...options });
  const chunks: Buffer[] = [];
  const closed = new Promise((resolve) => {
    socket.on('error', () => undefined).once('close', resolve);
  });
  const paused = new Promise<void>((resolve) => {
    socket.once('data', () => {
      socket.pause();
      resolve();
    });
  });
  socket.on('data', (chunk) => chunks.push(chunk));
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  return {
    socket,
    send: (path) => {
      socket.write(
        `GET ${path} HTTP/1.1\r\nhost: shop.example\r\ncall-id: ${path.slice(1)}\r\n\r\n`,
      );
    },
    paused,
    async readRest() {
      socket.resume();
      await closed;
      return Buffer.concat(chunks).toString('latin1');
    },
  };
}

/** Starts a server whose calls get a response of the size that their path names, in bytes. */
async function withServer(run: (server: StartedServer) => Promise<void>): Promise<void> {
  port += 1;
  const lines: string[] = [];
  const ctx: context.MeshContext = {
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
      peerPort: 4,
      metricsPort: 5,
    }),
    clock: runtime.systemClock,
    random: Math.random,
    log: runtime.createLogger({
      level: 'info',
      commonFields: {},
      now: Date.now,
      write: (text) => lines.push(text),
    }),
    metrics: meshMetrics.createMeshMetrics(),
    protocol: { callIdHeader: 'call-id' } as never,
  };
  const callers = callerServer.createCallerServer({
    linkUsage: linkUsages.createLinkUsage(ctx),
    ctx,
    getRoutes: () => routes,
    configuration: {
      checkUnknownRoute: () => ({ type: 'absent' }),
      getConfirmation: () => ({
        ageMs: 0,
        confirmedBy: 'source',
        newerVersion: undefined,
        readMs: undefined,
        isSourceReachable: true,
      }),
    },
    runner: {
      run({ path }: call.Call, responder) {
        const body = Buffer.alloc(Number(path.slice(1)), 'x');
        responder.deliver({
          status: 200,
          headers: [],
          framing: ['Content-Length', String(body.length)],
          body,
        });
        return () => undefined;
      },
      expireOpenCalls: () => undefined,
    },
    admission: { admit: () => ({ type: 'admitted', account: undefined }) },
    isNested: () => false,
    byteBudget: byteBudgets.createByteBudget(10 * LARGE_BYTES),
  });
  await callers.start();
  try {
    await run({ callers, open: openCaller, lines });
  } finally {
    callers.destroy();
  }
}

function checkWhole(text: string, bytes: number): void {
  const [head = ''] = text.split('\r\n\r\n', 1);
  assert.match(head, /^HTTP\/1.1 200 /);
  const received = text.slice(head.length + 4).replace(/HTTP\/1.1[^]*$/, '').length;
  assert.equal(received, bytes, `${received} of ${bytes} bytes arrived`);
}

describe('a server for callers that stops', () => {
  STOP_OFFSETS_MS.forEach((offsetMs) => {
    it(`cuts no response that slow callers are reading ${offsetMs} ms before`, () =>
      withServer(async ({ callers, open }) => {
        const slowCallers = await Promise.all(Array.from({ length: CALLERS }, () => open()));
        slowCallers.forEach(({ send }) => send(`/${LARGE_BYTES}`));
        await Promise.all(slowCallers.map(({ paused }) => paused));
        await timers.setTimeout(offsetMs);
        callers.close();
        await timers.setTimeout(PAUSE_MS);
        const texts = await Promise.all(slowCallers.map(({ readRest }) => readRest()));
        texts.forEach((text) => checkWhole(text, LARGE_BYTES));
        assert.equal(callers.countOpenCalls(), 0);
      }));
  });

  it('cuts no response on a connection that has served others', () =>
    withServer(async ({ callers, open }) => {
      const { socket, send, readRest } = await open();
      send('/10');
      await timers.setTimeout(PAUSE_MS);
      socket.pause();
      send(`/${LARGE_BYTES}`);
      await timers.setTimeout(PAUSE_MS);
      callers.drain(Number.POSITIVE_INFINITY);
      callers.close();
      await timers.setTimeout(PAUSE_MS);
      checkWhole((await readRest()).replace(/^HTTP[^]*?x{10}/, ''), LARGE_BYTES);
    }));

  [LARGE_BYTES, BUFFERED_BYTES].forEach((bytes) => {
    it(`cuts no response of ${bytes} bytes because calls arrive behind it`, () =>
      withServer(async ({ callers, open }) => {
        const { send, paused, readRest } = await open();
        callers.drain(Number.POSITIVE_INFINITY);
        send(`/${bytes}`);
        await paused;
        callers.close();
        send('/10');
        await timers.setTimeout(PAUSE_MS);
        send('/10');
        await timers.setTimeout(PAUSE_MS);
        checkWhole(await readRest(), bytes);
      }));
  });

  it('cuts no response on an idle connection because a call arrives after the close', () =>
    withServer(async ({ callers, open }) => {
      const { send, paused, readRest } = await open();
      send(`/${BUFFERED_BYTES}`);
      await paused;
      await timers.setTimeout(PAUSE_MS);
      callers.close();
      send('/10');
      await timers.setTimeout(PAUSE_MS);
      checkWhole(await readRest(), BUFFERED_BYTES);
    }));

  it('cuts no response because a call arrives after the idle time-out', () =>
    withServer(async ({ callers, open }) => {
      callers.setLimits({ ...routes.config.limits, idleTimeoutMs: 1 });
      const { send, paused, readRest } = await open();
      send(`/${BUFFERED_BYTES}`);
      await paused;
      await timers.setTimeout(IDLE_MS);
      send('/10');
      await timers.setTimeout(PAUSE_MS);
      checkWhole(await readRest(), BUFFERED_BYTES);
    }));

  it('disconnects a caller that goes on sending after its connection has ended', () =>
    withServer(async ({ open }) => {
      const { socket, paused, readRest } = await open({ allowHalfOpen: true });
      socket.write('no request\r\n\r\n');
      await paused;
      const rest = readRest();
      const flood = (error?: Error | null): void => {
        if (!error && !socket.destroyed) socket.write(Buffer.alloc(BUFFERED_BYTES), flood);
      };
      flood();
      assert.match(
        await Promise.race([rest, timers.setTimeout(TIMEOUT_MS, 'still connected')]),
        /^HTTP\/1.1 400 /,
      );
      assert.ok(socket.bytesWritten < LARGE_BYTES, `${socket.bytesWritten} bytes were taken`);
    }));

  it('cuts no response because the caller has ended its side', () =>
    withServer(async ({ callers, open }) => {
      const { socket, send, paused, readRest } = await open();
      send(`/${LARGE_BYTES}`);
      await paused;
      callers.close();
      socket.end();
      await timers.setTimeout(PAUSE_MS);
      checkWhole(await readRest(), LARGE_BYTES);
    }));

  it('closes an idle connection at once and answers a call whose head is arriving', () =>
    withServer(async ({ callers, open }) => {
      const idle = await open();
      idle.send('/10');
      const half = await open();
      half.send('/10');
      await timers.setTimeout(PAUSE_MS);
      half.socket.write('GET /10 HTTP/1.1\r\nhost: shop.example\r\n');
      await timers.setTimeout(PAUSE_MS);
      callers.close();
      checkWhole(await idle.readRest(), 10);
      half.socket.write('call-id: late\r\n\r\n');
      assert.match(await half.readRest(), /x{10}HTTP\/1.1 503 /);
    }));
});
