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

/** Members joined by a queue that loses and reorders datagrams. */
class Cluster {
  public readonly members: core.Membership[];

  public readonly frozen = new Set<number>();

  private queue: Datagram[] = [];

  private now = 0;

  private readonly loss: number;

  private readonly random: core.Random;

  public constructor(count: number, loss: number, random: core.Random) {
    this.loss = loss;
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
      if (elapsed % SEED_INTERVAL_MS === 0) this.contactSeed();
      this.members.forEach((member, index) => {
        if (!this.frozen.has(index)) this.perform(index, member.tick(this.now));
      });
    }
  }

  /** Compares tables as a process does: each with one other, over a connection without loss. */
  public compare(): void {
    this.members.forEach((member, index) => {
      const known = member.list().filter(({ id }) => id !== `m${index}`);
      const peer = known[Math.floor(this.random() * known.length)];
      const other = this.members[Number(peer?.id.slice(1))];
      if (other) this.act(index, (self, now) => self.merge(other.list(), now));
    });
  }

  public act(
    index: number,
    action: (member: core.Membership, now: number) => core.MembershipEffect[],
  ): void {
    this.perform(index, action(this.members[index] as core.Membership, this.now));
  }

  public statusesOf(id: string): (string | undefined)[] {
    return this.members
      .filter((_, index) => !this.frozen.has(index))
      .map((member) => member.get(id)?.status);
  }

  /** Members that know nobody ask the seed, as a process does until it is answered. */
  private contactSeed(): void {
    this.members.forEach((member, index) => {
      if (index === 0 || member.list().length > 1) return;
      this.perform(index, member.contact({ address: '127.0.0.1', port: 1_000 }));
    });
  }

  private deliver({ to, from, message }: Datagram): void {
    const index = to.port - 1_000;
    if (this.frozen.has(index) || this.random() < this.loss) return;
    this.perform(index, this.members[index]?.receive(message, from, this.now) ?? []);
  }

  private perform(index: number, effects: readonly core.MembershipEffect[]): void {
    const from = { address: '127.0.0.1', port: 1_000 + index };
    effects.forEach((effect) => {
      if (effect.type === 'send') this.queue.push({ to: effect.to, from, message: effect.message });
    });
  }
}

