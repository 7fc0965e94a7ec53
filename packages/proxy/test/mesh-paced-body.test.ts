import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as consumers from 'node:stream/consumers';
import * as test from 'node:test';
import * as runtime from '@figshed/runtime';
import * as pacedBody from '../src/mesh/paced-body.js';

const { describe, it } = test;

const BODY = Buffer.from(Array.from({ length: 10_500 }, (_, index) => index % 251));
const CHUNK_BYTES = 1_000;
const PACE = {
  getChunkBytes: () => CHUNK_BYTES,
  chunkMs: 15,
  recordPacedWrite: () => undefined,
};
/** Time for the ten chunks before the last one. */
const PACED_MS = 150;

async function withServer(
  handler: http.RequestListener,
  play: (port: number) => Promise<void>,
): Promise<void> {
  const server = http.createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  await play((server.address() as net.AddressInfo).port);
  server.closeAllConnections();
  server.close();
}

async function download(port: number): Promise<Buffer> {
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
    http.get({ host: '127.0.0.1', port, agent: false }, resolve).once('error', reject);
  });
  return consumers.buffer(response);
}

describe('body of a download on a narrow link', () => {
  it('arrives whole, and no faster than the link', async () => {
    await withServer(
      (_, response) => {
        response.writeHead(200, { 'Content-Length': BODY.length });
        pacedBody.writePacedBody(BODY, response, PACE, runtime.systemClock);
      },
      async (port) => {
        const startedAt = performance.now();
        assert.deepEqual(await download(port), BODY);
        assert.ok(performance.now() - startedAt >= PACED_MS);
      },
    );
  });

  it('is not written on after its receiver has left', async () => {
    let written = 0;
    await withServer(
      (_, response) => {
        response.writeHead(200, { 'Content-Length': BODY.length });
        const write = response.write.bind(response) as (chunk: Buffer) => boolean;
        response.write = (chunk: Buffer): boolean => {
          written += chunk.length;
          response.destroy();
          return write(chunk);
        };
        pacedBody.writePacedBody(BODY, response, PACE, runtime.systemClock);
      },
      async (port) => {
        await assert.rejects(download(port));
        assert.equal(written, CHUNK_BYTES);
      },
    );
  });
});
