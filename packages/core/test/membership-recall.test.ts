import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as core from '../src/index.js';

const { describe, it } = test;

const CRASHES: core.CrashRecord[] = [{ target: 't-1|1', fingerprints: ['a'] }];

function createMember(
  incarnation: number,
  instance: string,
  facts: Partial<core.MemberInfo> = {},
): core.Member {
  const info = {
    instance,
    dataCentre: 'a',
    region: 'r',
    address: '127.0.0.1',
    callerPort: 1,
    peerPort: 2,
    ready: true,
    target: null,
    ...facts,
  };
  return { id: 'h1', incarnation, status: 'alive', info };
}

function createMembership(id: string, incarnation: number): core.Membership {
  return core.createMembership({
    id,
    incarnation,
    info: { ...createMember(0, `new-${id}`).info, peerPort: 3 },
    options: core.membershipDefaults,
    random: () => 0.5,
  });
}

/** Returns the own records that a ping of the member is answered with. */
function listReturned(peer: core.Membership, member: core.Member): core.Member[] {
  const message: core.GossipMessage = {
    type: 'ping',
    sequence: 1,
    from: member.id,
    isContact: false,
    mark: { position: 1, version: 1, digest: '' },
    members: [member],
  };
  const from = { address: member.info.address, port: member.info.peerPort };
  return peer
    .receive(message, from, 0)
    .flatMap((effect) => (effect.type === 'send' ? effect.message.members : []))
    .filter(({ id }) => id === member.id);
}

describe('what a process gets back after a restart', () => {
  it('does not include a crash that it had withdrawn before', () => {
    const peer = createMembership('h2', 1);
    peer.mergeMembers([createMember(1, 'old', { crashes: CRASHES })], 0);
    peer.mergeMembers([createMember(2, 'old')], 0);
    const returned = listReturned(peer, createMember(3, 'new'));
    assert.deepEqual(
      returned.filter(({ info }) => info.crashes !== undefined),
      [],
    );
  });

  it('includes the departed target of a process that has recorded a crash of its next one', () => {
    const peer = createMembership('h2', 1);
    peer.mergeMembers([createMember(1, 'old', { departedTarget: 't-0|1' })], 0);
    peer.mergeMembers([createMember(2, 'new', { crashes: CRASHES })], 0);
    const returned = listReturned(peer, createMember(3, 'new', { crashes: CRASHES }));
    assert.deepEqual(
      returned.map(({ info }) => info.departedTarget).filter((target) => target !== undefined),
      ['t-0|1'],
    );
  });

  it('is reported once for each record', () => {
    const self = createMembership('h1', 10);
    const record = createMember(5, 'old', { crashes: CRASHES });
    const effects = [0, 1, 2].flatMap((now) => self.mergeMembers([record], now));
    assert.equal(effects.filter(({ type }) => type === 'self-recalled').length, 1);
  });

  it('does not keep a process whose clock was set back from overriding its former record', () => {
    const self = createMembership('h1', 10);
    self.mergeMembers([createMember(20, 'old', { crashes: CRASHES })], 0);
    assert.ok(self.getSelf().incarnation > 20, `incarnation ${self.getSelf().incarnation}`);
  });
});
