import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as uuid from 'uuid';
import * as core from '../src/index.js';
import * as support from './support.js';

const { describe, it } = test;

const OPTIONS = { ...core.claimerDefaults, minAppendIntervalMs: 50 };
const KEYS = Array.from({ length: 4 }, (_, index) =>
  core.formatOrderKey('school', uuid.v7({ msecs: 1_000_000 + index })),
);

interface PendingEffect {
  claimer: number;
  effect: core.ClaimerEffect;
}

interface ClaimRequest {
  key: string;
  claimId: string;
}

const anyStep = fc.record({
  kind: fc.constantFrom('claim', 'claim', 'settle', 'release', 'io', 'io', 'io', 'tick', 'restart'),
  claimer: fc.nat(2),
  key: fc.nat(KEYS.length - 1),
  fault: fc.constantFrom('none', 'none', 'lost-response', 'not-appended', 'swap'),
});

type Step = typeof anyStep extends fc.Arbitrary<infer T> ? T : never;

/** Simulates several claimers of one partition, and a log whose appends and reads may fail. */
class PartitionSimulation {
  public readonly granted = new Map<string, Set<string>>();

  public readonly runs = new Map<string, number>();

  private readonly log: unknown[] = [];

  private readonly claimers = [0, 1, 2].map(() => this.createClaimer());

  private pending: PendingEffect[] = [];

  private readonly claimRequests = new Map<string, ClaimRequest>();

  private readonly released = new Set<string>();

  private count = 0;

  private now = 0;

  public step({ kind, claimer, key, fault }: Step): void {
    this.now += 25;
    const handlers: Record<Step['kind'], () => void> = {
      claim: () => this.claim(claimer, KEYS[key] as string),
      settle: () => this.settle(claimer, KEYS[key] as string, 'done'),
      release: () => this.settle(claimer, KEYS[key] as string, 'release'),
      io: () => this.performNextEffect(fault),
      tick: () => this.handleEffects(claimer, this.getClaimer(claimer).tick(this.now, 1_000_000)),
      restart: () => {
        this.claimers[claimer] = this.createClaimer();
        this.pending = this.pending.filter((pendingEffect) => pendingEffect.claimer !== claimer);
      },
    };
    handlers[kind]();
  }

  private createClaimer(): core.Claimer {
    return core.createClaimer(OPTIONS, () => this.createId('batch'));
  }

  private createId(name: string): string {
    this.count += 1;
    return `${name}-${this.count}`;
  }

  private getClaimer(claimer: number): core.Claimer {
    return this.claimers[claimer] as core.Claimer;
  }

  private claim(claimer: number, key: string): void {
    const requestId = this.createId('request');
    const claimId = this.createId('claim');
    this.claimRequests.set(requestId, { key, claimId });
    const entry = { type: 'claim' as const, key, claimId, fingerprint: 'same' };
    this.handleEffects(claimer, this.getClaimer(claimer).request(requestId, entry, this.now));
  }

  /** Records the answer of the order that holds the key's claim, or releases the unused claim. */
  private settle(claimer: number, key: string, type: 'done' | 'release'): void {
    const claimIds = [...(this.granted.get(key) ?? [])].filter((id) => !this.released.has(id));
    const claimId = claimIds.at(-1);
    if (claimId === undefined || (type === 'release' && this.runs.has(key))) return;
    if (type === 'release') this.released.add(claimId);
    if (type === 'done')
      this.runs.set(key, (this.runs.get(key) ?? 0) + Number(!this.runs.has(key)));
    const answer = { status: 200, contentType: '', body: null };
    const entry = type === 'done' ? { type, key, claimId, answer } : { type, key, claimId };
    this.handleEffects(
      claimer,
      this.getClaimer(claimer).request(this.createId('request'), entry, this.now),
    );
  }

  private handleEffects(claimer: number, effects: readonly core.ClaimerEffect[]): void {
    effects.forEach((effect) => {
      if (effect.type === 'answer') this.recordAnswer(effect);
      else this.pending.push({ claimer, effect });
    });
  }

