/** Builders of test data, and arbitraries for property tests. */
import * as fc from 'fast-check';
import * as float64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import type * as core from '../src/index.js';

/** Options of property tests; the fixed seed makes the results reproducible. */
export const propertyOptions = { seed: 20261204, numRuns: 60 };

export function createSeededRandom(seed: number): core.Random {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => float64.uniformFloat64(generator);
}

export function createService(name: string): core.Service {
  return {
    kind: 'service',
    name,
    requestKinds: [
      { name: 'lookup', method: 'GET', pathPrefix: '/', idempotent: true, timeoutMs: 1_000 },
      { name: 'order', method: 'POST', pathPrefix: '/', idempotent: false, timeoutMs: 1_000 },
    ],
  };
}

export function createRoute(name: string, service: string): core.Route {
  return { kind: 'route', name, pathPrefix: `/${name}`, service };
}

export function createContract(name: string, services: string[]): core.Contract {
  return {
    kind: 'contract',
    name,
    keyDigests: [],
    services,
    ratePerSecond: 10,
    burst: 5,
    concurrency: 5,
    maxDeadlineMs: 1_000,
    weight: 1,
    kindWeights: {},
  };
}

export function createChange(
  number: number,
  base: Record<string, number>,
  put: core.Resource[],
  remove: string[] = [],
): core.Change {
  const id = `00000000-0000-4000-8000-${String(number).padStart(12, '0')}`;
  return { type: 'change', id, author: 'test', base, put, remove };
}

const resourceNames = ['a', 'b', 'c'];

/** Any change of a small set of resources, often with a stale base revision. */
export const anyChange = fc
  .record({
    number: fc.integer({ min: 0, max: 30 }),
    service: fc.constantFrom(...resourceNames),
    target: fc.constantFrom(...resourceNames),
    kind: fc.constantFrom('service', 'route', 'remove-service', 'remove-route'),
    revision: fc.integer({ min: 0, max: 6 }),
  })
  .map(({ number, service, target, kind, revision }): core.Change => {
    if (kind === 'service') {
      return createChange(number, { [`service/${service}`]: revision }, [createService(service)]);
    }
    if (kind === 'route') {
      return createChange(number, { [`route/${service}`]: revision }, [
        createRoute(service, target),
      ]);
    }
    const id = kind === 'remove-service' ? `service/${service}` : `route/${service}`;
    return createChange(number, { [id]: revision }, [], [id]);
  });

/** Creates an alive member in data centre `a` of region `r`, without a target. */
export function createMember(id: string): core.Member {
  return {
    id,
    incarnation: 1,
    status: 'alive',
    info: {
      instance: `${id}|1`,
      dataCentre: 'a',
      region: 'r',
      address: '127.0.0.1',
      callerPort: 1,
      peerPort: 2,
      ready: false,
      target: null,
    },
  };
}
