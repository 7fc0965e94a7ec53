import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const route = (over: Partial<mesh.RoutePolicy> = {}): mesh.RoutePolicy => ({
  name: 'read',
  host: 'shop.example',
  pathPrefix: '/a/',
  parts: [{ service: 'catalogue', weight: 1 }],
  isRepeatable: true,
  timeoutMs: 1_000,
  objectiveMs: 600,
  rank: 2,
  maxAttempts: 2,
  ...over,
});

const config = (routes: mesh.RoutePolicy[]): mesh.MeshConfig => ({
  version: 1,
  routes,
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const load = (over: Partial<mesh.TargetLoad>): mesh.TargetLoad => ({
  running: 0,
  waiting: 0,
  late: 0,
  slots: 10,
  serviceMs: 100,
  failureShare: 0,
  backlogMs: 0,
  kilobyteMs: 0,
  ...over,
});

const candidate = (
  hostId: string,
  over: Partial<mesh.PlacementCandidate> = {},
): mesh.PlacementCandidate => ({
  hostId,
  reach: 'data-centre',
  slots: 10,
  openCalls: 0,
  load: load({}),
  loadAgeMs: 0,
  isCold: false,
  ...over,
});

/** A plain sequence of numbers in [0, 1), enough to spread choices in a test. */
const createSequence = (): (() => number) => {
  let value = 0.1;
  return () => {
    value = (value + 0.618_033_988_75) % 1;
    return value;
  };
};

const countChoices = (
  candidates: readonly mesh.PlacementCandidate[],
  rounds: number,
  kilobytes = 0,
): Map<string, number> => {
  const random = createSequence();
  const counts = new Map<string, number>();
  for (let round = 0; round < rounds; round += 1) {
    const choice = mesh.choosePlacement(
      candidates,
      new Set(),
      { answerKilobytes: kilobytes, mayBeLate: false },
      mesh.placementDefaults,
      random,
    );
    if (choice) counts.set(choice.hostId, (counts.get(choice.hostId) ?? 0) + 1);
  }
  return counts;
};

describe('routes', () => {
  it('finds the longest prefix of the host', () => {
    const table = mesh.compileRoutes(
      config([route(), route({ name: 'deep', pathPrefix: '/a/b/' }), route({ host: 'x.example' })]),
    );
    assert.equal(table.find('shop.example', '/a/b/c')?.name, 'deep');
    assert.equal(table.find('SHOP.example:80', '/a/c')?.name, 'read');
    assert.equal(table.find('shop.example', '/b/'), undefined);
    assert.equal(table.find('other.example', '/a/'), undefined);
  });
});

describe('splitter', () => {
  it('keeps each part within one call of its weight', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 5 }),
        (weights) => {
          fc.pre(weights.some((weight) => weight > 0));
          const split = route({
            parts: weights.map((weight, index) => ({ service: `s${index}`, weight })),
          });
          const splitter = mesh.createSplitter(createSequence());
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          const counts = new Map<string, number>();
          const rounds = 500;
          for (let round = 0; round < rounds; round += 1) {
            const service = splitter.choose(split);
            counts.set(service, (counts.get(service) ?? 0) + 1);
          }
          weights.forEach((weight, index) => {
            const expected = (rounds * weight) / total;
            // The random start adds at most one call for each part.
            const slack = weights.length + 1;
            assert.ok(Math.abs((counts.get(`s${index}`) ?? 0) - expected) <= slack);
          });
        },
      ),
    );
  });

  it('takes new weights at once', () => {
    const splitter = mesh.createSplitter(createSequence());
    splitter.choose(
      route({
        parts: [
          { service: 'a', weight: 9 },
          { service: 'b', weight: 1 },
        ],
      }),
    );
    const moved = route({
      parts: [
        { service: 'a', weight: 0 },
        { service: 'b', weight: 1 },
      ],
    });
    const services = Array.from({ length: 20 }, () => splitter.choose(moved));
    assert.deepEqual([...new Set(services)], ['b']);
  });
});

describe('placement', () => {
  it('stays near while the near target is not much slower', () => {
    const counts = countChoices([candidate('near'), candidate('far', { reach: 'remote' })], 100);
    assert.equal(counts.get('near'), 100);
  });

  it('leaves a full near target for a free far one', () => {
    const full = load({ running: 10, waiting: 20 });
    const counts = countChoices(
      [candidate('near', { load: full }), candidate('far', { reach: 'remote' })],
      100,
    );
    assert.equal(counts.get('far'), 100);
  });

  it('keeps large answers near although the near target is busier', () => {
    const busy = load({ running: 10, waiting: 15 });
    const candidates = [candidate('near', { load: busy }), candidate('far', { reach: 'remote' })];
    assert.equal(countChoices(candidates, 100, 90).get('near'), 100);
    assert.equal(countChoices(candidates, 100, 0).get('far'), 100);
  });

  it('avoids a target that fails, although it fails fast', () => {
    const failing = load({ serviceMs: 10, failureShare: 0.5 });
    const counts = countChoices([candidate('failing', { load: failing }), candidate('sound')], 100);
    assert.equal(counts.get('sound'), 100);
  });

  it('tries a newcomer soon, and does not flood it', () => {
    const counts = countChoices(
      [candidate('known'), candidate('new', { load: undefined, isCold: true })],
      100,
    );
    const share = (counts.get('new') ?? 0) / 100;
    assert.ok(share > 0.1 && share < 0.5, `share ${share}`);
  });

  it('passes over the hosts that were tried', () => {
    const choice = mesh.choosePlacement(
      [candidate('a'), candidate('b')],
      new Set(['a']),
      { answerKilobytes: 0, mayBeLate: false },
      mesh.placementDefaults,
      createSequence(),
    );
    assert.equal(choice?.hostId, 'b');
  });

  it('looks past calls that are late already, unless the call is late itself', () => {
    const behind = load({ running: 10, late: 30 });
    const candidates = [candidate('near', { load: behind }), candidate('far', { reach: 'region' })];
    const choose = (mayBeLate: boolean) =>
      mesh.choosePlacement(
        candidates.map((item) =>
          item.hostId === 'far' ? { ...item, load: load({ running: 10, waiting: 10 }) } : item,
        ),
        new Set(),
        { answerKilobytes: 0, mayBeLate },
        mesh.placementDefaults,
        createSequence(),
      )?.hostId;
    assert.equal(choose(false), 'near');
    assert.equal(choose(true), 'far');
  });

  it('takes a large answer from a host whose narrow link is free', () => {
    const narrow = { kilobyteMs: 2 };
    const candidates = [
      candidate('busy-link', { load: load({ ...narrow, backlogMs: 900 }) }),
      candidate('free-link', { load: load({ ...narrow, running: 5 }), reach: 'region' }),
    ];
    assert.equal(countChoices(candidates, 100, 90).get('free-link'), 100);
    assert.equal(countChoices(candidates, 100, 1).get('busy-link'), 100);
  });

  it('counts a slot as free only where that is known and recent', () => {
    const isFree = (over: Partial<mesh.PlacementCandidate>): boolean =>
      mesh.hasFreeSlot(candidate('a', over), mesh.placementDefaults);
    assert.equal(isFree({ load: load({ running: 9 }) }), true);
    assert.equal(isFree({ load: load({ running: 9, late: 1 }) }), false);
    assert.equal(isFree({ load: load({ running: 1 }), openCalls: 10 }), false);
    assert.equal(isFree({ load: undefined }), false);
    assert.equal(isFree({ loadAgeMs: 10 * mesh.placementDefaults.loadHalfLifeMs }), false);
  });
});
