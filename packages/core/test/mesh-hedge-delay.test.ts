import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

const { describe, it } = test;

describe('hedge delay', () => {
  it('is undefined until there are enough samples', () => {
    const hedgeDelays = mesh.createHedgeDelayEstimator(mesh.hedgeDelayDefaults);
    for (let sample = 1; sample < mesh.hedgeDelayDefaults.minSamples; sample += 1) {
      hedgeDelays.addSample('read', 100);
      assert.equal(hedgeDelays.computeHedgeDelayMs('read'), undefined);
    }
    hedgeDelays.addSample('read', 100);
    assert.equal(hedgeDelays.computeHedgeDelayMs('read'), 200);
    assert.equal(hedgeDelays.computeHedgeDelayMs('other'), undefined);
  });

  it('hedges few calls of a long-tailed target, and detects one that is several times slower', () => {
    const random = support.createSeededRandom(11);
    const hedgeDelays = mesh.createHedgeDelayEstimator(mesh.hedgeDelayDefaults);
    // Log-normal response times with a mean of about 200 ms, as real services have them.
    const drawLogNormalMs = (): number =>
      140 * Math.exp(0.8 * Math.sqrt(-2 * Math.log(random())) * Math.cos(2 * Math.PI * random()));
    let overdue = 0;
    for (let sample = 0; sample < 5_000; sample += 1) {
      const tookMs = drawLogNormalMs();
      if (tookMs > (hedgeDelays.computeHedgeDelayMs('read') ?? Number.POSITIVE_INFINITY))
        overdue += 1;
      hedgeDelays.addSample('read', tookMs);
    }
    assert.ok(overdue / 5_000 < 0.06, `${overdue} of 5000`);
    assert.ok((hedgeDelays.computeHedgeDelayMs('read') ?? 0) < 200 * 6);
  });
});
