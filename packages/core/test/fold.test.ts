import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as core from '../src/index.js';
import * as support from './support.js';

const { describe, it } = test;

function toRecords(bodies: readonly unknown[]): core.OffsetRecord[] {
  return bodies.map((body, offset) => ({ offset, body }));
}

function foldAll(records: readonly core.OffsetRecord[]): core.State {
  return records.reduce((state, record) => core.foldRecord(state, record), core.createEmptyState());
}

describe('the fold of the configuration stream', () => {
  it('keeps all references valid for any sequence of changes', () => {
    fc.assert(
      fc.property(fc.array(support.anyChange, { maxLength: 40 }), (changes) => {
        toRecords(changes).reduce((state, record) => {
          const next = core.foldRecord(state, record);
          const resources = new Map(
            Object.entries(next.resources).map(([id, { resource }]) => [id, resource]),
          );
          assert.deepEqual(core.checkReferences(resources), []);
          assert.ok(next.version >= state.version);
          return next;
        }, core.createEmptyState());
      }),
      support.propertyOptions,
    );
  });

  it('computes the same state from all records and from a snapshot with later records', () => {
    fc.assert(
      fc.property(
        fc.array(support.anyChange, { minLength: 2, maxLength: 30 }),
        fc.nat(),
        fc.nat(),
        (changes, cut, expired) => {
          const before = toRecords(changes.slice(0, 1 + (cut % (changes.length - 1))));
          const snapshot = core.createSnapshot(foldAll(before));
          const bodies = [
            ...before.map(({ body }) => body),
            snapshot,
            ...changes.slice(before.length),
          ];
          const records = toRecords(bodies);
          const fromAllRecords = foldAll(records);
          const first = expired % (before.length + 1);
          const recovered = core.recoverState(core.createEmptyState(), records.slice(first));
          assert.equal(
            core.computeStateDigest(recovered as core.State),
            core.computeStateDigest(fromAllRecords),
          );
        },
      ),
      support.propertyOptions,
    );
  });

  it('applies a change once when it is appended repeatedly', () => {
    const change = support.createChange(1, { 'service/a': 0 }, [support.createService('a')]);
    const other = support.createChange(2, { 'service/a': 1 }, [support.createService('a')]);
    const state = foldAll(toRecords([change, change, other, change]));
    assert.deepEqual(
      state.decisions.map(({ accepted }) => accepted),
      [true, true],
    );
    assert.equal(state.version, 2);
  });

  it('accepts only the first of two changes with the same base revision', () => {
    const first = support.createChange(1, { 'service/a': 0 }, [support.createService('a')]);
    const second = support.createChange(2, { 'service/a': 0 }, [support.createService('a')]);
    const state = foldAll(toRecords([first, second]));
    assert.deepEqual(
      state.decisions.map(({ accepted }) => accepted),
      [true, false],
    );
    assert.match(state.decisions[1]?.findings[0]?.message ?? '', /is at revision 1, not at 0/);
  });

  it('reports all findings of a refused change', () => {
    const change = support.createChange(1, { 'route/a': 7 }, [
      support.createRoute('a', 'missing'),
      support.createContract('c', ['absent']),
    ]);
    const [decision] = foldAll(toRecords([change])).decisions;
    assert.deepEqual(decision?.findings.map(({ path }) => path).sort(), [
      'contract/c',
      'contract/c.services.0',
      'route/a',
      'route/a.service',
    ]);
  });

  it('throws for a record that is out of order', () => {
    assert.throws(
      () => core.foldRecord(core.createEmptyState(), { offset: 1, body: {} }),
      core.InvariantError,
    );
  });

  it('rejects a snapshot with a wrong digest', () => {
    const snapshot = core.createSnapshot(core.createEmptyState());
    assert.equal(core.parseSnapshot({ ...snapshot, digest: 'other' }), undefined);
  });

  it('returns undefined for records after a gap without a snapshot', () => {
    const records = [{ offset: 5, body: support.createChange(1, {}, []) }];
    assert.equal(core.recoverState(core.createEmptyState(), records), undefined);
  });
});
