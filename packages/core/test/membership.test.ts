import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as support from './support.js';

const { describe, it } = test;

const STEP_MS = 50;
const SEED_INTERVAL_MS = 1_000;

interface Datagram {
  to: core.Endpoint;
  from: core.Endpoint;
  message: core.GossipMessage;
}

function createInfo(index: number): core.MemberInfo {
  return {
    instance: `i${index}`,
    dataCentre: 'khomas-1',
    region: 'khomas',
    address: '127.0.0.1',
    callerPort: 1,
    peerPort: 1_000 + index,
    ready: true,
    target: null,
  };
}

/** Simulates members on a network that loses and reorders datagrams. */
class Cluster {
  public readonly members: core.Membership[];

  public readonly frozenIndexes = new Set<number>();

  private queue: Datagram[] = [];

  private now = 0;

  private readonly lossRate: number;

  private readonly random: core.Random;

  public constructor(count: number, lossRate: number, random: core.Random) {
    this.lossRate = lossRate;
    this.random = random;
    this.members = Array.from({ length: count }, (_, index) =>
      core.createMembership({
        id: `m${index}`,
        incarnation: 1,
        info: createInfo(index),
        options: core.membershipDefaults,
        random,
      }),
    );
  }

  public run(ms: number): void {
    for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      this.now += STEP_MS;
      const batch = this.queue.sort(() => this.random() - 0.5);
      this.queue = [];
      batch.forEach((datagram) => this.deliver(datagram));
      if (elapsed % SEED_INTERVAL_MS === 0) this.pingSeed();
      this.members.forEach((member, index) => {
        if (!this.frozenIndexes.has(index)) this.applyEffects(index, member.tick(this.now));
      });
    }
  }

  /** Merges the table of one random peer into each member, over a lossless connection. */
  public exchangeTables(): void {
    this.members.forEach((member, index) => {
      const others = member.listMembers().filter(({ id }) => id !== `m${index}`);
      const peer = others[Math.floor(this.random() * others.length)];
      const other = this.members[Number(peer?.id.slice(1))];
      if (other) this.runAction(index, (self, now) => self.mergeMembers(other.listMembers(), now));
    });
  }

  public runAction(
    index: number,
    action: (member: core.Membership, now: number) => core.MembershipEffect[],
  ): void {
    this.applyEffects(index, action(this.members[index] as core.Membership, this.now));
  }

  public listStatuses(id: string): (string | undefined)[] {
    return this.members
      .filter((_, index) => !this.frozenIndexes.has(index))
      .map((member) => member.getMember(id)?.status);
  }

  /** Pings the seed from each member that has no peers yet, as a process does at its start. */
  private pingSeed(): void {
    this.members.forEach((member, index) => {
      if (index === 0 || member.listMembers().length > 1) return;
      this.applyEffects(index, member.pingEndpoint({ address: '127.0.0.1', port: 1_000 }));
    });
  }

  private deliver({ to, from, message }: Datagram): void {
    const index = to.port - 1_000;
    if (this.frozenIndexes.has(index) || this.random() < this.lossRate) return;
    this.applyEffects(index, this.members[index]?.receive(message, from, this.now) ?? []);
  }

  private applyEffects(index: number, effects: readonly core.MembershipEffect[]): void {
    const from = { address: '127.0.0.1', port: 1_000 + index };
    effects.forEach((effect) => {
      if (effect.type === 'send') this.queue.push({ to: effect.to, from, message: effect.message });
    });
  }
}

