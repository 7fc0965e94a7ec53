import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const options = { ...mesh.unknownRouteDefaults, applyWithinMs: 2_000 };
const FRESH: mesh.VersionKnowledge = {
  hasVersion: true,
  ageMs: 1_999,
  isBehind: false,
  isSourceReachable: true,
};

const decide = (change: Partial<mesh.VersionKnowledge>): mesh.UnknownRouteVerdict =>
  mesh.decideUnknownRoute({ ...FRESH, ...change }, options);

describe('verdict on a route that the version in force lacks', () => {
  it('is absent while the version is confirmed, also when the source has been lost since', () => {
    assert.deepEqual(decide({}), { type: 'absent' });
    assert.deepEqual(decide({ isSourceReachable: false }), { type: 'absent' });
  });

  const undecided: [string, Partial<mesh.VersionKnowledge>, boolean][] = [
    ['the version was confirmed as long ago as a change may take', { ageMs: 2_000 }, true],
    ['nobody has confirmed the version', { ageMs: Number.POSITIVE_INFINITY }, true],
    ['the source is lost', { ageMs: 2_000, isSourceReachable: false }, false],
    ['the source has no version yet', { hasVersion: false }, false],
    ['a newer version is known', { isBehind: true }, false],
  ];
  undecided.forEach(([name, change, shouldRead]) =>
    it(`is undecided when ${name}`, () =>
      assert.deepEqual(decide(change), { type: 'undecided', retryAfterMs: 200, shouldRead })),
  );
});
