/** Verdicts on a new version, the share of calls that it gets, and the states of a roll-out. */
import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

const ROUTES = ['read', 'order', 'search'];
/** The bound of the requirements: share of all calls, and calls besides. */
const MAX_SHARE = 0.1;
const SLACK = 50;
const SHARE_IN_USE = 0.085;
const CANARY_EVERY = Math.round(1 / SHARE_IN_USE);
const USUAL_MS = 50;

interface Behaviour {
  /** Shares of failed and of slow calls at a time, counted in calls of the canary. */
  failureShare?: (call: number, route: string) => number;
  slowShare?: (call: number, route: string) => number;
  /** Whether its calls are timed, which those of a target that has just started are not. */
  isTimed?: (call: number) => boolean;
}

/**
 * Simulates calls of both versions; the old one fails 1 in 100 and is slow for 3 in 100. Returns the
 * last verdict, and the bad responses of the canary until it was bad.
 */
function simulate(
  behaviour: Behaviour,
  seed: number,
  canaryCalls: number,
): { verdict: mesh.RolloutVerdict; bad: number } {
  const random = support.createSeededRandom(seed);
  const old = mesh.createOutcomeCounts();
  const canary = mesh.createOutcomeCounts();
  let bad = 0;
  let verdict: mesh.RolloutVerdict = { type: 'unknown', responses: 0 };
  const drawTime = (isSlow: boolean): number => USUAL_MS * (isSlow ? 7 : 0.5 + random());
  for (let call = 0; call < canaryCalls; call += 1) {
    for (let index = 0; index < CANARY_EVERY; index += 1) {
      const route = ROUTES[index % ROUTES.length] ?? '';
      const outcome = { isFailure: random() < 0.01, tookMs: drawTime(random() < 0.03) };
      old.record(route, outcome, USUAL_MS);
    }
    const route = ROUTES[call % ROUTES.length] ?? '';
    const isFailure = random() < (behaviour.failureShare?.(call, route) ?? 0.01);
    const isSlow = random() < (behaviour.slowShare?.(call, route) ?? 0.03);
    const isTimed = behaviour.isTimed?.(call) ?? true;
    canary.record(route, { isFailure, tookMs: isTimed ? drawTime(isSlow) : undefined }, USUAL_MS);
    if (isFailure || isSlow) bad += 1;
    verdict = mesh.judgeCanary(canary.list(), old.list(), mesh.rolloutTestDefaults);
    if (verdict.type === 'bad') break;
  }
  return { verdict, bad };
}

const SEEDS = Array.from({ length: 100 }, (_, index) => index + 1);

/** Checks that each run condemns the canary within `maxBad` bad responses. */
function assertBad(behaviour: Behaviour, maxBad: number): void {
  SEEDS.forEach((seed) => {
    const { verdict, bad } = simulate(behaviour, seed, 400);
    assert.equal(verdict.type, 'bad', `seed ${seed}: ${JSON.stringify(verdict)}`);
    assert.ok(bad <= maxBad, `seed ${seed}: ${bad} bad responses`);
  });
}

/** Checks that at least 99 of 100 runs never condemn the canary. */
function assertNotBad(behaviour: Behaviour): void {
  const bad = SEEDS.filter((seed) => simulate(behaviour, seed, 400).verdict.type === 'bad');
  assert.ok(bad.length <= 1, `bad with the seeds ${bad.join()}`);
}

describe('verdict on a canary', () => {
  it('finds a version bad that fails from the start, before its 50th bad response', () =>
    assertBad({ failureShare: () => 0.3 }, 25));

  it('finds a version bad that fails later', () =>
    assertBad({ failureShare: (call) => (call < 150 ? 0.01 : 0.4) }, 49));

  it('finds a version bad that fails on one route only', () =>
    assertBad({ failureShare: (_, route) => (route === 'search' ? 0.4 : 0.01) }, 49));

  it('finds a version bad that is slow only', () => assertBad({ slowShare: () => 0.4 }, 49));

  it('keeps a good version, despite some failures and slow calls', () => assertNotBad({}));

  it('keeps a good version that is slow while it starts', () =>
    assertNotBad({ slowShare: (call) => (call < 20 ? 1 : 0.03), isTimed: (call) => call >= 20 }));

  it('is neither good nor bad without calls', () => {
    const { verdict } = simulate({}, 1, 0);
    assert.equal(verdict.type, 'unknown');
  });

  it('is not decided by callers that cancel early', () => {
    const counts = mesh.createOutcomeCounts();
    for (let index = 0; index < 100; index += 1) counts.recordAbandoned('read', 10, USUAL_MS);
    assert.deepEqual(counts.list(), []);
  });

  it('is not bad by four failures at once while reports of the old version are missing', () => {
    const counts = mesh.createOutcomeCounts();
    for (let index = 0; index < 4; index += 1)
      counts.record('read', { isFailure: true, tookMs: 1 }, USUAL_MS);
    const verdict = mesh.judgeCanary(counts.list(), [], mesh.rolloutTestDefaults);
    assert.equal(verdict.type, 'doubtful');
  });
});

describe('share of the canary', () => {
  it('stays within the bound over all hosts, however the calls are spread', () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 300 }),
        fc.integer({ min: 5_000, max: 120_000 }),
        (seed, callsByHost, durationMs) => {
          const random = support.createSeededRandom(seed);
          const callsPerSecond = (SLACK * 0.5 * 1_000) / durationMs / callsByHost.length;
          const options = { share: SHARE_IN_USE, callsPerSecond };
          const canaryCalls = callsByHost.map((calls) => {
            const share = mesh.createCanaryShare(options, random, 0);
            const times = Array.from({ length: calls }, () => random() * durationMs).sort(
              (left, right) => left - right,
            );
            return times.filter((at) => share.takeCall(at)).length;
          });
          const sum = (values: readonly number[]): number =>
            values.reduce((total, value) => total + value, 0);
          assert.ok(sum(canaryCalls) <= MAX_SHARE * sum(callsByHost) + SLACK);
        },
      ),
    );
  });
});

