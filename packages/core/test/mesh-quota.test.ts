/** Quotas: no fault lets an account exceed its limit, and inside its limit hardly a call is refused. */
import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';
import * as simulations from './quota-simulation.js';
import * as support from './support.js';

const WINDOW_MS = 5_000;
const OVERAGE = 0.1;
const SLACK = 20;

const createAccount = (name: string, rate: number, burst = rate): mesh.ClientAccount => ({
  name,
  keyDigests: [],
  ratePerSecond: rate,
  burst,
});

const computeBound = ({ ratePerSecond, burst }: mesh.ClientAccount): number =>
  ((ratePerSecond * WINDOW_MS) / 1_000 + burst) * (1 + OVERAGE) + SLACK;

function checkBound(simulation: simulations.Simulation, account: mesh.ClientAccount): void {
  const most = simulations.countMostRuns(simulation.runs, account.name, WINDOW_MS);
  assert.ok(
    most <= computeBound(account),
    `${most} runs in a window, bound ${computeBound(account)} for a rate of ${account.ratePerSecond}`,
  );
}

/** Sends calls at random times, `perSecond` on average, at hosts that `choose` returns. */
function createDemand(
  simulation: simulations.Simulation,
  random: () => number,
  demands: readonly { account: string; perSecond: number; choose: () => number }[],
): () => void {
  return () =>
    demands.forEach(({ account, perSecond, choose }) => {
      let expected = perSecond / 1_000;
      while (expected > 0) {
        if (random() < expected) simulation.call(choose(), account);
        expected -= 1;
      }
    });
}

const faultKinds = ['kill', 'kill-all', 'freeze', 'suspend', 'cut', 'cut-one-way', 'split'];

const createFault = (kinds: readonly string[], maxDurationMs: number) =>
  fc.record({
    kind: fc.constantFrom(...kinds),
    at: fc.integer({ min: 2_000, max: 8_000 }),
    durationMs: fc.integer({ min: 50, max: maxDurationMs }),
    hosts: fc.integer({ min: 1, max: 510 }),
  });
const anyFault = createFault([...faultKinds, 'odd-views'], 6_000);
/** Faults through which a share may come to be leased twice, and that let most calls go on. */
const anyHandover = createFault(['kill', 'suspend', 'odd-views', 'odd-views'], 3_000);
type Fault = typeof anyFault extends fc.Arbitrary<infer F> ? F : never;

const isIn = (set: number, index: number): boolean => Math.floor(set / 2 ** index) % 2 === 1;

function applyFaults(simulation: simulations.Simulation, faults: readonly Fault[]): void {
  const now = simulation.getNow();
  const cuts = faults.filter(
    ({ kind, at, durationMs }) =>
      (kind.startsWith('cut') || kind === 'split') && at <= now && now < at + durationMs,
  );
  const views = faults.filter(
    ({ kind, at, durationMs }) => kind === 'odd-views' && at <= now && now < at + durationMs,
  );
  simulation.setOddViews((index) => views.some(({ hosts }) => isIn(hosts, index)));
  simulation.setCut((from, to) =>
    cuts.some(({ kind, hosts }) => {
      if (kind === 'split') return from !== to;
      const [fromIn, toIn] = [isIn(hosts, from), isIn(hosts, to)];
      return kind === 'cut' ? fromIn !== toIn : fromIn && !toIn;
    }),
  );
  faults.forEach(({ kind, at, durationMs, hosts }) =>
    simulation.hosts.forEach((_, index) => {
      if (kind !== 'kill-all' && !isIn(hosts, index)) return;
      const [isStart, isEnd] = [at === now, at + durationMs === now];
      if (kind.startsWith('kill')) {
        if (isStart) simulation.kill(index);
        if (isEnd) simulation.restart(index);
      } else if (kind === 'freeze' || kind === 'suspend') {
        if (isStart) simulation.setState(index, kind === 'freeze' ? 'frozen' : 'suspended');
        if (isEnd) simulation.setState(index, 'running');
      }
    }),
  );
}

