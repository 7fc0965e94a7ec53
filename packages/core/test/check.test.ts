/** Each case has one contradiction; a missing or additional code fails it. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as core from '../src/index.js';
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

const { describe, it } = test;

const digest = 'ab'.repeat(32);
const contract = { ...support.createContract('school', ['shop']), keyDigests: [digest] };
const service = support.createService('shop');
const route = support.createRoute('shop', 'shop');
const [lookup] = service.requestKinds as [core.RequestKind];
const dataCentres = ['a', 'b', 'c'].map((name) => ({ name, region: 'r' }));

const listCodes = (...resources: core.Resource[]): string[] => {
  const entries = resources.map((resource) => [core.formatResourceId(resource), resource] as const);
  return core.checkResources(new Map(entries)).map(({ code }) => code);
};

const resourceCases: [string, string[], core.Resource[]][] = [
  ['a valid configuration', [], []],
  ['a reference to no service', ['SERVICE_MISSING'], [{ ...contract, services: ['shop', 'no'] }]],
  ['a key of two contracts', ['KEY_SHARED'], [{ ...contract, name: 'other' }]],
  ['a prefix of two routes', ['PREFIX_DUPLICATE'], [{ ...route, name: 'other' }]],
  [
    'a request kind behind a shorter prefix',
    ['KIND_HIDDEN'],
    [{ ...service, requestKinds: [lookup, { ...lookup, name: 'item', pathPrefix: '/item' }] }],
  ],
  [
    'a service outside every contract',
    ['NOT_COVERED', 'NOT_COVERED'],
    [support.createService('x'), support.createRoute('x', 'x')],
  ],
  [
    'a service without a route',
    ['NOT_ROUTED'],
    [
      { ...route, service: 'x' },
      support.createService('x'),
      { ...contract, services: ['shop', 'x'] },
    ],
  ],
  ['a contract without a key', ['NO_KEY'], [{ ...contract, keyDigests: [] }]],
  [
    'a burst too small for the rate',
    ['BURST_BELOW_RATE'],
    [{ ...contract, ratePerSecond: 24, burst: 5 }],
  ],
  [
    'a burst smaller than the number of data centres',
    ['SHARE_UNUSABLE'],
    [
      { ...contract, burst: 2, ratePerSecond: 8 },
      { kind: 'fleet', name: 'fleet', dataCentres },
    ],
  ],
  [
    'too little concurrency for the rate',
    ['CONCURRENCY_BELOW_RATE'],
    [{ ...contract, ratePerSecond: 11, concurrency: 1 }],
  ],
  [
    'a deadline above every time-out',
    ['DEADLINE_ABOVE_TIMEOUT'],
    [{ ...contract, maxDeadlineMs: 1_001 }],
  ],
  [
    'weights of unknown request kinds',
    ['WEIGHT_UNUSED', 'WEIGHT_UNUSED'],
    [{ ...contract, kindWeights: { 'shop/lookup': 2, 'shop/no': 2, 'other/lookup': 2 } }],
  ],
];

describe('the check of resources', () => {
  resourceCases.forEach(([name, codes, resources]) => {
    it(`finds in ${name}: ${codes.join(', ') || 'nothing'}`, () => {
      assert.deepEqual(listCodes(contract, service, route, ...resources), codes);
    });
  });
});

const meshRoute: mesh.RoutePolicy = {
  name: 'read',
  host: 'shop.example',
  pathPrefix: '/read/',
  parts: [{ service: 'catalogue', weight: 1 }],
  isRepeatable: true,
  timeoutMs: 1_000,
  objectiveMs: 500,
  rank: 0,
  maxAttempts: 3,
};
const account = { name: 'a', keyDigests: [digest], ratePerSecond: 10, burst: 5 };
const meshConfig: mesh.MeshConfig = {
  version: 1,
  routes: [meshRoute],
  services: [{ name: 'catalogue', healthPath: '/', maxConnections: 9 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  accounts: [account],
};
const withRoute = (changes: Partial<mesh.RoutePolicy>): Partial<mesh.MeshConfig> => ({
  routes: [{ ...meshRoute, ...changes }],
});
const withAccount = (changes: Partial<mesh.ClientAccount>): Partial<mesh.MeshConfig> => ({
  accounts: [{ ...account, ...changes }],
});
const meshCases: [string, string[], Partial<mesh.MeshConfig>][] = [
  ['a valid configuration', [], {}],
  ['a name given twice', ['NAME_DUPLICATE'], { routes: [meshRoute, { ...meshRoute, host: 'b' }] }],
  [
    'a hidden route, whose host differs only in case and port',
    ['PREFIX_DUPLICATE'],
    { routes: [meshRoute, { ...meshRoute, name: 'b', host: 'SHOP.example:80' }] },
  ],
  [
    'a missing service',
    ['SERVICE_MISSING'],
    withRoute({ parts: [...meshRoute.parts, { service: 'no', weight: 1 }] }),
  ],
  [
    'weights that are all 0',
    ['WEIGHTS_ALL_ZERO'],
    withRoute({ parts: [{ service: 'catalogue', weight: 0 }] }),
  ],
  [
    'one weight of 0',
    ['SHARE_UNUSABLE'],
    withRoute({ parts: [...meshRoute.parts, { service: 'catalogue', weight: 0 }] }),
  ],
  [
    'an objective above the time-out',
    ['OBJECTIVE_ABOVE_TIMEOUT'],
    withRoute({ objectiveMs: 1_001 }),
  ],
  ['attempts of an order', [], withRoute({ isRepeatable: false })],
  ['attempts without time', ['ATTEMPTS_WITHOUT_TIME'], withRoute({ timeoutMs: 2, objectiveMs: 1 })],
  [
    'an unused service',
    ['NOT_ROUTED'],
    { services: [...meshConfig.services, { name: 'x', healthPath: '/', maxConnections: 1 }] },
  ],
  ['an account without a key', ['NO_KEY'], withAccount({ keyDigests: [] })],
  ['a key of two accounts', ['KEY_SHARED'], { accounts: [account, { ...account, name: 'b' }] }],
  ['a rate without a burst', ['BURST_BELOW_RATE'], withAccount({ burst: 0 })],
  ['a burst without a rate', ['SHARE_UNUSABLE'], withAccount({ ratePerSecond: 0 })],
];

describe('the check of a mesh configuration', () => {
  meshCases.forEach(([name, codes, changes]) => {
    it(`finds in ${name}: ${codes.join(', ') || 'nothing'}`, () => {
      const findings = mesh.checkMeshConfig({ ...meshConfig, ...changes });
      assert.deepEqual(
        findings.map(({ code }) => code),
        codes,
      );
      assert.ok(!JSON.stringify(findings).includes(digest), 'a digest is printed in full');
    });
  });
});

describe('the differences between two configurations', () => {
  it('name each field, match lists by name and shorten digests', () => {
    const constructorRoute = { ...meshRoute, name: 'constructor' };
    const before = { ...meshConfig, routes: [meshRoute, { ...meshRoute, name: 'b' }] };
    const after = {
      ...meshConfig,
      version: 2,
      routes: [constructorRoute, { ...meshRoute, timeoutMs: 900, isPublic: true }],
      accounts: [{ ...account, keyDigests: ['cd'.repeat(32)] }],
    };
    assert.deepEqual(mesh.listMeshDifferences(before, after), [
      { type: 'changed', path: 'version', before: 1, after: 2 },
      { type: 'changed', path: 'routes.read.timeoutMs', before: 1_000, after: 900 },
      { type: 'added', path: 'routes.read.isPublic', after: true },
      { type: 'removed', path: 'routes.b', before: { ...meshRoute, name: 'b' } },
      { type: 'added', path: 'routes.constructor', after: constructorRoute },
      {
        type: 'changed',
        path: 'accounts.a.keyDigests',
        before: ['abababab…'],
        after: ['cdcdcdcd…'],
      },
    ]);
    const reordered = { ...before, routes: [...before.routes].reverse() };
    const order = {
      type: 'changed',
      path: 'routes.(order)',
      before: ['read', 'b'],
      after: ['b', 'read'],
    };
    assert.deepEqual(mesh.listMeshDifferences(before, reordered), [order]);
  });
});
