/** A body is read only after its call was admitted, which may be after its sender has left. */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as byteBudgets from '../src/byte-budget.js';
import * as requestBodies from '../src/mesh/request-body.js';

const { describe, it } = test;

const ADDRESS = '127.0.224.1';
const TIMEOUT_MS = 2_000;

/** Receives the body of a request whose sender has left before; returns what comes of it. */
async function receiveLate(headers: http.OutgoingHttpHeaders, mayStream: boolean): Promise<string> {
  const server = http.createServer();
  const outcome = new Promise<string>((resolve) => {
    server.once('request', (request) => {
      request.on('error', () => undefined);
      request.socket.once('close', () => {
        setImmediate(() => {
          const received = requestBodies
            .receiveBody(request, byteBudgets.createByteBudget(1_000_000).open(1), {
              mayStream,
              maxBytes: 100_000,
            })
            .then(
              () => 'received',
              (error: Error) => error.constructor.name,
            );
          resolve(Promise.race([received, timers.setTimeout(TIMEOUT_MS, 'pending')]));
        });
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, ADDRESS, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const client = http.request({ host: ADDRESS, port, method: 'POST', headers });
  client.on('error', () => undefined);
  client.write('a');
  server.once('request', () => client.destroy());
  const result = await outcome;
  server.close();
  return result;
}

describe('a body whose sender has left before it is read', () => {
  // Without an end, the call would leave no trace in the log and stay in memory.
  it('ends with an error if its length is stated', async () => {
    assert.equal(await receiveLate({ 'content-length': 10 }, false), 'IncompleteBodyError');
  });

  it('ends with an error if it comes in chunks', async () => {
    const headers = { 'transfer-encoding': 'chunked' };
    assert.equal(await receiveLate(headers, true), 'IncompleteBodyError');
  });
});
