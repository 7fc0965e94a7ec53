import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as types from '../src/calls/types.js';
import * as targetEgress from '../src/egress/egress.js';
import * as support from './support.js';

const { describe, it } = test;

const BODY_BYTES = 16_000_000;
const READ_PAUSE_MS = 100;

describe('a response that is being received when its target changes', () => {
  const changes: readonly [
    string,
    (target: targetEgress.AnnouncedTarget) => typeof target | null,
  ][] = [
    ['withdraws', () => null],
    ['moves to another port', (target) => ({ ...target, port: target.port + 1 })],
  ];
  changes.forEach(([name, change]) => {
    it(`is received whole: the target ${name}`, async () => {
      const server = http.createServer((_request, response) => {
        response.end(Buffer.alloc(BODY_BYTES, 'x'));
      });
      const port = await support.listen(server);
      const ctx = support.createContext();
      const egress = targetEgress.createEgress(ctx, {
        onConnectionFailure: () => undefined,
        isQuarantined: () => false,
        onCompleted: () => undefined,
      });
      const target: targetEgress.AnnouncedTarget = {
        service: 'catalogue',
        address: support.ADDRESS,
        port,
        slots: 1,
        connections: 1,
        state: 'up',
      };
      egress.setTarget(target);
      let receivedBytes = 0;
      const ending = await new Promise<string>((resolve) => {
        let attempt: types.Attempt | undefined;
        const handler: types.AttemptHandler = {
          onLoad: () => undefined,
          onHead: () => undefined,
          onData(chunk) {
            const isFirst = receivedBytes === 0;
            receivedBytes += chunk.length;
            if (!isFirst) return;
            // A caller that reads slowly.
            attempt?.pause();
            timers
              .setTimeout(READ_PAUSE_MS)
              .then(() => egress.setTarget(change(target)))
              .then(() => attempt?.resume())
              .catch((error: Error) => resolve(error.message));
          },
          onEnd: () => resolve('end'),
          onFailure: ({ reason }) => resolve(reason),
        };
        attempt = egress.run(
          { ...support.attemptRequest, deadlineAt: ctx.clock.monotonic() + 5_000 },
          handler,
        );
      });
      egress.setTarget(null);
      server.close();
      server.closeAllConnections();
      assert.deepEqual({ ending, receivedBytes }, { ending: 'end', receivedBytes: BODY_BYTES });
    });
  });
});
