import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as support from './support.js';

const { describe, it } = test;

function createCandidate(
  id: string,
  overrides: Partial<core.TargetCandidate> = {},
): core.TargetCandidate {
  return {
    id,
    locality: 'data-centre',
    slots: 10,
    inFlight: 0,
    reportedLoad: 0,
    reportAgeMs: 0,
    upForMs: 60_000,
    mayCall: true,
    ...overrides,
  };
}

const anyResult = fc.record({
  outcome: fc.constantFrom<core.Outcome>('not-run', 'unknown'),
  reason: fc.constant('reason'),
});

describe('the choice of a target', () => {
  const random = support.createSeededRandom(3);
  const choose = (candidates: core.TargetCandidate[], excluded: string[] = []) =>
    core.chooseTarget(candidates, new Set(excluded), core.targetChoiceDefaults, random);

  it('chooses the less loaded of two targets', () => {
    const busy = createCandidate('busy', { reportedLoad: 9 });
    const chosen = choose([busy, createCandidate('idle')]);
    assert.equal(chosen?.id, 'idle');
  });

  it('stays in the local data centre until it is overloaded, then spills to the nearest with capacity', () => {
    const near = createCandidate('near', { inFlight: 5 });
    const far = createCandidate('far', { locality: 'region' });
    const remote = createCandidate('remote', { locality: 'remote' });
    assert.equal(choose([near, far, remote])?.id, 'near');
    const full = createCandidate('near', { inFlight: 20 });
    assert.deepEqual(choose([full, far, remote])?.reason, 'spill');
    assert.equal(choose([full, far, remote])?.id, 'far');
  });

  it('skips targets with an open circuit and targets already tried, and lists both', () => {
    const open = createCandidate('open', { mayCall: false });
    const chosen = choose([open, createCandidate('tried'), createCandidate('free')], ['tried']);
    assert.equal(chosen?.id, 'free');
    assert.deepEqual(chosen?.passedOver, ['open:circuit-open', 'tried:tried']);
    assert.equal(choose([open]), undefined);
  });

  it('sends fewer calls to a target during slow start', () => {
    const cold = createCandidate('cold', { upForMs: 0, inFlight: 1 });
    assert.equal(choose([cold, createCandidate('warm', { inFlight: 5 })])?.id, 'warm');
  });

  it('distributes calls evenly over equally loaded targets', () => {
    const candidates = ['a', 'b', 'c', 'd'].map((id) => createCandidate(id));
    const counts = new Map<string, number>();
    for (let call = 0; call < 4_000; call += 1) {
      const id = choose(candidates)?.id ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    counts.forEach((count) => assert.ok(count > 700 && count < 1_300, String(count)));
  });
});

describe('the target table', () => {
  const target = { service: 'catalogue', slots: 4, state: 'up' as const };
  const createTable = (ids: string[]): core.TargetTable => {
    const table = core.createTargetTable({
      dataCentre: 'a',
      region: 'r',
      choice: core.targetChoiceDefaults,
      circuit: core.circuitBreakerDefaults,
      random: support.createSeededRandom(5),
    });
    ids.forEach((id) => {
      const member = support.createMember(id);
      table.setMember({ ...member, info: { ...member.info, ready: true, target } }, 0);
    });
    return table;
  };

  it('skips a full target for that customer until its next slot is expected to be free', () => {
    const table = createTable(['a']);
    const choose = (customer: string, now: number) =>
      table.chooseTarget('catalogue', customer, new Set(), now)?.id;
    table.recordLoad('a', { running: 4, waiting: 8, slotFreeMs: 12 }, 100);
    table.recordFull('a', 'greedy', 100);
    assert.equal(choose('greedy', 111), undefined);
    assert.equal(table.isFull('catalogue', 'greedy', 111), true);
    assert.equal(choose('modest', 101), 'a');
    assert.equal(table.isFull('catalogue', 'modest', 101), false);
    assert.equal(choose('greedy', 112), 'a');
    assert.equal(table.isFull('catalogue', 'greedy', 112), false);
  });

  it('chooses another target while one is full', () => {
    const table = createTable(['a', 'b']);
    table.recordLoad('a', { running: 4, waiting: 8, slotFreeMs: 12 }, 100);
    table.recordFull('a', 'greedy', 100);
    const chosen = table.chooseTarget('catalogue', 'greedy', new Set(), 105);
    assert.equal(chosen?.id, 'b');
  });
});

describe('the circuit breaker of a target', () => {
  it('opens after failures, admits one probe, and closes when the probe succeeds', () => {
    const circuit = core.createCircuitBreaker(core.circuitBreakerDefaults);
    for (let at = 0; at < 5; at += 1) circuit.recordFailure(at);
    assert.equal(circuit.mayCall(10), false);
    const afterPause = 10 + core.circuitBreakerDefaults.openMs;
    assert.equal(circuit.mayCall(afterPause), true);
    circuit.recordSent(afterPause);
    assert.equal(circuit.mayCall(afterPause + 1), false);
    circuit.recordSuccess();
    assert.equal(circuit.mayCall(afterPause + 2), true);
  });

  it('opens again when the probe fails', () => {
    const circuit = core.createCircuitBreaker(core.circuitBreakerDefaults);
    for (let at = 0; at < 5; at += 1) circuit.recordFailure(at);
    const afterPause = 10 + core.circuitBreakerDefaults.openMs;
    circuit.recordSent(afterPause);
    circuit.recordFailure(afterPause + 1);
    assert.equal(circuit.getState(afterPause + 2), 'open');
  });
});

describe('outcomes and retries', () => {
  it('reports not-run only when no attempt may have run the call', () => {
    fc.assert(
      fc.property(fc.array(anyResult, { maxLength: 5 }), (attempts) => {
        const isAllNotRun = attempts.every(({ outcome }) => outcome === 'not-run');
        assert.equal(core.combineOutcomes(attempts) === 'not-run', isAllNotRun);
      }),
      support.propertyOptions,
    );
  });

  it('never retries a call that is not idempotent and may have run', () => {
    fc.assert(
      fc.property(fc.array(anyResult, { minLength: 1, maxLength: 3 }), (attempts) => {
        const isRetried = core.tryTakeRetry({
          idempotent: false,
          attempts,
          maxAttempts: 10,
          remainingMs: 1_000,
          takeRetry: () => true,
        });
        if (attempts.some(({ outcome }) => outcome !== 'not-run')) assert.equal(isRetried, false);
      }),
      support.propertyOptions,
    );
  });

  it('limits retries to a fraction of the calls', () => {
    const budget = core.createRetryBudget({ ratio: 0.1, reserve: 5 });
    let retries = 0;
    for (let call = 0; call < 1_000; call += 1) {
      budget.recordCall();
      if (budget.takeRetry()) retries += 1;
    }
    assert.ok(retries <= 105, String(retries));
  });
});

describe('the quarantine', () => {
  it('starts after two target crashes, counts repeated reports once, and expires', () => {
    const quarantine = core.createQuarantine(core.quarantineDefaults);
    const crash = { fingerprint: 'f', deathId: 'd1', at: 0 };
    quarantine.recordCrashes([crash, crash], 0);
    assert.equal(quarantine.isQuarantined('f', 1), false);
    assert.deepEqual(quarantine.recordCrashes([crash], 1), []);
    quarantine.recordCrashes([{ ...crash, deathId: 'd2' }], 1);
    assert.equal(quarantine.isQuarantined('f', 2), true);
    assert.equal(quarantine.isQuarantined('f', core.quarantineDefaults.ttlMs + 2), false);
  });

  it('does not count crashes beside a request that has been completed since', () => {
    const quarantine = core.createQuarantine(core.quarantineDefaults);
    const listCrashes = (fingerprint: string, ...deathIds: string[]): core.TargetCrash[] =>
      deathIds.map((deathId) => ({ fingerprint, deathId, at: 0 }));
    quarantine.recordCrashes([...listCrashes('a', 'd1'), ...listCrashes('b', 'd1')], 0);
    const cleared = quarantine.recordCompletion('a', 1);
    assert.deepEqual(cleared, { fingerprint: 'a', deathIds: ['d1'] });
    assert.equal(quarantine.recordCompletion('a', 1), undefined);
    quarantine.recordCrashes([...listCrashes('a', 'd1', 'd2'), ...listCrashes('b', 'd2')], 2);
    assert.equal(quarantine.isQuarantined('a', 3), false);
    assert.equal(quarantine.isQuarantined('b', 3), true);
    quarantine.recordCrashes(listCrashes('a', 'd3'), 3);
    assert.equal(quarantine.isQuarantined('a', 3), true);
  });

  it('is the same whatever the order of crashes and completions', () => {
    const crashes = ['d1', 'd2'].map((deathId) => ({ fingerprint: 'f', deathId, at: 0 }));
    const cleared = [{ fingerprint: 'f', deathIds: ['d1'] }];
    const before = core.createQuarantine(core.quarantineDefaults);
    before.recordCleared(cleared, 0);
    before.recordCrashes(crashes, 0);
    const after = core.createQuarantine(core.quarantineDefaults);
    after.recordCrashes(crashes, 0);
    after.recordCleared(cleared, 0);
    [before, after].forEach((quarantine) => {
      assert.deepEqual(quarantine.list(1), [{ fingerprint: 'f', deaths: 1, quarantined: false }]);
    });
  });

  it('allows trials at growing intervals, counted from the last crash', () => {
    const { firstTrialMs, trialBackOffFactor } = core.quarantineDefaults;
    const quarantine = core.createQuarantine(core.quarantineDefaults);
    quarantine.recordCrashes([{ fingerprint: 'f', deathId: 'd1', at: 0 }], 0);
    assert.equal(quarantine.getNextTrialAt('f', 1), Number.POSITIVE_INFINITY);
    quarantine.recordCrashes([{ fingerprint: 'f', deathId: 'd2', at: 5 }], 5);
    assert.equal(quarantine.getNextTrialAt('f', 5), firstTrialMs + 5);
    quarantine.recordTrial('f');
    assert.equal(quarantine.getNextTrialAt('f', 5), firstTrialMs * trialBackOffFactor + 5);
  });

  it('needs no requests identified once all crashes are cleared or expired', () => {
    const quarantine = core.createQuarantine(core.quarantineDefaults);
    assert.equal(quarantine.hasSuspects(), false);
    quarantine.recordCrashes([{ fingerprint: 'f', deathId: 'd1', at: 0 }], 0);
    assert.equal(quarantine.hasSuspects(), true);
    quarantine.recordCompletion('f', 1);
    assert.equal(quarantine.hasSuspects(), false);
    quarantine.recordCrashes([{ fingerprint: 'g', deathId: 'd1', at: 2 }], 2);
    quarantine.recordCrashes([], core.quarantineDefaults.ttlMs + 2);
    assert.equal(quarantine.hasSuspects(), false);
  });
});
