/** Guards against a crowd of bodies within the limit of one, of which the process holds all at once. */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as context from '../src/context.js';
import * as peerHttpServer from '../src/egress/peer-http-server.js';
import * as callerServer from '../src/ingress/caller-server.js';
import * as support from './support.js';

const { describe, it } = test;

const BODY_BYTES = 400_000;
const MAX_HELD_BYTES = 2_000_000;
const CROWD = 20;
const SETTLE_MS = 500;

interface Sender {
  socket: net.Socket;
  received: string;
}

function send(port: number, head: string, bytes: number, statedBytes: number): Sender {
  const socket = net.connect(port, support.ADDRESS);
  const sender: Sender = { socket, received: '' };
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    sender.received += chunk.toString();
  });
  socket.write(`${head}content-length: ${statedBytes}\r\n\r\n`);
  socket.write(Buffer.alloc(bytes, 'x'));
  return sender;
}

function createCallers(ctx: context.Context): context.Task {
  return callerServer.createCallerServer(ctx, {
    getConfig: support.createConfig,
    runner: { run: () => undefined },
    orders: {} as never,
    limits: {} as never,
    isQuarantined: () => false,
  });
}

function createPeers(ctx: context.Context): context.Task {
  return peerHttpServer.createPeerHttpServer(ctx, {
    run(_request: unknown, handler: { onFailure(failure: object): void }) {
      handler.onFailure({ outcome: 'not-run', reason: 'test' });
      return { cancel: () => undefined, pause: () => undefined, resume: () => undefined };
    },
  } as never);
}

describe('bodies just short of their end', () => {
  const servers: readonly [string, (ctx: context.Context) => context.Task, string][] = [
    ['calls', createCallers, 'POST /catalogue/7 HTTP/1.1\r\nhost: a\r\n'],
    ['attempts', createPeers, support.formatAttempt().slice(0, -2)],
  ];
  servers.forEach(([name, createServer, head]) => {
    it(`of ${name} are held within the limit, and leave room for a small one`, async () => {
      const port = await support.findFreePort();
      const ctx = support.createContext({ callerPort: port, peerPort: port });
      const { settings } = ctx;
      const routing = { ...settings.routing, maxHeldBytes: MAX_HELD_BYTES };
      const server = createServer({ ...ctx, settings: { ...settings, routing } });
      await server.start();
      const crowd = Array.from({ length: CROWD }, () =>
        send(port, head, BODY_BYTES - 1, BODY_BYTES),
      );
      try {
        await timers.setTimeout(SETTLE_MS);
        const held = crowd.filter(({ socket, received }) => !socket.destroyed && received === '');
        assert.ok(
          held.length * BODY_BYTES <= MAX_HELD_BYTES,
          `${held.length} bodies of ${BODY_BYTES} bytes are held`,
        );
        const small = send(port, head, 1, 1);
        await timers.setTimeout(SETTLE_MS);
        assert.match(small.received, /^HTTP\/1\.1 /, 'the small one got no response');
        assert.doesNotMatch(small.received, /NO_ROOM|no-room/, 'the small one was refused');
        small.socket.destroy();
      } finally {
        crowd.forEach(({ socket }) => socket.destroy());
        await server.stop();
      }
    });
  });
});
