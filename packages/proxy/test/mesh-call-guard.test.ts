import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as test from 'node:test';
import * as runtime from '@figshed/runtime';
import * as byteBudgets from '../src/byte-budget.js';
import * as callGuards from '../src/mesh/call-guard.js';
import * as callerServer from '../src/mesh/caller-server.js';
import type * as context from '../src/mesh/context.js';
import * as linkUsages from '../src/mesh/link-usage.js';
import type * as localTarget from '../src/mesh/local-target.js';
import * as meshMetrics from '../src/mesh/metrics.js';
import * as meshSettings from '../src/mesh/settings.js';
import * as peerServer from '../src/mesh/peer-server.js';

const { describe, it } = test;

const ADDRESS = '127.0.242.1';
const PORT = 21_800;
const TIMEOUT_MS = 5_000;
/** Cannot be written in a head. */
const UNWRITABLE_HEADERS = ['a b', 'c'];

function createGuard(end: () => void): { guard: callGuards.CallGuard; steps: unknown[] } {
  const steps: unknown[] = [];
  const guard = callGuards.createCallGuard(
    {
      log: { error: (event: string) => steps.push(event) } as never,
      metrics: { count: (_name: string, labels: object) => steps.push(labels) } as never,
    },
    'c1',
    () => {
      steps.push('end');
      end();
    },
  );
  return { guard, steps };
}

const throwError = (): void => {
  throw new Error('fault');
};

// An exception in the callback of one call ended the process, and with it all other calls.
describe('a guard of the callbacks of a call', () => {
  it('logs and counts an exception, cleans up and ends the call', () => {
    const { guard, steps } = createGuard(() => undefined);
    guard.wrap(throwError, () => steps.push('clean-up'))();
    assert.deepEqual(steps, [{ step: 'callback' }, 'callback-failed', 'clean-up', 'end']);
  });

  it('lets no exception of the clean-up or of the end of the call through', () => {
    const { guard, steps } = createGuard(throwError);
    guard.wrapAll({ onResponse: throwError }, throwError).onResponse();
    const failures = steps.filter((step) => step === 'callback-failed');
    assert.equal(failures.length, 3);
  });

  it('passes arguments and results of functions through, and keeps other values', () => {
    const { guard, steps } = createGuard(() => undefined);
    const wrapped = guard.wrapAll({
      add: (left: number, right: number) => left + right,
      unit: 'ms',
    });
    assert.equal(wrapped.add(1, 2), 3);
    assert.equal(wrapped.unit, 'ms');
    assert.deepEqual(steps, []);
  });
});

function createContext(): context.MeshContext {
  return {
    settings: meshSettings.meshSettingsSchema.parse({
      id: 'h1',
      dataCentre: 'a',
      region: 'r',
      service: 'a',
      address: ADDRESS,
      callers: `${ADDRESS}:${PORT}`,
      ready: `${ADDRESS}:1`,
      announcements: `${ADDRESS}:2`,
      target: `${ADDRESS}:3`,
      peerPort: PORT,
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

/** Sends one request and resolves to its response. */
function sendRequest(headers: http.OutgoingHttpHeaders): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    http
      .get(
        { host: ADDRESS, port: PORT, path: '/a', agent: false, headers, timeout: TIMEOUT_MS },
        (message) => {
          message.resume();
          message.once('end', () => resolve(message));
        },
      )
      .once('timeout', function destroy(this: http.ClientRequest) {
        this.destroy(new Error('no response'));
      })
      .once('error', reject);
  });
}

describe('servers whose response to one call cannot be written', () => {
  const load = {
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
  };

  it('report an attempt of a peer as one that may have run, and close its source', async () => {
    const ctx = createContext();
    const sources: http.IncomingMessage[] = [];
    const target: Partial<localTarget.LocalTarget> = {
      getLoad: () => load,
      run(_attempt, handler) {
        const message = new http.IncomingMessage(null as never);
        sources.push(message);
        message.headers['content-length'] = '2';
        handler.onResponse({
          status: 200,
          headers: UNWRITABLE_HEADERS,
          message,
          leavingTarget: undefined,
          isComplete: () => true,
        });
        return { cancel: () => false };
      },
    };
    const server = peerServer.createPeerServer({
      ctx,
      linkUsage: linkUsages.createLinkUsage(ctx),
      target: target as localTarget.LocalTarget,
      configurationSender: { send: () => undefined },
      isStopping: () => false,
      byteBudget: byteBudgets.createByteBudget(1_000_000),
    });
    await server.start();
    try {
      const metadata = {
        callId: 'c1',
        service: 'a',
        route: 'all',
        isRepeatable: true,
        mayBeLate: false,
        rank: 0,
        objectiveMs: TIMEOUT_MS,
        deadlineMs: TIMEOUT_MS,
      };
      const { statusCode, headers } = await sendRequest({
        'x-figshed-attempt': JSON.stringify(metadata),
      });
      assert.equal(statusCode, 502);
      assert.equal(headers['x-figshed-broken'], 'internal-error');
      assert.deepEqual(
        sources.map(({ destroyed }) => destroyed),
        [true],
      );
    } finally {
      server.destroy();
    }
  });

  it('report a call as one that may have run', async () => {
    const ctx = createContext();
    const server = callerServer.createCallerServer({
      ctx,
      linkUsage: linkUsages.createLinkUsage(ctx),
      getRoutes: () => ({ findRoute: () => ({ isRepeatable: true }) }) as never,
      configuration: {} as never,
      runner: {
        run(_call, responder) {
          responder.deliver({
            status: 200,
            headers: UNWRITABLE_HEADERS,
            framing: [],
            body: Buffer.from('ok'),
          });
          return () => undefined;
        },
        expireOpenCalls: () => undefined,
      },
      admission: { admit: () => ({ type: 'admitted', account: undefined }) },
      isNested: () => false,
      byteBudget: byteBudgets.createByteBudget(1_000_000),
    });
    await server.start();
    try {
      const { statusCode } = await sendRequest({ 'call-id': 'c1' });
      assert.equal(statusCode, 502);
      assert.equal(server.countOpenCalls(), 0);
    } finally {
      server.destroy();
    }
  });
});
