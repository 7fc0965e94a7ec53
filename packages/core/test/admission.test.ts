import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as support from './support.js';

const { describe, it } = test;

const anyStep = fc.record({
  kind: fc.constantFrom('offer', 'offer', 'release', 'cancel'),
  customer: fc.constantFrom('a', 'b', 'c'),
  weight: fc.constantFrom(0.5, 1, 4),
  waitMs: fc.integer({ min: 0, max: 500 }),
});

function createRequest(id: string, customer: string, weight = 1): core.AdmissionRequest {
  return { id, customer, weight, deadlineAt: 1_000_000 };
}

describe('admission at a target', () => {
  it('runs at most one call per slot, and runs or sheds each call exactly once', () => {
    fc.assert(
      fc.property(fc.array(anyStep, { maxLength: 200 }), (steps) => {
        const admission = core.createAdmissionController({ slots: 3, queuePerSlot: 2 });
        const running = new Set<string>();
        const ended = new Set<string>();
        const offered: string[] = [];
        const applyEffects = (effects: core.AdmissionEffect[]): void =>
          effects.forEach(({ type, id }) => {
            assert.ok(!ended.has(id) && !running.has(id), `${id} was run or shed twice`);
            if (type === 'run') running.add(id);
            else ended.add(id);
          });
        steps.forEach(({ kind, customer, weight, waitMs }, index) => {
          if (kind === 'offer') {
            const id = `call-${index}`;
            offered.push(id);
            applyEffects(
              admission.offer({ id, customer, weight, deadlineAt: index + waitMs }, index),
            );
          } else if (kind === 'release') {
            const [id] = running;
            if (id === undefined) return;
            running.delete(id);
            ended.add(id);
            applyEffects(admission.release(id, 10, index));
          } else {
            const id = offered.find((callId) => !running.has(callId) && !ended.has(callId));
            if (id !== undefined && admission.cancel(id)) ended.add(id);
          }
          const load = admission.getLoad();
          assert.ok(running.size <= 3);
          assert.equal(load.running, running.size);
          assert.ok(load.waiting <= 6);
          assert.equal(offered.length, running.size + ended.size + load.waiting);
        });
      }),
      support.propertyOptions,
    );
  });

  it('divides the slots among customers by weight while all of them are waiting', () => {
    const admission = core.createAdmissionController({ slots: 1, queuePerSlot: 40 });
    const served: string[] = [];
    let current = '';
    const applyEffects = (effects: core.AdmissionEffect[]): void =>
      effects.forEach(({ type, id }) => {
        if (type === 'run') {
          current = id;
          served.push(id.split('-')[0] as string);
        }
      });
    for (let round = 0; round < 200; round += 1) {
      applyEffects(admission.offer(createRequest(`heavy-${round}`, 'heavy', 3), round));
      applyEffects(admission.offer(createRequest(`light-${round}`, 'light', 1), round));
      applyEffects(admission.release(current, 1, round));
    }
    const heavy = served.filter((name) => name === 'heavy').length;
    assert.ok(heavy / served.length > 0.65 && heavy / served.length < 0.85, String(heavy));
  });

  it('sheds a call of the customer with the longest queue, not the latest call', () => {
    const admission = core.createAdmissionController({ slots: 1, queuePerSlot: 4 });
    for (let call = 0; call < 5; call += 1) {
      admission.offer(createRequest(`greedy-${call}`, 'greedy'), 0);
    }
    const effects = admission.offer(createRequest('modest-0', 'modest'), 0);
    assert.deepEqual(effects, [{ type: 'shed', id: 'greedy-4', reason: 'queue-full' }]);
  });

  it('sheds a call that cannot finish before its deadline', () => {
    const admission = core.createAdmissionController({ slots: 1, queuePerSlot: 4 });
    admission.offer(createRequest('a', 'a'), 0);
    for (let call = 0; call < 50; call += 1) admission.release('a', 100, 0);
    admission.offer(createRequest('a', 'a'), 0);
    admission.release('a', 1_000, 0);
    const effects = admission.offer({ ...createRequest('b', 'b'), deadlineAt: 5 }, 0);
    assert.deepEqual(effects, [{ type: 'shed', id: 'b', reason: 'deadline' }]);
  });
});
