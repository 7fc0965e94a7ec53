import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as types from '../src/calls/types.js';
import * as targetEgress from '../src/egress/egress.js';
import * as callRunner from '../src/ingress/call-runner.js';
import * as support from './support.js';

const { describe, it } = test;

const BODY_BYTES = 16_000_000;
const TIMEOUT_MS = 3_000;
const order: types.OrderClaim = { orderKey: 'acme/1', claimId: 'claim-1' };

describe('an order whose caller disconnects while its response waits for the caller', () => {
  it('releases its slot at the target', async () => {
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
    egress.setTarget({
      service: 'catalogue',
      address: support.ADDRESS,
      port,
      slots: 1,
      connections: 1,
      state: 'up',
    });
    const ending = new Promise<string>((resolve) => {
      const deadlineAt = ctx.clock.monotonic() + TIMEOUT_MS;
      let isDisconnected = false;
      const attempt = egress.run(
        { ...support.attemptRequest, deadlineAt, order },
        {
          onLoad: () => undefined,
          onHead: () => undefined,
          onData() {
            if (isDisconnected) return;
            isDisconnected = true;
            attempt.pause();
            setImmediate(() => attempt.cancel());
          },
          onEnd: () => resolve('end'),
          onFailure: ({ reason }) => resolve(reason),
        },
      );
    });
    const timeout = timers.setTimeout(TIMEOUT_MS, 'still running', { ref: false });
    const result = await Promise.race([ending, timeout]);
    egress.disconnectTarget();
    server.close();
    server.closeAllConnections();
    assert.equal(result, 'end');
    assert.equal(egress.countInFlight(), 0);
  });

  it('is read to its end by the proxy of the caller', () => {
    const ctx = support.createContext();
    const config = support.createConfig();
    let resumeCount = 0;
    let disconnect = (): void => undefined;
    const runner = callRunner.createCallRunner(ctx, {
      targetTable: {
        chooseTarget: () => ({ id: 'host-1', reason: 'local', passedOver: [] }),
        recordSent: () => undefined,
      },
      retryBudget: { recordCall: () => undefined },
      getMember: () => ({ id: 'host-1', info: { instance: 'instance-1' } }),
      isLocal: () => true,
      runLocal: () => ({
        cancel: () => undefined,
        pause: () => undefined,
        resume() {
          resumeCount += 1;
        },
      }),
    } as unknown as callRunner.CallRunnerDependencies);
    const writer = {
      getResumePoint: () => undefined,
      onDrain: () => undefined,
      onClose(handler: () => void) {
        disconnect = handler;
      },
    };
    const call = {
      ...support.attemptRequest,
      callId: 'call-1',
      allowed: {
        type: 'allowed',
        contract: config.contracts.get('acme'),
        service: config.services.get('catalogue'),
        requestKind: { idempotent: false },
        weight: 1,
      },
      order,
    };
    runner.run(call as never, writer as never, () => undefined);
    disconnect();
    assert.equal(resumeCount, 1);
  });
});
