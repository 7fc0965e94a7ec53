import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const createRoute = (overrides: Partial<mesh.RoutePolicy> = {}): mesh.RoutePolicy => ({
  name: 'read',
  host: 'shop.example',
  pathPrefix: '/a/',
  parts: [{ service: 'catalogue', weight: 1 }],
  isRepeatable: true,
  timeoutMs: 1_000,
  objectiveMs: 600,
  rank: 2,
  maxAttempts: 2,
  ...overrides,
});

const createConfig = (routes: mesh.RoutePolicy[]): mesh.MeshConfig => ({
  version: 1,
  routes,
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const createLoad = (overrides: Partial<mesh.TargetLoad>): mesh.TargetLoad => ({
  running: 0,
  waiting: 0,
  late: 0,
  slots: 10,
  serviceMs: 100,
  startDelayMs: 0,
  failureShare: 0,
  backlogMs: 0,
  kilobyteMs: 0,
  remainingMs: 0,
  lateRemainingMs: 0,
  unitMs: 0,
  ...overrides,
});

const createCandidate = (
  hostId: string,
  overrides: Partial<mesh.PlacementCandidate> = {},
): mesh.PlacementCandidate => ({
  hostId,
  locality: 'data-centre',
  slots: 10,
  openCalls: 0,
  sentWork: 0,
  load: createLoad({}),
  loadAgeMs: 0,
  queueAgeMs: 0,
  isCold: false,
  ...overrides,
});

/** Deterministic replacement of a random source: evenly distributed numbers in [0, 1). */
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
      { kilobytes, work: 1, mayBeLate: false },
      mesh.placementDefaults,
      random,
    );
    if (choice) counts.set(choice.hostId, (counts.get(choice.hostId) ?? 0) + 1);
  }
  return counts;
};

describe('routes', () => {
  it('match by host name and longest path prefix', () => {
    const table = mesh.compileRoutes(
      createConfig([
        createRoute(),
        createRoute({ name: 'deep', pathPrefix: '/a/b/' }),
        createRoute({ host: 'x.example' }),
      ]),
    );
    assert.equal(table.findRoute('shop.example', '/a/b/c')?.name, 'deep');
    assert.equal(table.findRoute('SHOP.example:80', '/a/c')?.name, 'read');
    assert.equal(table.findRoute('shop.example', '/b/'), undefined);
    assert.equal(table.findRoute('other.example', '/a/'), undefined);
  });
});

describe('traffic splitter', () => {
  it('matches the weights within a few calls per service', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 5 }),
        (weights) => {
          fc.pre(weights.some((weight) => weight > 0));
          const splitRoute = createRoute({
            parts: weights.map((weight, index) => ({ service: `s${index}`, weight })),
          });
          const splitter = mesh.createTrafficSplitter(createSequence());
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          const counts = new Map<string, number>();
          const rounds = 500;
          for (let round = 0; round < rounds; round += 1) {
            const service = splitter.chooseService(splitRoute);
            counts.set(service, (counts.get(service) ?? 0) + 1);
          }
          weights.forEach((weight, index) => {
            const expected = (rounds * weight) / total;
            // The random initial weights shift at most one call per service.
            const tolerance = weights.length + 1;
            assert.ok(Math.abs((counts.get(`s${index}`) ?? 0) - expected) <= tolerance);
          });
        },
      ),
    );
  });

  it('applies changed weights immediately', () => {
    const splitter = mesh.createTrafficSplitter(createSequence());
    splitter.chooseService(
      createRoute({
        parts: [
          { service: 'a', weight: 9 },
          { service: 'b', weight: 1 },
        ],
      }),
    );
    const changedRoute = createRoute({
      parts: [
        { service: 'a', weight: 0 },
        { service: 'b', weight: 1 },
      ],
    });
    const services = Array.from({ length: 20 }, () => splitter.chooseService(changedRoute));
    assert.deepEqual([...new Set(services)], ['b']);
  });
});

