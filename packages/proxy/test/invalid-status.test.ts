/**
 * Responses of a target with an invalid status, on the product's own call path. They must fail the attempt:
 * a caller of another system got the status 000 of a failing target as its response.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { describe, it } from 'node:test';
import * as targetEgress from '../src/egress/egress.js';
import * as peerHttpServer from '../src/egress/peer-http-server.js';
import * as support from './support.js';

const RESPONSE_TIMEOUT_MS = 2_000;
const STATUSES = [
  '000 Odd',
  '000',
  '001 Odd',
  '099 Odd',
  '1000 Odd',
  '+20 Odd',
  '2 Odd',
  '20x Odd',
];
const LENGTH_AND_BODY = 'content-length: 2\r\n\r\nok';
const RESPONSES: readonly [string, string][] = [
  ...STATUSES.map((status): [string, string] => [
    status,
    `HTTP/1.1 ${status}\r\n${LENGTH_AND_BODY}`,
  ]),
  // It must not be skipped like an informational response, with the one behind it passed on.
  ...['000 Odd', '099 Odd'].map((status): [string, string] => [
    `${status}, followed by a complete response`,
    `HTTP/1.1 ${status}\r\n\r\nHTTP/1.1 200 OK\r\n${LENGTH_AND_BODY}`,
  ]),
];

async function requestStatus(port: number, bytes: string): Promise<string> {
  const socket = net.connect(port, support.ADDRESS);
  socket.setTimeout(RESPONSE_TIMEOUT_MS, () => socket.destroy(new Error('no response')));
  socket.write(bytes, 'latin1');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.once('close', () => reject(new Error('closed without a response')));
    socket.once('data', (chunk) => {
      resolve(chunk.toString('latin1').split(' ')[1] ?? '');
      socket.destroy();
    });
  });
}

describe('a target whose response has an invalid status', () => {
  RESPONSES.forEach(([name, response]) => {
    it(`fails the attempt, whose slot is free again: ${name}`, async () => {
      const target = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', () => socket.write(response));
      });
      const port = await support.listen(target);
      const ctx = support.createContext({ peerPort: await support.findFreePort() });
      const egress = targetEgress.createEgress(ctx, {
        onConnectionFailure: () => undefined,
        onCompleted: () => undefined,
        isQuarantined: () => false,
      });
      egress.setTarget({
        address: support.ADDRESS,
        port,
        service: 'catalogue',
        slots: 1,
        connections: 1,
        state: 'up',
      } as never);
      const peers = peerHttpServer.createPeerHttpServer(ctx, egress);
      await peers.start();
      try {
        const { peerPort } = ctx.settings.listen;
        assert.equal(await requestStatus(peerPort, support.formatAttempt()), '502');
        assert.equal(egress.countInFlight(), 0);
      } finally {
        await peers.stop();
        target.close();
      }
    });
  });
});