describe('membership by gossip', () => {
  it('disseminates every member to all others under datagram loss', () => {
    fc.assert(
      fc.property(fc.nat(1_000), fc.integer({ min: 2, max: 12 }), (seed, count) => {
        const cluster = new Cluster(count, 0.1, support.createSeededRandom(seed));
        cluster.run(1_000);
        cluster.run(1_000);
        cluster.exchangeTables();
        cluster.run(15_000);
        cluster.exchangeTables();
        cluster.members.forEach((member) => assert.equal(member.listMembers().length, count));
      }),
      { ...support.propertyOptions, numRuns: 20 },
    );
  });

  it('declares an unresponsive member dead, and alive again when it recovers', () => {
    const cluster = new Cluster(6, 0, support.createSeededRandom(7));
    cluster.run(3_000);
    cluster.frozenIndexes.add(3);
    cluster.run(12_000);
    assert.deepEqual(new Set(cluster.listStatuses('m3')), new Set(['dead']));
    cluster.frozenIndexes.delete(3);
    cluster.run(12_000);
    assert.deepEqual(new Set(cluster.listStatuses('m3')), new Set(['alive']));
  });

  it('does not declare members dead because of datagram loss alone', () => {
    const cluster = new Cluster(8, 0.1, support.createSeededRandom(11));
    cluster.run(3_000);
    cluster.run(30_000);
    cluster.members.forEach((member) =>
      member.listMembers().forEach(({ status }) => assert.notEqual(status, 'dead')),
    );
  });

  it('disseminates a draining target to all members within three seconds', () => {
    const cluster = new Cluster(12, 0.05, support.createSeededRandom(3));
    cluster.run(6_000);
    cluster.runAction(5, (member, now) =>
      member.updateInfo({ target: { service: 'a', slots: 1, state: 'draining' } }, now),
    );
    cluster.run(3_000);
    cluster.members.forEach((member) =>
      assert.equal(member.getMember('m5')?.info.target?.state, 'draining'),
    );
  });

  it('sends only position, version and digest of the configuration', () => {
    const member = core.createMembership({
      id: 'm0',
      incarnation: 1,
      info: createInfo(0),
      options: core.membershipDefaults,
      random: support.createSeededRandom(1),
    });
    const config = core.compileConfig(core.createEmptyState());
    member.setWatermark(config);
    const [effect] = member.pingEndpoint({ address: '127.0.0.1', port: 1 });
    assert.ok(effect?.type === 'send');
    assert.deepEqual(Object.keys(effect.message.mark).sort(), ['digest', 'position', 'version']);
  });

  it('sends the stored record to a process that restarted with a lower incarnation', () => {
    const options = core.membershipDefaults;
    const createMember = (id: string, incarnation: number): core.Membership =>
      core.createMembership({
        id,
        incarnation,
        info: { ...createInfo(0), instance: `${id}|${incarnation}` },
        options,
        random: support.createSeededRandom(1),
      });
    const endpoint = { address: '127.0.0.1', port: 1 };
    const observer = createMember('m0', 1);
    observer.mergeMembers([createMember('m1', 9_000).getSelf()], 0);
    // The clock of the host was set back before the restart.
    const restarted = createMember('m1', 7_000);
    const deliverEffects = (
      effects: core.MembershipEffect[],
      to: core.Membership,
    ): core.MembershipEffect[] =>
      effects.flatMap((effect) =>
        effect.type === 'send' ? to.receive(effect.message, endpoint, 10) : [],
      );
    deliverEffects(deliverEffects(restarted.pingEndpoint(endpoint), observer), restarted);
    assert.ok(restarted.getSelf().incarnation > 9_000);
    deliverEffects(restarted.pingEndpoint(endpoint), observer);
    assert.equal(observer.getMember('m1')?.info.instance, 'm1|7000');
  });

  it('repairs an update by the next probe when all of its datagrams were lost', () => {
    const options = { ...core.membershipDefaults, shouldIncludeSelf: true };
    const createMember = (id: string, index: number): core.Membership =>
      core.createMembership({
        id,
        incarnation: 1,
        info: createInfo(index),
        options,
        random: support.createSeededRandom(1),
      });
    const [first, second] = [createMember('m0', 0), createMember('m1', 1)];
    first.mergeMembers([second.getSelf()], 0);
    second.mergeMembers([first.getSelf()], 0);
    first.updateInfo({ target: { service: 'a', slots: 1, state: 'up' } }, 5);
    // Exceeds the number of sends per update; all of these datagrams are lost.
    for (let now = 100; now <= 20_000; now += 100) first.tick(now);
    const endpoint = { address: '127.0.0.1', port: 1 };
    const deliverEffects = (
      effects: core.MembershipEffect[],
      to: core.Membership,
    ): core.MembershipEffect[] =>
      effects.flatMap((effect) =>
        effect.type === 'send' ? to.receive(effect.message, endpoint, 20_100) : [],
      );
    deliverEffects(deliverEffects(second.tick(20_100), first), second);
    assert.equal(second.getMember('m0')?.info.target?.state, 'up');
  });

  it('sends a change directly to selected members, which merge it and do not reply', () => {
    const createMember = (id: string): core.Membership =>
      core.createMembership({
        id,
        incarnation: 1,
        info: createInfo(0),
        options: core.membershipDefaults,
        random: support.createSeededRandom(1),
      });
    const [sender, receiver] = [createMember('m0'), createMember('m1')];
    sender.mergeMembers([receiver.getSelf()], 0);
    sender.updateInfo({ target: { service: 'a', slots: 1, state: 'draining' } }, 5);
    const effects = sender.sendSelf(['m1', 'unknown', 'm0']);
    assert.equal(effects.length, 1);
    const [effect] = effects;
    assert.ok(effect?.type === 'send');
    const replyEffects = receiver.receive(effect.message, { address: '127.0.0.1', port: 1 }, 6);
    assert.deepEqual(
      replyEffects.filter(({ type }) => type === 'send'),
      [],
    );
    assert.equal(receiver.getMember('m0')?.info.target?.state, 'draining');
  });

  it('prefers the higher incarnation, then the later status', () => {
    const member = { id: 'm', incarnation: 2, status: 'alive' as const, info: createInfo(0) };
    assert.ok(core.isNewerRecord({ ...member, incarnation: 3 }, { ...member, status: 'dead' }));
    assert.ok(core.isNewerRecord({ ...member, status: 'suspect' }, member));
    assert.ok(!core.isNewerRecord(member, { ...member, status: 'suspect' }));
  });

  it('retains members of other data centres without probing them', () => {
    const cluster = new Cluster(2, 0, support.createSeededRandom(5));
    cluster.run(1_000);
    const remoteInfo = { ...createInfo(77), dataCentre: 'erongo-1', region: 'erongo' };
    cluster.runAction(0, (member, now) =>
      member.mergeMembers([{ id: 'far', incarnation: 1, status: 'alive', info: remoteInfo }], now),
    );
    cluster.run(60_000);
    assert.deepEqual(cluster.listStatuses('far'), ['alive', 'alive']);
  });
});
