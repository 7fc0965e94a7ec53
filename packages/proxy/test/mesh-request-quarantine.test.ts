import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as core from '@figshed/core';
import type * as context from '../src/mesh/context.js';
import * as requestQuarantine from '../src/mesh/request-quarantine.js';

const { describe, it } = test;

const TTL_MS = 600_000;
const REQUEST = {
  service: 's',
  method: 'GET',
  path: '/a',
  headers: ['host', 'a.example', 'caller', 's'],
  body: Buffer.alloc(0),
};

interface Fixture {
  quarantine: requestQuarantine.RequestQuarantine;
  advance: (ms: number) => void;
}

function createFixture(hostId = 'h1'): Fixture {
  let now = 0;
  const ctx = {
    settings: { id: hostId },
    clock: { now: () => now, monotonic: () => now },
    log: { info: () => undefined, warn: () => undefined },
    metrics: { count: () => undefined },
    protocol: { callerServiceHeader: 'caller' },
  } as unknown as context.MeshContext;
  const quarantine = requestQuarantine.createRequestQuarantine({
    ctx,
    listHostIds: () => ['another'],
    onChange: () => undefined,
  });
  return {
    quarantine,
    advance(ms) {
      now += ms;
    },
  };
}

describe('the quarantine of a host', () => {
  it('ends although the hosts of the crashes still report them', () => {
    const { quarantine, advance } = createFixture();
    const fingerprints = [quarantine.computeFingerprint(REQUEST)];
    const members = ['t-1|1', 't-2|1'].map(
      (target) => ({ crashes: [{ target, fingerprints }] }) as unknown as core.MemberInfo,
    );
    members.forEach((info) => quarantine.applyMember(info));
    assert.equal(quarantine.check(REQUEST).type, 'quarantined');
    advance(TTL_MS + 1);
    members.forEach((info) => quarantine.applyMember(info));
    assert.equal(quarantine.check(REQUEST).type, 'allowed');
  });

  it('withdraws its crashes from its record once they have expired, without a further event', () => {
    const { quarantine, advance } = createFixture();
    const fingerprints = [quarantine.computeFingerprint(REQUEST)];
    quarantine.recordOwnCrash('t-1|1', fingerprints);
    quarantine.recordOwnCrash('t-2|1', fingerprints);
    advance(TTL_MS + 1);
    assert.equal(quarantine.getRecords().crashes, undefined);
  });

  it('gives trials no shorter intervals on a host that takes them over', () => {
    const first = createFixture('another');
    const second = createFixture('another');
    const fingerprints = [first.quarantine.computeFingerprint(REQUEST)];
    const fixtures = [first, second];
    fixtures.forEach(({ quarantine }) => {
      quarantine.recordOwnCrash('t-1|1', fingerprints);
      quarantine.recordOwnCrash('t-2|1', fingerprints);
    });
    fixtures.forEach(({ advance }) => advance(10_000));
    assert.deepEqual(first.quarantine.check(REQUEST), { type: 'allowed', isTrial: true });
    // The trial crashes a third target, after which another host is chosen for trials.
    fixtures.forEach(({ quarantine }) =>
      quarantine.applyMember({
        crashes: [{ target: 't-3|1', fingerprints }],
      } as unknown as core.MemberInfo),
    );
    fixtures.forEach(({ advance }) => advance(10_000));
    assert.equal(first.quarantine.check(REQUEST).type, 'quarantined');
    assert.equal(second.quarantine.check(REQUEST).type, 'quarantined');
  });
});
