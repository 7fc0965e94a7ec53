import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';
import * as overloadSimulation from './overload-simulation.js';

const { describe, it } = test;

/**
 * Reads of one service, recorded for each quarter of a second of an overload: callers that retry at
 * once, targets that are replaced, and a burst.
 */
const recordedArrivals = [
  42, 67, 54, 47, 63, 49, 42, 61, 63, 57, 48, 77, 68, 69, 49, 50, 48, 61, 56, 64, 55, 51, 63, 78,
  63, 57, 82, 88, 67, 62, 82, 54, 96, 55, 60, 94, 76, 77, 79, 90, 103, 79, 63, 77, 55, 77, 63, 72,
  82, 71, 61, 85, 83, 93, 61, 54,
];

const recordedLoad: Omit<overloadSimulation.SimulatedLoad, 'meanServiceMs' | 'seed'> = {
  arrivals: recordedArrivals,
  dataCentres: [
    { name: 'oulu-a', region: 'oulu', share: 724 },
    { name: 'pirkanmaa-b', region: 'pirkanmaa', share: 652 },
    { name: 'uusimaa-a', region: 'uusimaa', share: 588 },
    { name: 'oulu-b', region: 'oulu', share: 575 },
    { name: 'pirkanmaa-a', region: 'pirkanmaa', share: 493 },
    { name: 'uusimaa-b', region: 'uusimaa', share: 420 },
  ],
  slots: 6,
  speeds: [0.6, 1, 1.4],
  objectiveMs: 300,
  deadlineMs: 1_200,
};

/** Time with the nested calls, at the speed of the targets that remained. */
const OVERLOAD_SERVICE_MS = 190;
const NORMAL_SERVICE_MS = 90;
/** The target: 1% of the worth of that day, 21,274 calls, may be lost by calls held untried. */
const MAX_HELD_CALLS = 213;

describe('overload of a service', () => {
  [1, 2, 3].forEach((seed) => {
    it(`rejects early what cannot be served, seed ${seed}`, () => {
      const result = overloadSimulation.simulateLoad({
        ...recordedLoad,
        meanServiceMs: OVERLOAD_SERVICE_MS,
        seed,
      });
      assert.ok(result.rejected > result.arrived / 10, 'no overload');
      assert.equal(result.expiredUntried, 0);
      assert.ok(result.heldUntried < MAX_HELD_CALLS, `held untried: ${result.heldUntried}`);
    });
  });

  it('rejects nothing that the same targets can serve at their usual speed', () => {
    const result = overloadSimulation.simulateLoad({
      ...recordedLoad,
      meanServiceMs: NORMAL_SERVICE_MS,
      seed: 1,
    });
    assert.equal(result.rejected + result.expiredUntried, 0);
  });
});

describe('share of late calls', () => {
  it('follows the starts while late calls are queued, and returns to its prior', () => {
    const options = mesh.lateShareDefaults;
    const lateShare = mesh.createLateShare(options);
    assert.equal(lateShare.estimate(0), options.priorShare);
    for (let start = 0; start < 100; start += 1) lateShare.recordStart(false, start);
    assert.equal(lateShare.estimate(100), options.minShare);
    assert.ok(lateShare.estimate(100 + 10 * options.halfLifeMs) > options.priorShare * 0.99);
    for (let start = 0; start < 100; start += 1) lateShare.recordStart(true, 200 + start);
    assert.ok(lateShare.estimate(300) > 0.9);
  });
});

describe('rejected calls', () => {
  const call = { key: 'read /a', firstReceivedAt: 0, deadlineAt: 1_200 };

  it('recognise the call of a caller that returns, once', () => {
    const rejectedCalls = mesh.createRejectedCalls(mesh.rejectedCallsDefaults);
    rejectedCalls.record(call, 0);
    assert.equal(rejectedCalls.take('read /b', 1_200), undefined);
    assert.equal(rejectedCalls.take('read /a', 1_300), undefined);
    assert.equal(rejectedCalls.take('read /a', 1_210), call);
    assert.equal(rejectedCalls.take('read /a', 1_210), undefined);
  });

  it('forget the oldest when there are too many', () => {
    const rejectedCalls = mesh.createRejectedCalls({ toleranceMs: 30, maxCalls: 1 });
    rejectedCalls.record(call, 0);
    rejectedCalls.record({ ...call, deadlineAt: 5_000 }, 0);
    assert.equal(rejectedCalls.take('read /a', 1_200), undefined);
    assert.ok(rejectedCalls.take('read /a', 5_000));
  });

  it('forget those whose deadline has passed', () => {
    const rejectedCalls = mesh.createRejectedCalls(mesh.rejectedCallsDefaults);
    rejectedCalls.record(call, 0);
    rejectedCalls.record({ ...call, deadlineAt: 5_000 }, 1_201);
    assert.equal(rejectedCalls.take('read /a', 1_200), undefined);
  });
});