describe('membership by gossip', () => {
  it('lets every member learn of every other, under loss', () => {
    fc.assert(
      fc.property(fc.nat(1_000), fc.integer({ min: 2, max: 12 }), (seed, count) => {
        const cluster = new Cluster(count, 0.1, support.createRandom(seed));
        cluster.run(1_000);
        cluster.run(1_000);
        cluster.compare();
        cluster.run(15_000);
        cluster.compare();
        cluster.members.forEach((member) => assert.equal(member.list().length, count));
      }),
      { ...support.propertyOptions, numRuns: 20 },
    );
  });

  it('finds a silent member dead, and takes it back when it returns', () => {
    const cluster = new Cluster(6, 0, support.createRandom(7));
    cluster.run(3_000);
    cluster.frozen.add(3);
    cluster.run(12_000);
    assert.deepEqual(new Set(cluster.statusesOf('m3')), new Set(['dead']));
    cluster.frozen.delete(3);
    cluster.run(12_000);
    assert.deepEqual(new Set(cluster.statusesOf('m3')), new Set(['alive']));
  });

  it('does not find members dead because of loss alone', () => {
    const cluster = new Cluster(8, 0.1, support.createRandom(11));
    cluster.run(3_000);
    cluster.run(30_000);
    cluster.members.forEach((member) =>
      member.list().forEach(({ status }) => assert.notEqual(status, 'dead')),
    );
  });

  it('spreads the news of a draining target to every member within three seconds', () => {
    const cluster = new Cluster(12, 0.05, support.createRandom(3));
    cluster.run(6_000);
    cluster.act(5, (member, now) =>
      member.setInfo({ target: { service: 'a', slots: 1, state: 'draining' } }, now),
    );
    cluster.run(3_000);
    cluster.members.forEach((member) =>
      assert.equal(member.get('m5')?.info.target?.state, 'draining'),
    );
  });

  it('sends of a configuration only its position, version and digest', () => {
    const member = core.createMembership({
      id: 'm0',
      incarnation: 1,
      info: createInfo(0),
      options: core.membershipDefaults,
      random: support.createRandom(1),
    });
    const config = core.compileConfig(core.createState());
    member.setMark(config);
    const [effect] = member.contact({ address: '127.0.0.1', port: 1 });
    assert.ok(effect?.type === 'send');
    assert.deepEqual(Object.keys(effect.message.mark).sort(), ['digest', 'position', 'version']);
  });

  it('tells a process that started with a lower incarnation what is known of its former life', () => {
    const options = core.membershipDefaults;
    const create = (id: string, incarnation: number): core.Membership =>
      core.createMembership({
        id,
        incarnation,
        info: { ...createInfo(0), instance: `${id}|${incarnation}` },
        options,
        random: support.createRandom(1),
      });
    const endpoint = { address: '127.0.0.1', port: 1 };
    const observer = create('m0', 1);
    observer.merge([create('m1', 9_000).self()], 0);
    // The clock of its host was set back before the restart.
    const restarted = create('m1', 7_000);
    const pass = (effects: core.MembershipEffect[], to: core.Membership): core.MembershipEffect[] =>
      effects.flatMap((effect) =>
        effect.type === 'send' ? to.receive(effect.message, endpoint, 10) : [],
      );
    pass(pass(restarted.contact(endpoint), observer), restarted);
    assert.ok(restarted.self().incarnation > 9_000);
    pass(restarted.contact(endpoint), observer);
    assert.equal(observer.get('m1')?.info.instance, 'm1|7000');
  });

  it('brings a change that was lost on all its ways with the next probe', () => {
    const options = { ...core.membershipDefaults, tellsSelf: true };
    const create = (id: string, index: number): core.Membership =>
      core.createMembership({
        id,
        incarnation: 1,
        info: createInfo(index),
        options,
        random: support.createRandom(1),
      });
    const [first, second] = [create('m0', 0), create('m1', 1)];
    first.merge([second.self()], 0);
    second.merge([first.self()], 0);
    first.setInfo({ target: { service: 'a', slots: 1, state: 'up' } }, 5);
    // More sends than an update is carried by, all of them lost.
    for (let now = 100; now <= 20_000; now += 100) first.tick(now);
    const endpoint = { address: '127.0.0.1', port: 1 };
    const pass = (effects: core.MembershipEffect[], to: core.Membership): core.MembershipEffect[] =>
      effects.flatMap((effect) =>
        effect.type === 'send' ? to.receive(effect.message, endpoint, 20_100) : [],
      );
    pass(pass(second.tick(20_100), first), second);
    assert.equal(second.get('m0')?.info.target?.state, 'up');
  });

  it('tells a change to chosen members, who take it in and answer nothing', () => {
    const create = (id: string): core.Membership =>
      core.createMembership({
        id,
        incarnation: 1,
        info: createInfo(0),
        options: core.membershipDefaults,
        random: support.createRandom(1),
      });
    const [teller, hearer] = [create('m0'), create('m1')];
    teller.merge([hearer.self()], 0);
    teller.setInfo({ target: { service: 'a', slots: 1, state: 'draining' } }, 5);
    const effects = teller.tellSelf(['m1', 'unknown', 'm0']);
    assert.equal(effects.length, 1);
    const [effect] = effects;
    assert.ok(effect?.type === 'send');
    const answer = hearer.receive(effect.message, { address: '127.0.0.1', port: 1 }, 6);
    assert.deepEqual(
      answer.filter(({ type }) => type === 'send'),
      [],
    );
    assert.equal(hearer.get('m0')?.info.target?.state, 'draining');
  });

  it('lets a higher incarnation and then the worse status win', () => {
    const member = { id: 'm', incarnation: 2, status: 'alive' as const, info: createInfo(0) };
    assert.ok(core.isNewer({ ...member, incarnation: 3 }, { ...member, status: 'dead' }));
    assert.ok(core.isNewer({ ...member, status: 'suspect' }, member));
    assert.ok(!core.isNewer(member, { ...member, status: 'suspect' }));
  });

  it('keeps members of other data centres without probing them', () => {
    const cluster = new Cluster(2, 0, support.createRandom(5));
    cluster.run(1_000);
    const far = { ...createInfo(77), dataCentre: 'erongo-1', region: 'erongo' };
    cluster.act(0, (member, now) =>
      member.merge([{ id: 'far', incarnation: 1, status: 'alive', info: far }], now),
    );
    cluster.run(60_000);
    assert.deepEqual(cluster.statusesOf('far'), ['alive', 'alive']);
  });
});
