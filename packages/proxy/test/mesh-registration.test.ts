import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import type * as context from '../src/mesh/context.js';
import * as registrations from '../src/mesh/registration.js';

const { describe, it } = test;

const ENDPOINT = { address: '10.0.0.1', port: 7_600 };
/** Time of two retries, of 250 and 500 ms, and some margin. */
const TWO_RETRIES_MS = 1_000;

interface Setup {
  calls: string[];
  registration: registrations.Registration;
}

function createSetup(failingWrites: number): Setup {
  const calls: string[] = [];
  let remainingFailures = failingWrites;
  const write = (name: string): Promise<void> => {
    calls.push(name);
    remainingFailures -= 1;
    return remainingFailures >= 0 ? Promise.reject(new Error('refused')) : Promise.resolve();
  };
  const ctx = {
    log: runtime.createLogger({
      level: 'error',
      commonFields: {},
      now: Date.now,
      write: () => undefined,
    }),
    metrics: { count: () => undefined },
    random: () => 0.1,
  } as unknown as context.MeshContext;
  const registration = registrations.createRegistration({
    ctx,
    endpoint: ENDPOINT,
    hostRegistry: {
      register: () => write('register'),
      renew: () => write('renew'),
      deregister: () => write('deregister'),
      list: (): Promise<core.Endpoint[]> => {
        calls.push('list');
        return Promise.resolve([]);
      },
    },
    onList: () => undefined,
  });
  return { calls, registration };
}

describe('registration of a process', () => {
  it('lists the hosts also while it cannot register, and again once it has', async () => {
    const { calls, registration } = createSetup(2);
    registration.start();
    await timers.setTimeout(TWO_RETRIES_MS);
    registration.stop();
    assert.deepEqual(calls, ['register', 'list', 'renew', 'renew', 'list']);
  });

  it('renews once for several rises in quick succession', async () => {
    const { calls, registration } = createSetup(0);
    registration.start();
    registration.renew();
    registration.renew();
    await timers.setTimeout(TWO_RETRIES_MS);
    registration.stop();
    assert.deepEqual(
      calls.filter((name) => name !== 'list'),
      ['register', 'renew'],
    );
    assert.equal(calls.at(-1), 'list');
  });

  it('reads the registry at a rate that does not grow with a large fleet', () => {
    const countReadingsPerSecond = (hosts: number): number =>
      (hosts * 1_000) / registrations.computeRelistDelayMs(hosts, () => 0);
    assert.ok(countReadingsPerSecond(24) < 2);
    assert.equal(countReadingsPerSecond(200), countReadingsPerSecond(1_068));
  });

  it('writes nothing after a stop', async () => {
    const { calls, registration } = createSetup(5);
    registration.start();
    registration.renew();
    registration.stop();
    await timers.setTimeout(TWO_RETRIES_MS);
    assert.deepEqual(calls, ['register']);
  });
});
