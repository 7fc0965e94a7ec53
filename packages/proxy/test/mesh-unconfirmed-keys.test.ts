/** When a process may say that a key or a route is unknown, although a newer version may have it. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as core from '@figshed/core';
import * as configurationTask from '../src/mesh/configuration-task.js';
import * as meshMetrics from '../src/mesh/metrics.js';

const { describe, it } = test;

const SETTLE_MS = 50;
const OWN_VERSION = 1;
const NEWER_VERSION = 2;
const member = { id: 'peer', info: { dataCentre: 'a', region: 'r' } } as core.Member;

/** A task with a version in force, on clocks that the test sets, whose peers cannot be fetched from. */
function createTask(settings: object) {
  const times = { now: 1_000_000, monotonic: 10_000 };
  const ignore = (): void => undefined;
  const task = configurationTask.createConfigurationTask({
    ctx: {
      settings: {
        id: 'own',
        dataCentre: 'a',
        region: 'r',
        applyWithinMs: 2_000,
        ...settings,
      } as never,
      clock: { now: () => times.now, monotonic: () => times.monotonic },
      random: () => 0,
      log: { debug: ignore, info: ignore, warn: ignore, error: ignore } as never,
      metrics: meshMetrics.createMeshMetrics(),
      protocol: {} as never,
    },
    source: { read: () => Promise.resolve([]) },
    getMembers: () => ({ list: () => [], sendVersion: ignore, requestProof: ignore }),
    fetchFromPeer: () => Promise.reject(new Error('connection closed')),
    getVersion: () => OWN_VERSION,
    applyConfig: ignore,
  });
  const pass = (ms: number): void => {
    times.now += ms;
    times.monotonic += ms;
  };
  const recordProof = (): void =>
    task.recordProof(member, {
      version: OWN_VERSION,
      askedAt: times.monotonic,
      provenAt: times.monotonic,
    });
  pass(1);
  return { task, times, pass, recordProof };
}

describe('an unknown key or route', () => {
  it('is undecided after a suspension, in which a newer version may have come into force', () => {
    const { task, times, recordProof } = createTask({ revokeWithinMs: 5_000 });
    recordProof();
    assert.equal(task.checkUnknownRoute().type, 'absent');
    // The monotonic clock stands still in a suspension.
    times.now += 10_000;
    assert.equal(task.checkUnknownRoute().type, 'undecided');
  });

  it('is undecided while a newer version is known, though it could not be fetched', async () => {
    const { task, pass, recordProof } = createTask({ revokeWithinMs: 5_000 });
    recordProof();
    pass(100);
    task.recordVersion(member, NEWER_VERSION, undefined);
    await timers.setTimeout(SETTLE_MS);
    assert.equal(task.checkUnknownRoute().type, 'undecided');
    assert.equal(task.getConfirmation().newerVersion, NEWER_VERSION);
  });

  it('is absent again once a later proof contradicts a member that claimed a newer version', async () => {
    const { task, pass, recordProof } = createTask({ revokeWithinMs: 5_000 });
    task.recordVersion(member, NEWER_VERSION, undefined);
    await timers.setTimeout(SETTLE_MS);
    pass(100);
    recordProof();
    assert.equal(task.checkUnknownRoute().type, 'absent');
  });
});
