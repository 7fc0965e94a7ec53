/** The age of a proof, on a machine that is suspended or whose wall clock is stepped. */
import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as mesh from '@figshed/core/mesh';

const START = 1_000_000;

function createProof() {
  const time = { wall: START, monotonic: 0 };
  const clock = { now: () => time.wall, monotonic: () => time.monotonic };
  const pass = (ms: number): void => {
    time.wall += ms;
    time.monotonic += ms;
  };
  return { time, pass, proof: mesh.createVersionProof(clock, mesh.versionProofDefaults) };
}

describe('the proof that a version is the newest', () => {
  it('counts its age from the question, not from the response', () => {
    const { pass, proof } = createProof();
    assert.equal(proof.getAgeMs(), Number.POSITIVE_INFINITY);
    pass(400);
    proof.record({ askedAt: 0, provenAt: 0 });
    assert.equal(proof.getAgeMs(), 400);
    pass(100);
    assert.equal(proof.getAgeMs(), 500);
  });

  it('keeps the newest of several', () => {
    const { pass, proof } = createProof();
    pass(1_000);
    proof.record({ askedAt: 900, provenAt: 900 });
    proof.record({ askedAt: 950, provenAt: 200 });
    assert.equal(proof.getAgeMs(), 100);
  });

  it('is void after a suspension, in which the monotonic clock stands still', () => {
    const { time, pass, proof } = createProof();
    proof.record({ askedAt: 0, provenAt: 0 });
    time.wall += 4_000;
    assert.equal(proof.getAgeMs(), Number.POSITIVE_INFINITY);
    pass(50);
    proof.record({ askedAt: 0, provenAt: 0 });
    assert.equal(proof.getAgeMs(), Number.POSITIVE_INFINITY, 'asked before the suspension');
    proof.record({ askedAt: 10, provenAt: 10 });
    assert.equal(proof.getAgeMs(), 40);
  });

  it('is void after a step of the wall clock in either direction', () => {
    [-3_000, 3_000].forEach((step) => {
      const { time, proof } = createProof();
      proof.record({ askedAt: 0, provenAt: 0 });
      time.wall += step;
      assert.equal(proof.getAgeMs(), Number.POSITIVE_INFINITY);
    });
  });

  it('survives slow drift over many proofs', () => {
    const { time, pass, proof } = createProof();
    for (let second = 0; second < 1_000; second += 1) {
      pass(1_000);
      time.wall += 1;
      proof.record({ askedAt: time.monotonic, provenAt: time.monotonic });
      assert.equal(proof.getAgeMs(), 0);
    }
  });
});
