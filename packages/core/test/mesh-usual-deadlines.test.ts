import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

describe('usual deadlines', () => {
  it('take a shorter deadline for the time that the caller has spent', () => {
    const deadlines = mesh.createUsualDeadlines();
    assert.equal(deadlines.note('read', 1_500), 0);
    assert.equal(Math.round(deadlines.note('read', 1_100)), 400);
    assert.equal(deadlines.note('read', 1_500), 0);
    assert.equal(deadlines.note('order', 800), 0);
  });

  it('learn that callers have come to give shorter ones', () => {
    const deadlines = mesh.createUsualDeadlines();
    deadlines.note('read', 3_000);
    let spentMs = 0;
    for (let call = 0; call < 2_000; call += 1) spentMs = deadlines.note('read', 1_000);
    assert.ok(spentMs < 10, String(spentMs));
  });
});
