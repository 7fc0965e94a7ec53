import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as msgpack from '@msgpack/msgpack';
import type * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as codec from '../src/mesh/gossip-codec.js';
import * as gossipMembers from '../src/mesh/gossip-members.js';
import * as metrics from '../src/mesh/metrics.js';
import * as settings from '../src/mesh/settings.js';

const { describe, it } = test;

const ADDRESS = '127.0.79.1';
const PORT = 21_204;
/** Several probe rounds, in which a member that cannot be reached is probed too. */
const PROBES_MS = 1_500;
const CONFIRMED_MS = 100;
/** Beyond the delays of a busy machine. */
const BLOCK_MS = 800;

const member: core.Member = {
  id: 'h2',
  incarnation: 1_800_000_000_000,
  status: 'alive',
  info: {
    instance: '1800000000000',
    dataCentre: 'a',
    region: 'r',
    address: '127.0.79.2',
    callerPort: 21_200,
    peerPort: 21_204,
    ready: true,
    target: { service: 'a', slots: 4, state: 'up', id: 't-2' },
  },
};

const createMessage = (members: readonly core.Member[], version = 1): core.GossipMessage => ({
  type: 'ping',
  sequence: 1,
  from: 'h2',
  isContact: false,
  mark: { position: 1, version, digest: '' },
  members: [...members],
});

const change = (info: object, fields: object = {}): core.Member => ({
  ...member,
  ...fields,
  info: { ...member.info, ...info },
});

const oddMembers: readonly core.Member[] = [
  change({ peerPort: 99_999 }),
  change({ peerPort: 0 }),
  change({ peerPort: 21_204.5 }),
  change({ peerPort: Number.POSITIVE_INFINITY }),
  change({ callerPort: -1 }),
  change({ address: 'nowhere' }),
  change({ address: '127.0.79.256' }),
  change({}, { incarnation: 1e300 }),
  change({}, { incarnation: Number.NaN }),
  change({ target: { service: 'a', slots: 1e300, state: 'up' } }),
  change({ target: { service: 'a', slots: -4, state: 'up' } }),
];
const oddMessages = [
  ...oddMembers.map((oddMember) => createMessage([oddMember])),
  createMessage([member], 1e300),
];

async function withMembers(
  run: (
    members: gossipMembers.Members,
    send: (bytes: Uint8Array) => Promise<void>,
  ) => Promise<void>,
  onVersion: gossipMembers.MembersInput['onVersion'] = () => undefined,
  onProof: gossipMembers.MembersInput['onProof'] = () => undefined,
): Promise<void> {
  const socket = dgram.createSocket('udp4');
  const members = gossipMembers.createMembers({
    ctx: {
      settings: settings.meshSettingsSchema.parse({
        id: 'h1',
        dataCentre: 'a',
        region: 'r',
        service: 'a',
        address: ADDRESS,
        callers: `${ADDRESS}:21200`,
        ready: `${ADDRESS}:21201`,
        announcements: `${ADDRESS}:21202`,
        target: `${ADDRESS}:21203`,
        peerPort: PORT,
        metricsPort: 21_205,
        revokeWithinMs: 5_000,
      }),
      clock: runtime.systemClock,
      random: Math.random,
      log: runtime.createLogger({
        level: 'error',
        commonFields: {},
        now: Date.now,
        write: () => undefined,
      }),
      metrics: metrics.createMeshMetrics(),
      protocol: {} as never,
    },
    hostRegistry: {
      register: () => Promise.resolve(),
      list: () => Promise.resolve([]),
      deregister: () => Promise.resolve(),
      renew: () => Promise.resolve(),
    },
    sourceEpoch: { get: () => undefined, onChange: () => undefined },
    onChange: () => undefined,
    onRecalled: () => undefined,
    onVersion,
    getProof: () => undefined,
    onProof,
  });
  await members.start();
  try {
    await run(
      members,
      (bytes) =>
        new Promise((resolve, reject) => {
          socket.send(bytes, PORT, ADDRESS, (error) => (error ? reject(error) : resolve()));
        }),
    );
  } finally {
    members.stop();
    socket.close();
  }
}

describe('member list of a mesh process', () => {
  it('stores no member and keeps probing after datagrams with records that cannot be used', () =>
    withMembers(async (members, send) => {
      await Promise.all(oddMessages.map((message) => send(codec.encodeGossip(message))));
      await send(msgpack.encode({ mark: [1, 1, ''], members: [[]] }));
      await timers.setTimeout(PROBES_MS);
      assert.deepEqual(
        members.list().map(({ id }) => id),
        ['h1'],
      );
      await send(codec.encodeGossip(createMessage([member])));
      await timers.setTimeout(PROBES_MS);
      assert.equal(members.list().length, 2);
    }));

  // Both processes ping from the start, so equal first numbers would match.
  it('takes no proof from an ack to a ping of an earlier process of this host', async () => {
    const proofs: unknown[] = [];
    const sendLateAcks = async (
      _: gossipMembers.Members,
      send: (bytes: Uint8Array) => Promise<void>,
    ): Promise<void> => {
      await send(codec.encodeGossip(createMessage([member])));
      await timers.setTimeout(PROBES_MS);
      const sequences = Array.from({ length: 20 }, (__, index) => index);
      await Promise.all(
        sequences.map((sequence) =>
          send(
            codec.encodeGossip({
              type: 'ack',
              sequence,
              from: 'h2',
              mark: { position: 1, version: 1, digest: '' },
              members: [],
              proof: { version: 1, ageMs: 0 },
            }),
          ),
        ),
      );
      await timers.setTimeout(PROBES_MS);
    };
    await withMembers(sendLateAcks, undefined, (__, proof) => proofs.push(proof));
    assert.deepEqual(proofs, []);
  });

  it('adds the time in the socket to the age of a confirmation', async () => {
    const ages: (number | undefined)[] = [];
    const sendMarks = async (
      _: gossipMembers.Members,
      send: (bytes: Uint8Array) => Promise<void>,
    ): Promise<void> => {
      await send(codec.encodeGossip(createMessage([member])));
      await timers.setTimeout(PROBES_MS);
      const mark = codec.encodeGossip({ ...createMessage([]), type: 'mark', ageMs: CONFIRMED_MS });
      ages.length = 0;
      await send(mark);
      const blockedUntil = Date.now() + BLOCK_MS;
      while (Date.now() < blockedUntil);
      await timers.setTimeout(PROBES_MS);
      await send(mark);
      await timers.setTimeout(PROBES_MS);
    };
    await withMembers(sendMarks, (_, version, ageMs) => ages.push(ageMs));
    const [late = 0, direct = 0] = ages;
    assert.ok(late >= CONFIRMED_MS + BLOCK_MS, `${late} ms`);
    assert.ok(direct >= CONFIRMED_MS && direct < CONFIRMED_MS + BLOCK_MS, `${direct} ms`);
  });
});