interface Case {
  seed: number;
  hosts: number;
  rates: readonly number[];
  burstFactor: number;
  demandFactor: number;
  loss: number;
  duplicates: number;
  lateShare: number;
  quietMs: number;
  faults: readonly Fault[];
}

function checkCase(each: Case): void {
  const random = support.createSeededRandom(each.seed);
  const accounts = each.rates.map((rate, index) =>
    createAccount(`a${index}`, rate, rate * each.burstFactor),
  );
  const simulation = simulations.createSimulation({
    ...each,
    accounts,
    random,
    delay: () => (random() < each.lateShare ? random() * 3_000 : 2 + random() * 12),
  });
  const demand = createDemand(
    simulation,
    random,
    accounts.map(({ name, ratePerSecond }) => ({
      account: name,
      perSecond: ratePerSecond * each.demandFactor,
      choose: () => Math.floor(random() * each.hosts),
    })),
  );
  simulation.runUntil(12_000, () => {
    applyFaults(simulation, each.faults);
    // Coordinators save up their whole burst first.
    if (simulation.getNow() >= each.quietMs) demand();
  });
  accounts.forEach((account) => checkBound(simulation, account));
}

describe('the limit of an account', () => {
  it('holds in every window through lost, late and doubled datagrams, cuts, kills and pauses', () => {
    const anyCase = fc.record({
      seed: fc.integer({ min: 1, max: 1e6 }),
      hosts: fc.integer({ min: 1, max: 9 }),
      rates: fc.tuple(fc.constantFrom(0.5, 3, 10), fc.constantFrom(10, 60, 400)),
      burstFactor: fc.constantFrom(0, 1, 1, 2),
      demandFactor: fc.constantFrom(1, 4, 4),
      loss: fc.constantFrom(0, 0.02, 0.3),
      duplicates: fc.constantFrom(0, 0.2),
      lateShare: fc.constantFrom(0, 0.05, 0.3),
      quietMs: fc.constantFrom(0, 3_000, 5_000),
      faults: fc.array(anyFault, { maxLength: 8 }),
    });
    fc.assert(fc.property(anyCase, checkCase), { ...support.propertyOptions, numRuns: 150 });
  });

  it('holds while its tokens move between coordinators on which the hosts do not agree', () => {
    const anyCase = fc.record({
      seed: fc.integer({ min: 1, max: 1e6 }),
      hosts: fc.integer({ min: 4, max: 9 }),
      rates: fc.constant([400]),
      burstFactor: fc.constant(1),
      demandFactor: fc.constant(4),
      loss: fc.constant(0),
      duplicates: fc.constant(0),
      lateShare: fc.constant(0),
      quietMs: fc.constant(3_000),
      faults: fc.array(anyHandover, { minLength: 1, maxLength: 3 }),
    });
    fc.assert(fc.property(anyCase, checkCase), { ...support.propertyOptions, numRuns: 100 });
  });

  const handovers: [string, (simulation: simulations.Simulation, first: Set<number>) => void][] = [
    [
      'most hosts restart, cut off from the coordinators that hold their leases',
      (simulation, first) => {
        simulation.setCut((from, to) => first.has(from) !== first.has(to));
        simulation.hosts.forEach((_, index) => {
          if (!first.has(index)) simulation.restart(index);
        });
      },
    ],
    [
      'coordinators receive from other hosts and cannot reach them',
      (simulation, first) => simulation.setCut((from, to) => first.has(from) && !first.has(to)),
    ],
    [
      'coordinators that were suspended with saved-up tokens come back',
      (simulation, first) => {
        first.forEach((index) => simulation.setState(index, 'suspended'));
        simulation.runUntil(simulation.getNow() + 8_000);
        first.forEach((index) => simulation.setState(index, 'running'));
      },
    ],
  ];
  handovers.forEach(([name, act]) =>
    it(`holds when ${name}`, () => {
      const random = support.createSeededRandom(9);
      const accounts = Array.from({ length: 8 }, (_, index) =>
        createAccount(`a${index}`, 200, 100),
      );
      const simulation = simulations.createSimulation({ hosts: 9, accounts, random });
      const ids = mesh.rankReaders(simulation.hosts.map(({ id }) => ({ id, linkMbps: 10 })));
      const first = new Set(ids.slice(0, 3).map((id) => Number(id.split('-')[1])));
      const demand = createDemand(
        simulation,
        random,
        accounts.map((account) => ({
          account: account.name,
          perSecond: 800,
          choose: () => Math.floor(random() * 9),
        })),
      );
      simulation.runUntil(5_000);
      act(simulation, first);
      simulation.runUntil(simulation.getNow() + 7_000, demand);
      accounts.forEach((account) => checkBound(simulation, account));
    }),
  );

  it('holds when all of 62 hosts are cut off from one another and hold whole tokens', () => {
    const random = support.createSeededRandom(3);
    const accounts = [2, 10, 13, 100].map((rate) => createAccount(`a${rate}`, rate));
    const simulation = simulations.createSimulation({ hosts: 62, accounts, random });
    const demand = createDemand(
      simulation,
      random,
      accounts.map(({ name, ratePerSecond }) => ({
        account: name,
        perSecond: 4 * ratePerSecond,
        choose: () => Math.floor(random() * 62),
      })),
    );
    simulation.runUntil(4_000, demand);
    simulation.setCut((from, to) => from !== to);
    simulation.runUntil(12_000);
    simulation.runUntil(22_000, demand);
    accounts.forEach((account) => checkBound(simulation, account));
    const ran = simulation.runs.filter(({ at, account }) => at > 16_000 && account === 'a100');
    assert.ok(ran.length > 0.8 * 600, `${ran.length} of 600 tokens of the own shares were used`);
  });

  it('is in force one window after it was lowered', () => {
    const random = support.createSeededRandom(4);
    const simulation = simulations.createSimulation({
      hosts: 12,
      accounts: [createAccount('a', 300)],
      random,
    });
    const choose = (): number => Math.floor(random() * 12);
    const demand = createDemand(simulation, random, [{ account: 'a', perSecond: 500, choose }]);
    simulation.runUntil(8_000, demand);
    const lowered = createAccount('a', 10);
    simulation.setAccounts([lowered]);
    simulation.runUntil(20_000, demand);
    const later = simulation.runs.filter(({ at }) => at > 8_000 + 500);
    assert.ok(simulations.countMostRuns(later, 'a', WINDOW_MS) <= computeBound(lowered));
  });
});

