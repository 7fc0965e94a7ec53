import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const options = { ...mesh.ackTimeoutDefaults, minMs: 300, maxMs: 900 };

describe('acknowledgement time-out', () => {
  it('stays at the minimum while acknowledgements arrive quickly', () => {
    const timeout = mesh.createAckTimeout(options);
    for (let sample = 0; sample < 50; sample += 1) timeout.addSample(25);
    assert.equal(timeout.getTimeoutMs(), 300);
  });

  it('increases up to the maximum when acknowledgements are slow on a busy link', () => {
    const timeout = mesh.createAckTimeout(options);
    for (let sample = 0; sample < 50; sample += 1) timeout.addSample(200 + (sample % 2) * 300);
    assert.ok(timeout.getTimeoutMs() > 600);
    for (let sample = 0; sample < 50; sample += 1) timeout.addSample(2_000);
    assert.equal(timeout.getTimeoutMs(), 900);
  });

  it('backs off after each time-out, and decreases while acknowledgements are quick', () => {
    const timeout = mesh.createAckTimeout(options);
    timeout.recordTimeout();
    timeout.recordTimeout();
    assert.equal(timeout.getTimeoutMs(), 675);
    for (let sample = 0; sample < 20; sample += 1) timeout.addSample(30);
    assert.equal(timeout.getTimeoutMs(), 300);
  });
});
