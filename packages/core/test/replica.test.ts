import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as support from './support.js';

const { describe, it } = test;

const PEERS = ['p0', 'p1', 'p2', 'p3'];

interface Step {
  kind: 'append' | 'read' | 'watermark' | 'restart' | 'deliver';
  from: number;
  to: number;
  change: core.Change;
  isLost: boolean;
}

const anyStep: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('append', 'read', 'watermark', 'watermark', 'deliver', 'restart'),
  from: fc.nat(PEERS.length - 1),
  to: fc.nat(PEERS.length - 1),
  change: support.anyChange,
  isLost: fc.boolean(),
});

/** Simulates replicas and a log; responses are lost, duplicated, delayed and reordered. */
class SimulatedFleet {
  private readonly log: core.OffsetRecord[] = [];

  private readonly replicas = PEERS.map(() => core.createReplica());

  private readonly delayedResponses: { to: number; from: string; response: core.FetchResponse }[] =
    [];

  private readonly digestByPosition = new Map<number, string>();

  private now = 0;

  public step({ kind, from, to, change, isLost }: Step): void {
    this.now += 100;
    const before = this.replicas.map((replica) => replica.getState().position);
    const handlers: Record<Step['kind'], () => void> = {
      append: () => this.log.push({ offset: this.log.length, body: change }),
      read: () => this.replicas[from]?.receiveRecords(this.log, 'log'),
      watermark: () => this.sendWatermark(from, to, isLost),
      deliver: () => this.deliverDelayed(),
      restart: () => {
        before[from] = -1;
        this.replicas[from] = core.createReplica();
      },
    };
    handlers[kind]();
    this.checkReplicas(before);
  }

  /** Exchanges watermarks without faults, and checks that all replicas reach the end of the log. */
  public synchronise(): void {
    this.replicas[0]?.receiveRecords(this.log, 'log');
    for (let round = 0; round < PEERS.length * 2; round += 1) {
      PEERS.forEach((_, from) =>
        PEERS.forEach((__, to) => {
          this.now += 2_000;
          this.sendWatermark(from, to, false);
        }),
      );
    }
    const positions = new Set(this.replicas.map((replica) => replica.getState().position));
    assert.deepEqual([...positions], [this.log.length - 1]);
  }

  private sendWatermark(from: number, to: number, isLost: boolean): void {
    const sender = this.replicas[from] as core.Replica;
    const receiver = this.replicas[to] as core.Replica;
    if (sender === receiver) return;
    const { position, version } = sender.getState();
    const watermark = { position, version, digest: sender.getDigest() };
    const effects = receiver.receiveWatermark(PEERS[from] as string, watermark, this.now);
    effects.forEach((effect) => {
      if (effect.type !== 'fetch') return;
      const response = sender.handleFetch({ position: effect.position }, this.now, []);
      if (isLost) receiver.recordFetchFailure(effect.from);
      else receiver.receiveResponse(effect.from, response, this.now);
      // A duplicate of the response is delivered later.
      this.delayedResponses.push({ to, from: effect.from, response });
    });
  }

  private deliverDelayed(): void {
    const message = this.delayedResponses.shift();
    if (message)
      this.replicas[message.to]?.receiveResponse(message.from, message.response, this.now);
  }

  private checkReplicas(before: readonly number[]): void {
    this.replicas.forEach((replica, index) => {
      const { position } = replica.getState();
      assert.ok(position >= (before[index] ?? -1), 'the position of a replica decreased');
      const digest = this.digestByPosition.get(position) ?? replica.getDigest();
      this.digestByPosition.set(position, digest);
      assert.equal(replica.getDigest(), digest, 'two replicas differ at the same position');
    });
  }
}

describe('configuration replicas', () => {
  it('never decrease in position, never differ at the same position, and converge once faults end', () => {
    fc.assert(
      fc.property(fc.array(anyStep, { maxLength: 60 }), (steps) => {
        const fleet = new SimulatedFleet();
        steps.forEach((step) => fleet.step(step));
        fleet.synchronise();
      }),
      support.propertyOptions,
    );
  });

  it('ignore records that were already applied', () => {
    const replica = core.createReplica();
    const records = [{ offset: 0, body: support.createChange(1, {}, []) }];
    replica.receiveRecords(records, 'log');
    assert.deepEqual(replica.receiveRecords(records, 'log'), []);
    assert.equal(replica.getState().position, 0);
  });

  it('throw an invariant error when a peer has another digest at the same position', () => {
    const replica = core.createReplica();
    assert.throws(
      () => replica.receiveWatermark('p1', { position: -1, version: -1, digest: 'other' }, 0),
      core.InvariantError,
    );
  });

  it('redirect peers when many fetch snapshots at the same time', () => {
    const replica = core.createReplica();
    const state = core.foldRecord(core.createEmptyState(), { offset: 0, body: {} });
    replica.receiveResponse('p1', { type: 'snapshot', snapshot: core.createSnapshot(state) }, 0);
    const responses = Array.from({ length: 10 }, () =>
      replica.handleFetch({ position: -1 }, 0, ['p2', 'p3']),
    );
    const kinds = responses.map(({ type }) => type);
    assert.equal(kinds.filter((kind) => kind === 'snapshot').length, 4);
    assert.equal(kinds.filter((kind) => kind === 'busy').length, 6);
  });
});