  private recordAnswer({
    requestId,
    result,
  }: Extract<core.ClaimerEffect, { type: 'answer' }>): void {
    const claimRequest = this.claimRequests.get(requestId);
    if (!claimRequest || result.type !== 'granted') return;
    const claimIds = this.granted.get(claimRequest.key) ?? new Set();
    this.granted.set(claimRequest.key, claimIds.add(claimRequest.claimId));
    const openClaimIds = [...claimIds].filter((id) => !this.released.has(id));
    assert.ok(
      openClaimIds.length <= 1,
      `two open claims of ${claimRequest.key}: ${openClaimIds.join()}`,
    );
    assert.ok(
      !this.runs.has(claimRequest.key),
      `${claimRequest.key} was granted after it was done`,
    );
  }

  private performNextEffect(fault: Step['fault']): void {
    if (fault === 'swap') this.pending.reverse();
    const pendingEffect = this.pending.shift();
    if (!pendingEffect) return;
    const { claimer, effect } = pendingEffect;
    const activeClaimer = this.getClaimer(claimer);
    if (effect.type === 'read') {
      const records = this.log
        .map((body, offset) => ({ offset, body }))
        .filter(({ offset }) => offset >= effect.from);
      this.handleEffects(
        claimer,
        fault === 'not-appended'
          ? activeClaimer.receiveReadFailure(this.now)
          : activeClaimer.receiveRecords(records, 0, this.log.length, this.now),
      );
      return;
    }
    if (effect.type !== 'append') return;
    if (fault !== 'not-appended') this.log.push(structuredClone(effect.batch));
    this.handleEffects(
      claimer,
      fault === 'not-appended' || fault === 'lost-response'
        ? activeClaimer.receiveAppendFailure(this.now)
        : activeClaimer.receiveAppended(this.log.length - 1, this.now),
    );
  }
}

describe('order claims on the log', () => {
  it('grants at most one open claim of a key, with several claimers and a faulty log', () => {
    let granted = 0;
    fc.assert(
      fc.property(fc.array(anyStep, { minLength: 30, maxLength: 300 }), (steps) => {
        const partition = new PartitionSimulation();
        steps.forEach((step) => partition.step(step));
        granted += partition.granted.size;
      }),
      { ...support.propertyOptions, numRuns: 200 },
    );
    assert.ok(granted > 100, `only ${granted} claims were granted`);
  });

  it('answers a repeated request with the recorded answer, without appending another record', () => {
    const claimer = core.createClaimer(OPTIONS, () => 'batch');
    claimer.tick(0, 0);
    const [key] = KEYS as [string];
    const answer = { status: 201, contentType: 'text/plain', body: 'b2s=' };
    const entries = [
      { type: 'claim' as const, key, claimId: 'c1', fingerprint: 'f' },
      { type: 'done' as const, key, claimId: 'c1', answer },
    ];
    const body = { type: 'orders', batchId: 'b', entries };
    claimer.receiveRecords([{ offset: 0, body }], 0, 1, 0);
    const entry = { type: 'claim' as const, key, claimId: 'c2', fingerprint: 'f' };
    assert.deepEqual(claimer.request('r', entry, 100), [
      {
        type: 'answer',
        requestId: 'r',
        result: { type: 'taken', claimId: 'c1', fingerprint: 'f', answer },
      },
    ]);
  });

  it('answers as unavailable after the time-out while the log does not respond', () => {
    const claimer = core.createClaimer(OPTIONS, () => 'batch');
    const entry = {
      type: 'claim' as const,
      key: KEYS[0] as string,
      claimId: 'c',
      fingerprint: 'f',
    };
    claimer.request('r', entry, 0);
    const effects = claimer.tick(OPTIONS.requestTimeoutMs, 0);
    assert.ok(effects.some((effect) => effect.type === 'answer'));
  });

  it('accepts only version 7 UUIDs with a timestamp within the window as keys', () => {
    const now = 1_700_000_000_000;
    const at = (msecs: number) => core.checkIdempotencyKey(uuid.v7({ msecs }), now, 60_000);
    assert.equal(at(now - 1_000), 'valid');
    assert.equal(at(now - 61_000), 'stale');
    assert.equal(at(now + 120_000), 'from-the-future');
    assert.equal(core.checkIdempotencyKey(uuid.v4(), now, 60_000), 'malformed');
    assert.equal(core.checkIdempotencyKey('order-7', now, 60_000), 'malformed');
  });
});
