import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const routeArbitrary: fc.Arbitrary<mesh.RoutePolicy> = fc.record({
  name: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'),
  host: fc.constantFrom('shop.example', 'stock.example'),
  pathPrefix: fc.constantFrom('/', '/read/', '/order/'),
  parts: fc.array(
    fc.record({ service: fc.constantFrom('x', 'y'), weight: fc.integer({ min: 0, max: 3 }) }),
    { maxLength: 2 },
  ),
  isRepeatable: fc.boolean(),
  timeoutMs: fc.integer({ min: 1, max: 3 }),
  objectiveMs: fc.constant(100),
  rank: fc.constant(0),
  maxAttempts: fc.constant(2),
});
const serviceArbitrary: fc.Arbitrary<mesh.MeshService> = fc.record({
  name: fc.constantFrom('x', 'y', 'z'),
  healthPath: fc.constant('/health'),
  maxConnections: fc.integer({ min: 1, max: 2 }),
});
/** Includes lists with the same name twice, which the operator's format does not exclude. */
const configArbitrary: fc.Arbitrary<mesh.MeshConfig> = fc.record({
  version: fc.integer({ min: 0, max: 1_000 }),
  routes: fc.array(routeArbitrary, { maxLength: 12 }),
  services: fc.array(serviceArbitrary, { maxLength: 4 }),
  limits: fc.record({
    maxHeaderBytes: fc.constant(1),
    maxBodyBytes: fc.integer({ min: 1, max: 2 }),
    headerTimeoutMs: fc.constant(1),
    idleTimeoutMs: fc.constant(1),
  }),
});

const createRoute = (name: string, timeoutMs = 1): mesh.RoutePolicy => ({
  name,
  host: `${name}.example`,
  pathPrefix: '/',
  parts: [{ service: 'x', weight: 1 }],
  isRepeatable: true,
  timeoutMs,
  objectiveMs: 100,
  rank: 0,
  maxAttempts: 2,
});
const createConfig = (version: number, routes: readonly mesh.RoutePolicy[]): mesh.MeshConfig => ({
  version,
  routes,
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});
const names = Array.from({ length: 100 }, (_, index) => `route-${index}`);
const largeConfig = createConfig(
  1,
  names.map((name) => createRoute(name)),
);
const copyOf = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;

/** Changes the time-out of one route of the large configuration. */
const createVersion = (version: number): mesh.MeshConfig =>
  createConfig(
    version,
    names.map((name, index) => createRoute(name, index === version % names.length ? version : 1)),
  );

/** Plain objects, as JSON gives them. */
const plainConfigArbitrary = configArbitrary.map((config) => copyOf(config));

describe('delta of configurations', () => {
  it('leads from one configuration to the other, also after a transfer as JSON', () => {
    fc.assert(
      fc.property(plainConfigArbitrary, plainConfigArbitrary, (from, to) => {
        const result = mesh.applyDelta(copyOf(from), copyOf(mesh.computeDelta(from, to)));
        assert.deepEqual(result, to);
        assert.equal(mesh.computeConfigDigest(result), mesh.computeConfigDigest(to));
      }),
    );
  });

  it('leads to the same configuration step by step as at once', () => {
    fc.assert(
      fc.property(fc.array(plainConfigArbitrary, { minLength: 1, maxLength: 6 }), (configs) => {
        const [first, ...rest] = configs;
        assert.ok(first);
        const result = rest.reduce(
          (config, next) => mesh.applyDelta(config, mesh.computeDelta(config, next)),
          first,
        );
        assert.deepEqual(result, configs.at(-1));
      }),
    );
  });

  it('has a digest that differs exactly when the configurations differ', () => {
    fc.assert(
      fc.property(plainConfigArbitrary, plainConfigArbitrary, (left, right) => {
        const isEqual = JSON.stringify(left) === JSON.stringify(right);
        assert.equal(mesh.computeConfigDigest(left) === mesh.computeConfigDigest(right), isEqual);
      }),
    );
  });

  const changes: [string, (routes: readonly mesh.RoutePolicy[]) => mesh.RoutePolicy[], number][] = [
    ['changed', ([first, ...rest]) => [{ ...first, timeoutMs: 7 } as mesh.RoutePolicy, ...rest], 1],
    ['added', (routes) => [...routes, createRoute('new')], 1],
    ['inserted first', (routes) => [createRoute('new'), ...routes], 1],
    ['removed', (routes) => routes.slice(1), 0],
    ['renamed', ([first, ...rest]) => [{ ...first, name: 'new' } as mesh.RoutePolicy, ...rest], 1],
    ['moved to the end', ([first, ...rest]) => [...rest, first as mesh.RoutePolicy], 1],
  ];
  changes.forEach(([name, change, placedCount]) =>
    it(`contains only the route that was ${name}`, () => {
      const to = createConfig(2, change(copyOf(largeConfig.routes)));
      const delta = mesh.computeDelta(largeConfig, to);
      assert.equal(delta.routes.placed.length, placedCount);
      assert.deepEqual(mesh.applyDelta(largeConfig, delta), to);
    }),
  );

  it('is refused when its indexes do not fit the configuration', () => {
    const placeAt = (index: number): [number, mesh.RoutePolicy] => [index, createRoute('new')];
    const lists: mesh.ConfigDelta['routes'][] = [
      { removed: [100], placed: [] },
      { removed: [2, 1], placed: [] },
      { removed: [1, 1], placed: [] },
      { removed: [-1], placed: [] },
      { removed: [0.5], placed: [] },
      { removed: [], placed: [placeAt(101)] },
      { removed: [], placed: [placeAt(3), placeAt(3)] },
      { removed: [0], placed: [placeAt(100)] },
    ];
    lists.forEach((routes) => {
      const delta = { ...mesh.computeDelta(largeConfig, largeConfig), routes };
      assert.throws(() => mesh.applyDelta(largeConfig, delta), RangeError);
    });
  });
});