describe('a call inside the limit', () => {
  const accounts = [
    createAccount('large', 300),
    ...Array.from({ length: 20 }, (_, index) => createAccount(`small-${index}`, 10)),
  ];

  /** Sends the usual demand at 62 hosts and returns the refused share between two times. */
  const runUsualDemand = (
    seed: number,
    each: (simulation: simulations.Simulation) => void,
  ): ((from: number, to: number) => number) => {
    const random = support.createSeededRandom(seed);
    const simulation = simulations.createSimulation({ hosts: 62, accounts, random, loss: 0.005 });
    const demand = createDemand(
      simulation,
      random,
      accounts.map(({ name, ratePerSecond }) => ({
        account: name,
        perSecond: ratePerSecond / 1.6,
        choose: () => Math.floor(random() * 62),
      })),
    );
    simulation.runUntil(2_000);
    simulation.runUntil(20_000, () => {
      each(simulation);
      demand();
    });
    const countIn = (calls: readonly simulations.Run[], from: number, to: number): number =>
      calls.filter(({ at }) => from <= at && at < to).length;
    return (from, to) =>
      countIn(simulation.refusals, from, to) /
      (countIn(simulation.refusals, from, to) + countIn(simulation.runs, from, to));
  };

  it('is hardly ever refused, though it is the only one of its account at its host', () => {
    const computeRefusedShare = runUsualDemand(5, () => undefined);
    const first = computeRefusedShare(2_000, 4_000);
    const rest = computeRefusedShare(4_000, 20_000);
    assert.ok(first < 0.02, `${first} refused in the first two seconds`);
    assert.ok(rest < 0.005, `${rest} refused later`);
  });

  it('is hardly ever refused when a coordinator dies', () => {
    const coordinators = mesh
      .rankReaders(
        Array.from({ length: 62 }, (_, index) => ({ id: `host-${index}`, linkMbps: 10 })),
      )
      .slice(0, 6);
    const dying = Number(coordinators[0]?.split('-')[1]);
    const computeRefusedShare = runUsualDemand(6, (simulation) => {
      if (simulation.getNow() === 8_000) simulation.kill(dying);
    });
    const refused = computeRefusedShare(8_000, 13_000);
    assert.ok(refused < 0.01, `${refused} refused in the five seconds after`);
  });
});

