import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as context from '../src/context.js';
import type * as targetEgress from '../src/egress/egress.js';
import * as byteBudgets from '../src/byte-budget.js';
import * as egressHttp from '../src/egress/egress-http.js';
import * as support from './support.js';

const { describe, it } = test;

const SETTLE_MS = 100;
const SERVER_ADDRESS = '127.0.0.1';

/** Starts a server for attempts, sends one, and returns how many were started. */
async function countStartedAttempts(afterSending: (socket: net.Socket) => void): Promise<number> {
  let started = 0;
  const ctx = {
    settings: { routing: { maxBodyBytes: 1_024 } },
    clock: { now: () => 0, monotonic: () => 0 },
    reportError(_operation: string, error: unknown) {
      throw error;
    },
  } as unknown as context.Context;
  const egress = {
    run(_request, handler) {
      started += 1;
      handler.onFailure({ outcome: 'not-run', reason: 'test' });
      return { cancel: () => undefined, pause: () => undefined, resume: () => undefined };
    },
  } as Partial<targetEgress.Egress> as targetEgress.Egress;
  const byteBudget = byteBudgets.createByteBudget(1_024);
  const server = http.createServer((request, response) =>
    egressHttp.handleAttempt(ctx, { egress, byteBudget }, request, response),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, SERVER_ADDRESS, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, SERVER_ADDRESS);
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  // Lets the server accept the connection, so that it reads the request and the close from it.
  await timers.setTimeout(SETTLE_MS);
  socket.write(support.formatAttempt());
  afterSending(socket);
  await timers.setTimeout(SETTLE_MS);
  socket.destroy();
  server.close();
  return started;
}

describe('attempts from other proxies', () => {
  it('are not started when their connection was closed before they were read', async () => {
    assert.equal(await countStartedAttempts((socket) => socket.destroy()), 0);
  });

  it('are started while their connection is open', async () => {
    assert.equal(await countStartedAttempts(() => undefined), 1);
  });
});
