/** Guards the order in which holders give way, by which a crowd of senders cannot keep others out. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as byteBudgets from '../src/byte-budget.js';

const { describe, it } = test;

const LIMIT = 100;
const LONG_PAUSE_MS = 1_001;

function createBudget(tiers: readonly byteBudgets.BudgetTier[] = []) {
  let now = 0;
  const clock = { now: () => now, monotonic: () => now };
  const budget = byteBudgets.createByteBudget(LIMIT, tiers, clock);
  const ended: string[] = [];
  const hold = (name: string, bytes: number, expectedBytes = bytes): byteBudgets.Holding => {
    const holding = budget.open(expectedBytes);
    assert.ok(holding.reserve(bytes));
    holding.setEnd(() => {
      ended.push(name);
      holding.release();
    });
    return holding;
  };
  return {
    budget,
    ended,
    hold,
    wait: (ms: number) => {
      now += ms;
    },
  };
}

describe('a byte budget', () => {
  it('refuses a holding beyond the limit while the others are smaller and make progress', () => {
    const { budget, ended, hold } = createBudget();
    hold('a', 60);
    assert.equal(budget.open(60).reserve(60), false);
    assert.deepEqual(ended, []);
    assert.equal(budget.getUsedBytes(), 60);
  });

  it('ends a larger holding for a small one', () => {
    const { budget, ended, hold } = createBudget();
    hold('a', 30);
    hold('b', 70);
    assert.ok(budget.open(10).reserve(10));
    assert.deepEqual(ended, ['b']);
    assert.equal(budget.getUsedBytes(), 40);
  });

  it('ends a holding without progress first, also for a larger one', () => {
    const { budget, ended, hold, wait } = createBudget();
    hold('stalled', 30);
    wait(LONG_PAUSE_MS);
    hold('large', 60);
    assert.ok(budget.open(40).reserve(40));
    assert.deepEqual(ended, ['stalled']);
  });

  it('judges a holding by the size that it is expected to have', () => {
    const { budget, ended, hold } = createBudget();
    hold('a', 90);
    assert.equal(budget.open(95).reserve(20), false);
    assert.deepEqual(ended, []);
  });

  it('never ends a holding whose end has been taken away, or whose reader makes progress', () => {
    const { budget, ended, hold, wait } = createBudget();
    hold('running', 50).setEnd(undefined);
    let sentBytes = 0;
    hold('sending', 50).setEnd(
      () => ended.push('sending'),
      () => sentBytes,
    );
    wait(LONG_PAUSE_MS);
    sentBytes = 1;
    assert.equal(budget.open(1).reserve(1), false);
    assert.deepEqual(ended, []);
  });

  it('keeps room that large holdings cannot use', () => {
    const { budget } = createBudget([
      { maxBytes: 20, share: 1 },
      { maxBytes: Number.POSITIVE_INFINITY, share: 0.75 },
    ]);
    assert.ok(budget.open(75).reserve(75));
    assert.equal(budget.open(21).reserve(21), false);
    assert.ok(budget.open(20).reserve(20));
  });

  it('counts nothing twice or after the release', () => {
    const { budget, hold } = createBudget();
    const holding = hold('a', 10);
    holding.charge(200);
    assert.equal(budget.getUsedBytes(), 210);
    holding.release();
    holding.release();
    holding.charge(5);
    assert.equal(budget.getUsedBytes(), 0);
  });
});