describe('placement', () => {
  it('prefers a local target at similar load', () => {
    const counts = countChoices(
      [createCandidate('near'), createCandidate('far', { locality: 'remote' })],
      100,
    );
    assert.equal(counts.get('near'), 100);
  });

  it('prefers an idle remote target to a full local one', () => {
    const fullLoad = createLoad({ running: 10, waiting: 20 });
    const counts = countChoices(
      [createCandidate('near', { load: fullLoad }), createCandidate('far', { locality: 'remote' })],
      100,
    );
    assert.equal(counts.get('far'), 100);
  });

  it('keeps calls with large responses local even when the local target is busier', () => {
    const busyLoad = createLoad({ running: 10, waiting: 15 });
    const candidates = [
      createCandidate('near', { load: busyLoad }),
      createCandidate('far', { locality: 'remote' }),
    ];
    assert.equal(countChoices(candidates, 100, 90).get('near'), 100);
    assert.equal(countChoices(candidates, 100, 0).get('far'), 100);
  });

  it('avoids a failing target even when it fails quickly', () => {
    const failingLoad = createLoad({ serviceMs: 10, failureShare: 0.5 });
    const counts = countChoices(
      [createCandidate('failing', { load: failingLoad }), createCandidate('sound')],
      100,
    );
    assert.equal(counts.get('sound'), 100);
  });

  it('sends a limited share of calls to a target without measurements', () => {
    const counts = countChoices(
      [createCandidate('known'), createCandidate('new', { load: undefined, isCold: true })],
      100,
    );
    const share = (counts.get('new') ?? 0) / 100;
    assert.ok(share > 0.1 && share < 0.5, `share ${share}`);
  });

  it('skips the hosts that were already tried', () => {
    const choice = mesh.choosePlacement(
      [createCandidate('a'), createCandidate('b')],
      new Set(['a']),
      { kilobytes: 0, work: 1, mayBeLate: false },
      mesh.placementDefaults,
      createSequence(),
    );
    assert.equal(choice?.hostId, 'b');
  });

  it('counts queued late calls only for a call that is late itself', () => {
    const lateBacklog = createLoad({ running: 10, late: 30 });
    const candidates = [
      createCandidate('near', { load: lateBacklog }),
      createCandidate('far', { locality: 'region' }),
    ];
    const choose = (mayBeLate: boolean) =>
      mesh.choosePlacement(
        candidates.map((candidate) =>
          candidate.hostId === 'far'
            ? { ...candidate, load: createLoad({ running: 10, waiting: 10 }) }
            : candidate,
        ),
        new Set(),
        { kilobytes: 0, work: 1, mayBeLate },
        mesh.placementDefaults,
        createSequence(),
      )?.hostId;
    assert.equal(choose(false), 'near');
    assert.equal(choose(true), 'far');
  });

  it('prefers a host with an idle link for large responses', () => {
    const narrowLink = { kilobyteMs: 2 };
    const candidates = [
      createCandidate('busy-link', { load: createLoad({ ...narrowLink, backlogMs: 900 }) }),
      createCandidate('free-link', {
        load: createLoad({ ...narrowLink, running: 5 }),
        locality: 'region',
      }),
    ];
    assert.equal(countChoices(candidates, 100, 90).get('free-link'), 100);
    assert.equal(countChoices(candidates, 100, 1).get('busy-link'), 100);
  });

  it('reports a free slot only with a recent load report', () => {
    const isFree = (overrides: Partial<mesh.PlacementCandidate>): boolean =>
      mesh.hasFreeSlot(createCandidate('a', overrides), mesh.placementDefaults);
    assert.equal(isFree({ load: createLoad({ running: 9 }) }), true);
    assert.equal(isFree({ load: createLoad({ running: 9, late: 1 }) }), false);
    assert.equal(isFree({ load: createLoad({ running: 1 }), openCalls: 10 }), false);
    assert.equal(isFree({ load: undefined }), false);
    const unknown = createCandidate('a', { load: undefined });
    assert.equal(mesh.hasFreeSlot(unknown, mesh.placementDefaults, true), true);
    assert.equal(isFree({ loadAgeMs: 10 * mesh.placementDefaults.loadHalfLifeMs }), false);
  });

  it('prefers a target whose rate limit admits the call', () => {
    const limited = createLoad({ serviceMs: 100, startDelayMs: 400 });
    const candidates = [
      createCandidate('limited', { load: limited }),
      createCandidate('free', { load: createLoad({ serviceMs: 100, running: 5 }) }),
    ];
    const call = { kilobytes: 0, work: 1, mayBeLate: false };
    const choose = (tried: ReadonlySet<string>): string | undefined =>
      mesh.choosePlacement(candidates, tried, call, mesh.placementDefaults, () => 0.5)?.hostId;
    assert.equal(choose(new Set()), 'free');
    assert.equal(choose(new Set(['free'])), 'limited');
    const [limitedCandidate] = candidates;
    assert.ok(limitedCandidate);
    assert.equal(mesh.hasFreeSlot(limitedCandidate, mesh.placementDefaults), false);
  });
});
