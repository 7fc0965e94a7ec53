import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as msgpack from '@msgpack/msgpack';
import type * as core from '@figshed/core';
import * as codec from '../src/mesh/gossip-codec.js';

const { describe, it } = test;

const createMember = (id: string, target: core.TargetInfo | null): core.Member => ({
  id,
  incarnation: 1_800_000_000_000,
  status: 'suspect',
  info: {
    instance: '1800000000000',
    dataCentre: 'khomas-a',
    region: 'khomas',
    address: '10.1.0.41',
    callerPort: 8_629,
    peerPort: 7_600,
    ready: true,
    target,
  },
});

const message: core.GossipMessage = {
  type: 'ping',
  sequence: 7,
  from: 'h1',
  isContact: false,
  mark: { position: 4, version: 4, digest: '' },
  members: [
    createMember('h1', null),
    createMember('h2', { service: 'a', slots: 3, state: 'draining', id: 't', isCold: false }),
    createMember('h3', { service: 'a', slots: 3, state: 'up' }),
  ],
};

describe('gossip codec', () => {
  it('decodes an encoded message to the same fields', () => {
    const decoded = codec.decodeGossip(codec.encodeGossip(message));
    assert.deepEqual(JSON.parse(JSON.stringify(decoded)), JSON.parse(JSON.stringify(message)));
  });

  it('decodes the epoch of the source, and a message of a process without one', () => {
    const mark = { ...message.mark, epoch: 3 };
    const decode = (sent: core.GossipMessage): core.GossipMessage =>
      codec.decodeGossip(codec.encodeGossip(sent));
    assert.deepEqual(decode({ ...message, mark }).mark, mark);
    assert.equal(decode(message).mark.epoch, undefined);
  });

  it('decodes crashes and completions, with and without a departed target', () => {
    const member = createMember('h1', null);
    const observations = {
      crashes: [{ target: 'i-1|1000', fingerprints: ['f', 'g'] }],
      cleared: [{ fingerprint: 'h', deathIds: ['i-2|2000'] }],
    };
    [
      observations,
      { ...observations, departedTarget: 'i-0|1' },
      { departedTarget: 'i-0|1' },
    ].forEach((info) => {
      const members = [{ ...member, info: { ...member.info, ...info } }];
      const decoded = codec.decodeGossip(codec.encodeGossip({ ...message, members }));
      assert.deepEqual(
        JSON.parse(JSON.stringify(decoded.members)),
        JSON.parse(JSON.stringify(members)),
      );
    });
  });

  it('decodes versions, counts and states of roll-outs, and adds no byte without them', () => {
    const target = { service: 'a', slots: 3, state: 'up' as const, version: 'v2' };
    const counts = [{ route: 'read', responses: 9, failures: 1, timed: 8, slow: 2, usualMs: 20.5 }];
    const rollout = { offset: 7, version: 'v2', moved: [7], counts };
    const member = createMember('h1', target);
    const stamp: core.RolloutStamp = {
      service: 'a',
      targetVersion: 'v2',
      epoch: 1,
      offset: 7,
      durationMs: 30_000,
      remainingMs: 12_000,
      phase: 'moving',
      record: 'running',
    };
    const sent = {
      ...message,
      members: [{ ...member, info: { ...member.info, rollout } }],
      rollouts: [stamp],
    };
    const decoded = codec.decodeGossip(codec.encodeGossip(sent));
    assert.deepEqual(JSON.parse(JSON.stringify(decoded)), JSON.parse(JSON.stringify(sent)));
    const { rollouts, ...before } = { ...message, rollouts: undefined };
    assert.deepEqual(codec.encodeGossip({ ...before, rollouts }), codec.encodeGossip(message));
  });

  it('takes less than half of the bytes of MessagePack with field names', () => {
    assert.ok(codec.encodeGossip(message).length < msgpack.encode(message).length / 2);
  });

  it('rejects bytes that are not an encoded gossip message', () => {
    const rows = { ...message, mark: [1, 1, ''], members: [['h1', 'not a number']] };
    [new Uint8Array([0xc1]), msgpack.encode('text'), msgpack.encode(rows)].forEach((bytes) =>
      assert.throws(() => codec.decodeGossip(bytes)),
    );
  });
});
