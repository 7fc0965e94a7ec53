import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const options = { ...mesh.patienceDefaults, minMs: 300, maxMs: 900 };

describe('acknowledgement time-out', () => {
  it('stays at the minimum while acknowledgements arrive quickly', () => {
    const timeout = mesh.createPatienceEstimate(options);
    for (let sample = 0; sample < 50; sample += 1) timeout.note(25);
    assert.equal(timeout.timeoutMs(), 300);
  });

  it('increases up to the maximum when acknowledgements are slow on a busy link', () => {
    const timeout = mesh.createPatienceEstimate(options);
    for (let sample = 0; sample < 50; sample += 1) timeout.note(200 + (sample % 2) * 300);
    assert.ok(timeout.timeoutMs() > 600);
    for (let sample = 0; sample < 50; sample += 1) timeout.note(2_000);
    assert.equal(timeout.timeoutMs(), 900);
  });

  it('backs off after each time-out, and decreases while acknowledgements are quick', () => {
    const timeout = mesh.createPatienceEstimate(options);
    timeout.noteTimeout();
    timeout.noteTimeout();
    assert.equal(timeout.timeoutMs(), 675);
    for (let sample = 0; sample < 20; sample += 1) timeout.note(30);
    assert.equal(timeout.timeoutMs(), 300);
  });
});