describe('history of configurations', () => {
  const getId = (history: mesh.ConfigHistory): mesh.ConfigId => {
    const snapshot = history.getSnapshot();
    assert.ok(snapshot);
    return snapshot.id;
  };
  const sumBytes = (deltas: readonly mesh.ConfigDelta[]): number =>
    deltas.reduce((sum, delta) => sum + mesh.measureDelta(delta), 0);

  it('lists the changes since a version that it reaches back to', () => {
    const history = mesh.createConfigHistory(mesh.configHistoryDefaults);
    assert.equal(history.getSnapshot(), undefined);
    const held = [1, 2, 3, 4].map((version) => {
      history.record(createVersion(version));
      return history.getSnapshot() as mesh.ConfigSnapshot;
    });
    held.forEach(({ id, config }) => {
      const deltas = history.listDeltas(id);
      assert.ok(deltas);
      assert.deepEqual(deltas.reduce(mesh.applyDelta, config), createVersion(4));
    });
    assert.deepEqual(history.listDeltas(getId(history)), []);
  });

  it('knows no changes since an unknown version or one with different content', () => {
    const history = mesh.createConfigHistory(mesh.configHistoryDefaults);
    history.record(createVersion(1));
    const id = getId(history);
    history.record(createVersion(2));
    assert.ok(history.listDeltas(id));
    assert.equal(history.listDeltas({ ...id, version: 0 }), undefined);
    assert.equal(history.listDeltas({ ...id, digest: 'other' }), undefined);
  });

  it('lists the changes when a version comes again with different content', () => {
    const history = mesh.createConfigHistory(mesh.configHistoryDefaults);
    history.record(createVersion(5));
    const base = history.getSnapshot() as mesh.ConfigSnapshot;
    const next = { ...createVersion(6), version: 5 };
    history.record(next);
    const deltas = history.listDeltas(base.id);
    assert.deepEqual(deltas?.reduce(mesh.applyDelta, base.config), next);
  });

  it('lists recent versions as long as the changes reach back to them', () => {
    const history = mesh.createConfigHistory(mesh.configHistoryDefaults);
    assert.deepEqual(history.listSnapshots(), []);
    [1, 2, 3, 4, 5, 6].forEach((version) => history.record(createVersion(version)));
    const snapshots = history.listSnapshots();
    assert.deepEqual(
      snapshots.map(({ config }) => config),
      [6, 5, 4, 3].map(createVersion),
    );
    snapshots.forEach(({ id, config }) => {
      const deltas = history.listDeltas(id);
      assert.deepEqual(deltas?.reduce(mesh.applyDelta, config), createVersion(6));
    });
    history.record(
      createConfig(
        7,
        names.map((name) => createRoute(`${name}-new`)),
      ),
    );
    assert.equal(history.listSnapshots().length, 1);
  });

  it('stays within its limits on the number and the size of the changes', () => {
    const options = { maxDeltas: 8, maxBytes: 100_000, maxShare: 0.5, maxSnapshots: 4 };
    const history = mesh.createConfigHistory(options);
    const ids = Array.from({ length: 20 }, (_, version) => {
      history.record(createVersion(version));
      return getId(history);
    });
    const lists = ids.map((id) => history.listDeltas(id));
    assert.equal(lists.filter((deltas) => deltas !== undefined).length, options.maxDeltas + 1);

    const maxBytes = 1_000;
    const small = mesh.createConfigHistory({ ...options, maxBytes });
    const smallIds = Array.from({ length: 20 }, (_, version) => {
      small.record(createVersion(version));
      return getId(small);
    });
    smallIds.forEach((id) => assert.ok(sumBytes(small.listDeltas(id) ?? []) <= maxBytes));
    assert.equal(small.listDeltas(smallIds.at(-2) as mesh.ConfigId)?.length, 1);
  });

  it('keeps no change that is larger than half of the configuration', () => {
    const history = mesh.createConfigHistory(mesh.configHistoryDefaults);
    history.record(createVersion(1));
    const id = getId(history);
    history.record(
      createConfig(
        2,
        names.map((name) => createRoute(`${name}-new`)),
      ),
    );
    assert.equal(history.listDeltas(id), undefined);
  });
});
