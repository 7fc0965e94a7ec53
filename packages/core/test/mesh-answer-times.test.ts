import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

const { describe, it } = test;

describe('answer times', () => {
  it('call nothing overdue before enough answers are known', () => {
    const times = mesh.createAnswerTimes(mesh.answerTimesDefaults);
    for (let answer = 1; answer < mesh.answerTimesDefaults.minSamples; answer += 1) {
      times.note('read', 100);
      assert.equal(times.overdueAfterMs('read'), undefined);
    }
    times.note('read', 100);
    assert.equal(times.overdueAfterMs('read'), 200);
    assert.equal(times.overdueAfterMs('other'), undefined);
  });

  it('leave the tail of a healthy target alone and find one that is several times slower', () => {
    const random = support.createRandom(11);
    const times = mesh.createAnswerTimes(mesh.answerTimesDefaults);
    // A long-tailed time with a mean of about 200 ms, as services show it.
    const draw = (): number =>
      140 * Math.exp(0.8 * Math.sqrt(-2 * Math.log(random())) * Math.cos(2 * Math.PI * random()));
    let overdue = 0;
    for (let answer = 0; answer < 5_000; answer += 1) {
      const tookMs = draw();
      if (tookMs > (times.overdueAfterMs('read') ?? Number.POSITIVE_INFINITY)) overdue += 1;
      times.note('read', tookMs);
    }
    assert.ok(overdue / 5_000 < 0.06, `${overdue} of 5000`);
    assert.ok((times.overdueAfterMs('read') ?? 0) < 200 * 6);
  });
});
