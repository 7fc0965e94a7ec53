import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

function createTracker(): (
  sentAt: number,
  callsPerSecond: number | undefined,
  now: number,
) => number | undefined {
  const rateLimit = mesh.createStatedRateLimit();
  rateLimit.setIncarnation('i-1|1');
  return (sentAt, callsPerSecond, now) => {
    rateLimit.recordResponse({ incarnation: 'i-1|1', sentAt, callsPerSecond }, now);
    return rateLimit.get();
  };
}

describe('stated rate limit', () => {
  it('holds until a response to a later request states none', () => {
    const record = createTracker();
    assert.equal(record(0, 12, 100), 12);
    assert.equal(record(50, undefined, 150), 12, 'sent before the limit was stated');
    assert.equal(record(110, 12, 300), 12);
    assert.equal(record(200, undefined, 310), 12, 'sent before it was stated again');
    assert.equal(record(320, undefined, 400), undefined);
  });

  it('follows a limit that falls and rises', () => {
    const record = createTracker();
    assert.deepEqual(
      [record(0, 20, 1), record(2, 5, 3), record(4, 0, 5), record(6, 30, 7)],
      [20, 5, 0, 30],
    );
  });

  it('ends with the incarnation that stated it', () => {
    const rateLimit = mesh.createStatedRateLimit();
    rateLimit.setIncarnation('i-1|1');
    const response = { incarnation: 'i-1|1', sentAt: 0, callsPerSecond: 5 };
    assert.equal(rateLimit.recordResponse(response, 1), true);
    rateLimit.setIncarnation('i-1|1');
    assert.equal(rateLimit.get(), 5);
    rateLimit.setIncarnation('i-1|2');
    assert.equal(rateLimit.get(), undefined);
    assert.equal(rateLimit.recordResponse(response, 2), false);
    assert.equal(rateLimit.get(), undefined);
  });
});