describe('calls besides the share', () => {
  it('are divided among the hosts, and a process that has just started gets none', () => {
    const fleet = { overMs: 10_000, hosts: 5, processAgeMs: 60_000 };
    assert.equal(mesh.computeExtraCallRate(25, fleet), 0.5);
    // It knows no other host yet and would send as many calls as all hosts together may.
    assert.equal(mesh.computeExtraCallRate(25, { ...fleet, hosts: 1, processAgeMs: 400 }), 0);
  });
});

const order: mesh.RolloutOrder = {
  service: 'catalogue',
  targetVersion: 'v2',
  epoch: 1,
  offset: 7,
  durationMs: 30_000,
};

const createState = (changes: Partial<mesh.Rollout> = {}): mesh.Rollout => ({
  order,
  phase: 'observing',
  phaseSince: 0,
  deadlineAt: 30_000,
  record: 'nothing',
  ...changes,
});

const times = mesh.rolloutTimesDefaults;
const finding = {
  route: 'read',
  kind: 'failures' as const,
  bad: 9,
  of: 10,
  oldBad: 0,
  oldOf: 100,
  probability: 0,
};
const verdicts: mesh.RolloutVerdict[] = [
  { type: 'good', responses: 50 },
  { type: 'unknown', responses: 1 },
  { type: 'doubtful', finding },
  { type: 'bad', finding },
];

describe('state of a roll-out', () => {
  it('never leaves a final phase, whatever hosts decide and tell one another', () => {
    const phase = fc.constantFrom(...mesh.rolloutPhases);
    const record = fc.constantFrom(...mesh.rolloutRecords);
    const step = fc.record({
      verdict: fc.constantFrom(...verdicts),
      now: fc.integer({ min: 0, max: 60_000 }),
      rank: fc.integer({ min: 0, max: 5 }),
      received: fc.record({ phase, record }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        let state = createState();
        steps.forEach(({ verdict, now, rank, received }) => {
          const before = state;
          state = { ...state, phase: mesh.decidePhase(state, verdict, { now, rank }, times) };
          if (mesh.isFinalPhase(before.phase)) assert.equal(state.phase, before.phase);
          const decided = state;
          // Only a final phase has a final record.
          const isPossible = mesh.isFinalPhase(received.phase) || received.record !== 'final';
          if (!isPossible) return;
          state = mesh.mergeRollout(state, createState(received), now);
          const isFromStore = received.record === 'final' && decided.record !== 'final';
          if (mesh.isFinalPhase(decided.phase) && !isFromStore)
            assert.equal(state.phase, decided.phase);
        });
      }),
    );
  });

  it('takes the earlier deadline and ignores an order that was replaced', () => {
    const state = mesh.mergeRollout(createState(), createState({ deadlineAt: 20_000 }), 0);
    assert.equal(state.deadlineAt, 20_000);
    const next = createState({ order: { ...order, offset: 9, targetVersion: 'v3' } });
    assert.equal(mesh.mergeRollout(state, next, 0).order.targetVersion, 'v3');
    assert.equal(mesh.mergeRollout(next, state, 0), next);
  });

  it('takes the record of a restored store for the same order', () => {
    const state = createState({ phase: 'completed', record: 'final' });
    const restored = createState({ order: { ...order, epoch: 2 }, record: 'unknown' });
    assert.equal(mesh.mergeRollout(state, restored, 0), state);
  });

  it('moves the calls to a good version well before the deadline, and rolls an untested one back', () => {
    const [good, unknown] = verdicts as [mesh.RolloutVerdict, mesh.RolloutVerdict];
    const host = (now: number): { now: number; rank: number } => ({ now, rank: 0 });
    assert.equal(mesh.decidePhase(createState(), good, host(19_000), times), 'observing');
    assert.equal(mesh.decidePhase(createState(), good, host(19_600), times), 'moving');
    assert.equal(mesh.decidePhase(createState(), unknown, host(19_600), times), 'observing');
    assert.equal(mesh.decidePhase(createState(), unknown, host(24_000), times), 'rolled-back');
  });

  it('gives no calls to a version that no order allows while another one is in use', () => {
    const role = (version: string, rollout?: mesh.Rollout): mesh.VersionRole =>
      mesh.getVersionRole(version, { current: 'v1', rollout }, 0);
    assert.deepEqual([role('v1'), role('v2')], ['current', 'excluded']);
    const observing = createState();
    assert.deepEqual(
      [role('v1', observing), role('v2', observing), role('v3', observing)],
      ['current', 'canary', 'excluded'],
    );
    const rolledBack = createState({ phase: 'rolled-back' });
    assert.deepEqual([role('v1', rolledBack), role('v2', rolledBack)], ['current', 'excluded']);
    assert.equal(role('v2', createState({ record: 'unknown' })), 'excluded');
  });

  it('takes the version of the longest running target for the one in use, if no other is known', () => {
    const targets = [
      { version: 'v2', bornAt: 5 },
      { version: 'v1', bornAt: 3 },
    ];
    assert.equal(mesh.chooseCurrentVersion(targets, undefined, undefined), 'v1');
    assert.equal(mesh.chooseCurrentVersion(targets, 'v2', undefined), 'v2');
    const rolledBack = createState({ phase: 'rolled-back' });
    assert.equal(mesh.chooseCurrentVersion(targets.slice(0, 1), 'v2', rolledBack), undefined);
  });
});
