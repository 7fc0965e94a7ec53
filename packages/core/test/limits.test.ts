import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as support from './support.js';

const { describe, it } = test;

const RATE_LIMIT = { ratePerSecond: 100, burst: 10 };
const LEASE_MS = 4_000;
const MEMBERS = 4;
const COORDINATORS = 2;
const STEP_MS = 100;

const anyStep = fc.record({
  kind: fc.oneof(
    { weight: 6, arbitrary: fc.constant('grant' as const) },
    { weight: 5, arbitrary: fc.constant('take' as const) },
    { weight: 4, arbitrary: fc.constant('own' as const) },
    { weight: 1, arbitrary: fc.constant('deliver' as const) },
    { weight: 1, arbitrary: fc.constant('pause' as const) },
  ),
  member: fc.nat(MEMBERS - 1),
  coordinator: fc.nat(COORDINATORS - 1),
  count: fc.integer({ min: 1, max: 40 }),
  isDelayed: fc.boolean(),
});

type Step = typeof anyStep extends fc.Arbitrary<infer T> ? T : never;

/**
 * Simulates members that lease their shares to several coordinators at a time, as they do when
 * their membership views differ. Messages may be delayed.
 */
class LimitSimulation {
  public taken = 0;

  public now = 10_000;

  private readonly pools = Array.from({ length: COORDINATORS }, () =>
    core.createLeasePool({ leaseMs: LEASE_MS, computeLeasedShare: () => 0 }),
  );

  private readonly grantedLeases = Array.from({ length: MEMBERS }, () =>
    core.createGrantedLeases(LEASE_MS),
  );

  private readonly localBuckets = Array.from({ length: MEMBERS }, () =>
    core.createTokenBucket(0, 0, this.now),
  );

  private readonly stamps = new Map<string, number>();

  private readonly delayed: { coordinator: number; lease: core.ReceivedLease }[] = [];

  public step({ kind, member, coordinator, count, isDelayed }: Step): void {
    this.now += STEP_MS;
    const handlers: Record<Step['kind'], () => void> = {
      grant: () => this.grantLease(member, coordinator, isDelayed),
      take: () => {
        this.taken += this.pools[coordinator]?.takeTokens('c', RATE_LIMIT, count, this.now) ?? 0;
      },
      own: () => this.takeLocally(member, count),
      deliver: () => {
        const message = this.delayed.shift();
        if (message) this.pools[message.coordinator]?.receiveLease(message.lease, this.now);
      },
      pause: () => {
        this.now += count * STEP_MS;
      },
    };
    handlers[kind]();
  }

  private grantLease(member: number, coordinator: number, isDelayed: boolean): void {
    const grantedLeases = this.grantedLeases[member] as core.GrantedLeases;
    const holder = `k${coordinator}`;
    const key = `${member}|${coordinator}`;
    const share = Math.max(
      0,
      1 / MEMBERS - grantedLeases.computeLeasedShare(undefined, this.now, holder),
    );
    const table = { share, exceptions: {} };
    grantedLeases.grant(holder, table, this.now);
    const lease = { ...table, from: `m${member}`, echo: this.stamps.get(key) ?? null };
    if (isDelayed) {
      this.delayed.push({ coordinator, lease });
      return;
    }
    this.pools[coordinator]?.receiveLease(lease, this.now);
    this.stamps.set(key, this.now);
  }

  private takeLocally(member: number, count: number): void {
    const bucket = this.localBuckets[member] as core.TokenBucket;
    const leasedShare = this.grantedLeases[member]?.computeLeasedShare(undefined, this.now) ?? 0;
    const share = Math.max(0, 1 / MEMBERS - leasedShare);
    bucket.setLimits(RATE_LIMIT.ratePerSecond * share, RATE_LIMIT.burst * share, this.now);
    this.taken += bucket.takeUpTo(count, this.now);
  }
}

describe('limits of a customer over many processes', () => {
  it('admit no more than the rate and the burst while several processes act as coordinator', () => {
    let taken = 0;
    fc.assert(
      fc.property(fc.array(anyStep, { minLength: 100, maxLength: 300 }), (steps) => {
        const simulation = new LimitSimulation();
        const startedAt = simulation.now;
        steps.forEach((step) => {
          simulation.step(step);
          const allowed =
            ((simulation.now - startedAt) / 1_000) * RATE_LIMIT.ratePerSecond + RATE_LIMIT.burst;
          assert.ok(simulation.taken <= allowed, `${simulation.taken} of ${allowed}`);
        });
        taken += simulation.taken;
      }),
      { ...support.propertyOptions, numRuns: 200 },
    );
    assert.ok(taken > 1_000, `only ${taken} tokens were taken`);
  });

  it('let one busy member use nearly the whole rate while the others are idle', () => {
    const pool = core.createLeasePool({ leaseMs: LEASE_MS, computeLeasedShare: () => 0 });
    let taken = 0;
    for (let now = 0; now <= 20_000; now += 100) {
      if (now % 1_000 === 0) {
        for (let member = 0; member < MEMBERS; member += 1) {
          const echo = now === 0 ? null : now - 1_000;
          pool.receiveLease({ from: `m${member}`, share: 0.25, exceptions: {}, echo }, now);
        }
      }
      taken += pool.takeTokens('c', RATE_LIMIT, 20, now);
    }
    assert.ok(taken > 0.9 * 20 * RATE_LIMIT.ratePerSecond, String(taken));
  });

  it('start a lease at the time that the grantor echoed, and ignore a lease without one', () => {
    const pool = core.createLeasePool({ leaseMs: LEASE_MS, computeLeasedShare: () => 0 });
    pool.receiveLease({ from: 'm', share: 1, exceptions: {}, echo: null }, 10_000);
    assert.equal(pool.computeAvailableShare('c', 10_000), 0);
    pool.receiveLease({ from: 'm', share: 1, exceptions: {}, echo: 1_000 }, 10_000);
    assert.equal(pool.computeAvailableShare('c', 10_000), 0);
    pool.receiveLease({ from: 'm', share: 1, exceptions: {}, echo: 9_000 }, 10_000);
    assert.equal(pool.computeAvailableShare('c', 10_000), 1);
    assert.equal(pool.computeAvailableShare('c', 13_001), 0);
  });
});

describe('a lease pool', () => {
  it('has tokens for the first request of a customer', () => {
    const pool = core.createLeasePool({ leaseMs: LEASE_MS, computeLeasedShare: () => 0 });
    const customers = new Map([['c', RATE_LIMIT]]);
    pool.receiveLease({ from: 'm', share: 1, exceptions: {}, echo: 0 }, 1);
    pool.updateBuckets(customers, 1);
    pool.updateBuckets(customers, 1_001);
    assert.equal(pool.takeTokens('c', RATE_LIMIT, 1, 1_001), 1);
  });
});

describe('a token cache', () => {
  it('requests tokens for the expected demand, and discards expired tokens', () => {
    const cache = core.createTokenCache(core.tokenCacheDefaults);
    for (let call = 0; call < 100; call += 1) cache.takeToken('c', 0);
    assert.ok((cache.computeTokenRequests(0).c ?? 0) >= 40);
    cache.addTokens('c', 5, 0);
    assert.equal(cache.takeToken('c', 1), true);
    assert.equal(cache.takeToken('c', core.tokenCacheDefaults.tokenTtlMs + 1), false);
  });
});
