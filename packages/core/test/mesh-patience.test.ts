import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const options = { ...mesh.patienceDefaults, minMs: 300, maxMs: 900 };

describe('patience with a peer', () => {
  it('stays at its shortest while signs of life come at once', () => {
    const patience = mesh.createPatienceEstimate(options);
    for (let sample = 0; sample < 50; sample += 1) patience.note(25);
    assert.equal(patience.timeoutMs(), 300);
  });

  it('grows where they take long on a busy link, up to its longest', () => {
    const patience = mesh.createPatienceEstimate(options);
    for (let sample = 0; sample < 50; sample += 1) patience.note(200 + (sample % 2) * 300);
    assert.ok(patience.timeoutMs() > 600);
    for (let sample = 0; sample < 50; sample += 1) patience.note(2_000);
    assert.equal(patience.timeoutMs(), 900);
  });

  it('grows after a wait that was too short, and shrinks when it was not needed', () => {
    const patience = mesh.createPatienceEstimate(options);
    patience.noteTimeout();
    patience.noteTimeout();
    assert.equal(patience.timeoutMs(), 675);
    for (let sample = 0; sample < 20; sample += 1) patience.note(30);
    assert.equal(patience.timeoutMs(), 300);
  });
});