describe('a limit that is exceeded', () => {
  const HOSTS = 20;
  const START_MS = 4_000;
  const END_MS = 24_000;

  /** Returns the runs as a share of what a perfect divider would have let run. */
  const measureUse = (rate: number, choose: (now: number, random: () => number) => number) => {
    const random = support.createSeededRandom(7);
    const simulation = simulations.createSimulation({
      hosts: HOSTS,
      accounts: [createAccount('a', rate)],
      random,
    });
    const demand = createDemand(simulation, random, [
      { account: 'a', perSecond: rate * 4, choose: () => choose(simulation.getNow(), random) },
    ]);
    simulation.runUntil(START_MS);
    simulation.runUntil(END_MS, demand);
    const possible = (rate * (END_MS - START_MS)) / 1_000 + rate;
    return { used: simulation.runs.length / possible, simulation };
  };
  const cases: [string, (now: number, random: () => number) => number][] = [
    ['even', (_, random) => Math.floor(random() * HOSTS)],
    ['skewed', (_, random) => Math.floor(random() ** 4 * HOSTS)],
    ['single', () => 3],
    ['moving', (now) => Math.floor(now / 2_000) % HOSTS],
  ];

  cases.forEach(([name, choose]) =>
    [10, 100].forEach((rate) =>
      it(`is used to nine tenths under ${name} demand at a rate of ${rate}`, (test) => {
        const { used } = measureUse(rate, choose);
        test.diagnostic(`share of a perfect divider: ${used.toFixed(3)}`);
        assert.ok(used >= 0.9, `${used}`);
      }),
    ),
  );

  it('refuses with delays that are spread and within the stated maximum', () => {
    const { simulation } = measureUse(10, (_, random) => Math.floor(random() * HOSTS));
    const delays = simulation.refusals.map(({ retryAfterMs }) => retryAfterMs);
    assert.ok(simulation.refusals.every(({ type }) => type === 'over-limit'));
    assert.ok(Math.min(...delays) > 0 && Math.max(...delays) <= 6_250);
    // No tenth of a second of the maximum gets more than a fifth of the callers.
    const counts = new Map<number, number>();
    simulation.refusals.forEach(({ at, retryAfterMs }) => {
      const slot = Math.floor((at + retryAfterMs) / 100);
      counts.set(slot, (counts.get(slot) ?? 0) + 1);
    });
    const mean = delays.length / counts.size;
    assert.ok(Math.max(...counts.values()) <= 5 * mean, `${Math.max(...counts.values())}, ${mean}`);
  });

  it('costs a host without calls only the messages that renew its lease', () => {
    const simulation = simulations.createSimulation({
      hosts: HOSTS,
      accounts: Array.from({ length: 72 }, (_, index) => createAccount(`a${index}`, 10)),
      random: support.createSeededRandom(8),
    });
    // After a start, each host asks all others whether they hold a lease of its earlier process.
    simulation.runUntil(2_000);
    const before = simulation.countDatagrams();
    simulation.runUntil(12_000);
    const perHostAndSecond = (simulation.countDatagrams() - before) / HOSTS / 10;
    // Requests and replies, six coordinators, one in 600 ms.
    assert.ok(perHostAndSecond <= 22, `${perHostAndSecond}`);
  });
});
