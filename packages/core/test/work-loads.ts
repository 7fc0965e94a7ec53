/** Load patterns that placement and the slot queue are compared on. */
import type * as overloadSimulation from './overload-simulation.js';

type Load = Omit<overloadSimulation.SimulatedLoad, 'seed'>;

const SECONDS = 12;
const PERIODS_PER_SECOND = 4;
const createArrivals = (perSecond: (second: number) => number): number[] =>
  Array.from({ length: SECONDS * PERIODS_PER_SECOND }, (_, index) =>
    Math.round(perSecond(index / PERIODS_PER_SECOND) / PERIODS_PER_SECOND),
  );

/** About 0.6 of what the targets can serve. */
const USUAL_PER_SECOND = 900;
const BURST_FACTOR = 2.3;
const SLOW_FACTOR = 2.5;
const MS_PER_SECOND = 1_000;

const createKind = (
  name: string,
  overrides: Partial<overloadSimulation.SimulatedKind> = {},
): overloadSimulation.SimulatedKind => ({
  name,
  path: `/a/${name}`,
  share: () => 1,
  work: 1,
  kilobytes: 1.5,
  ...overrides,
});

const isSurge = (second: number): boolean => second >= 4 && second < 8;

/** Large enough to overload the targets alone when it sends four times its usual rate. */
const SURGE_SHARE = 0.4;
const SURGE_FACTOR = 4;
const surgeKinds = [
  createKind('surge', {
    account: 'surge',
    share: (at) => SURGE_SHARE * (isSurge(at / MS_PER_SECOND) ? SURGE_FACTOR : 1),
  }),
  ...['a', 'b', 'c', 'd', 'e', 'f'].map((account) =>
    createKind(account, { account, share: () => (1 - SURGE_SHARE) / 6 }),
  ),
];

/** 3 in 100 calls cost seven times the mean. */
const skewedKinds = [
  createKind('light', { share: () => 0.97, work: 0.814 }),
  createKind('heavy', { share: () => 0.03, work: 7 }),
];

const base: Load = {
  arrivals: createArrivals(() => USUAL_PER_SECOND),
  dataCentres: [
    { name: 'oulu-a', region: 'oulu', share: 724 },
    { name: 'pirkanmaa-b', region: 'pirkanmaa', share: 652 },
    { name: 'uusimaa-a', region: 'uusimaa', share: 588 },
    { name: 'oulu-b', region: 'oulu', share: 575 },
    { name: 'pirkanmaa-a', region: 'pirkanmaa', share: 493 },
    { name: 'uusimaa-b', region: 'uusimaa', share: 420 },
  ],
  targetsPerDataCentre: 4,
  slots: 6,
  speeds: [0.6, 1, 1.4, 1, 1.4, 0.6, 1.4],
  meanServiceMs: 90,
  objectiveMs: 600,
  deadlineMs: 1_800,
};

/** Each target is slow for a quarter of the time, a quarter of them at once. */
const slowdown = (target: number, at: number): number =>
  Math.floor(at / (3 * MS_PER_SECOND)) % 4 === target % 4 ? SLOW_FACTOR : 1;

export const SURGE = 'one account at four times its usual rate';

export const workLoads: Record<string, Load> = {
  'steady load': base,
  'skewed work': { ...base, kinds: skewedKinds },
  'skewed work that nothing tells apart': {
    ...base,
    kinds: skewedKinds.map((kind) => ({ ...kind, path: '/a/read' })),
  },
  'slow periods': { ...base, slowdown },
  'skewed work, slow periods, stale reports': {
    ...base,
    kinds: skewedKinds,
    slowdown,
    reportDelayMs: 1_000,
  },
  burst: {
    ...base,
    kinds: skewedKinds,
    arrivals: createArrivals((second) =>
      second >= 5 && second < 8 ? USUAL_PER_SECOND * BURST_FACTOR : USUAL_PER_SECOND,
    ),
  },
  [SURGE]: {
    ...base,
    kinds: surgeKinds,
    arrivals: createArrivals(
      (second) => USUAL_PER_SECOND * (isSurge(second) ? 1 + SURGE_SHARE * (SURGE_FACTOR - 1) : 1),
    ),
  },
  'large bodies on narrow links': {
    ...base,
    kinds: [
      createKind('small', { share: () => 0.95 }),
      createKind('large', { share: () => 0.05, kilobytes: 300 }),
    ],
    kilobyteMs: (target) => (target % 3 === 0 ? 1.14 : 0.16),
  },
};

/**
 * Those on which placement by work must be better. In the others, either all targets have room, or nothing
 * tells the calls apart, or one account sends more than the targets can serve.
 */
export const loadsWithGain: readonly string[] = [
  'skewed work',
  'slow periods',
  'skewed work, slow periods, stale reports',
  'burst',
];
