import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const createAnnouncement = (
  overrides: Partial<mesh.TargetAnnouncement> = {},
): mesh.TargetAnnouncement => ({
  id: 'i-1',
  bornAt: 1_000,
  sequence: 1,
  service: 'catalogue',
  slots: 18,
  state: 'ready',
  coldForMs: 0,
  ...overrides,
});

describe('target gate', () => {
  it('opens with the first announcement and stays open with the next', () => {
    const gate = mesh.createTargetGate();
    assert.equal(gate.handleAnnouncement(createAnnouncement(), 0), 'opened');
    assert.equal(gate.handleAnnouncement(createAnnouncement({ sequence: 2 }), 10), 'kept');
    assert.equal(gate.getOpenTarget()?.id, 'i-1');
  });

  it('never reopens for an incarnation whose drain or deregistration was acknowledged', () => {
    const message = fc.record({
      type: fc.constantFrom('ready', 'draining', 'deregistration', 'down'),
      id: fc.constantFrom('i-1', 'i-2'),
      bornAt: fc.constantFrom(1_000, 2_000),
      sequence: fc.integer({ min: 1, max: 30 }),
      hasBornAt: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(message, { maxLength: 40 }), (messages) => {
        const gate = mesh.createTargetGate();
        const closedKeys = new Set<string>();
        /** Highest start time announced for an id, which a deregistration without one refers to. */
        const lastBornAt = new Map<string, number>();
        const formatKey = (id: string, bornAt: number | undefined): string => `${id}|${bornAt}`;
        const handlers: Record<string, (now: number, entry: (typeof messages)[number]) => void> = {
          ready(now, { id, bornAt, sequence }) {
            lastBornAt.set(id, Math.max(bornAt, lastBornAt.get(id) ?? 0));
            gate.handleAnnouncement(createAnnouncement({ id, bornAt, sequence }), now);
          },
          draining(now, { id, bornAt, sequence }) {
            lastBornAt.set(id, Math.max(bornAt, lastBornAt.get(id) ?? 0));
            closedKeys.add(formatKey(id, bornAt));
            gate.handleAnnouncement(
              createAnnouncement({ id, bornAt, sequence, state: 'draining' }),
              now,
            );
          },
          deregistration(now, { id, bornAt, hasBornAt }) {
            closedKeys.add(formatKey(id, hasBornAt ? bornAt : lastBornAt.get(id)));
            gate.deregister(id, hasBornAt ? bornAt : undefined, now);
          },
          down: (_, { id }) => gate.markDown(id),
        };
        messages.forEach((entry, now) => {
          handlers[entry.type]?.(now, entry);
          const open = gate.getOpenTarget();
          if (open) assert.ok(!closedKeys.has(formatKey(open.id, open.bornAt)));
        });
      }),
      { numRuns: 2_000 },
    );
  });

  it('stays closed for a target that was deregistered, without start time, while marked down', () => {
    const gate = mesh.createTargetGate();
    gate.handleAnnouncement(createAnnouncement(), 0);
    gate.markDown('i-1');
    gate.deregister('i-1', undefined, 1);
    assert.equal(gate.handleAnnouncement(createAnnouncement({ sequence: 2 }), 2), 'stale');
    assert.equal(gate.getOpenTarget(), undefined);
    assert.equal(gate.getClosedReason(), 'draining');
  });

  it('stays closed when the only announcement of a deregistered target comes late', () => {
    const gate = mesh.createTargetGate();
    gate.deregister('i-1', undefined, 0);
    assert.equal(gate.handleAnnouncement(createAnnouncement(), 5_000), 'stale');
    assert.equal(gate.getOpenTarget(), undefined);
    const next = createAnnouncement({ bornAt: 20_000, sequence: 3 });
    assert.equal(gate.handleAnnouncement(next, 20_000), 'opened', 'a restart under the same id');
  });

  it('closes for a drain that arrives after a later announcement', () => {
    const gate = mesh.createTargetGate();
    gate.handleAnnouncement(createAnnouncement({ sequence: 5 }), 0);
    const drain = createAnnouncement({ sequence: 4, state: 'draining' });
    assert.equal(gate.handleAnnouncement(drain, 1), 'closed');
    assert.equal(gate.handleAnnouncement(createAnnouncement({ sequence: 6 }), 2), 'stale');
  });

  it('closes for a deregistration with a start time that its announcements lack', () => {
    const gate = mesh.createTargetGate();
    gate.handleAnnouncement(createAnnouncement({ bornAt: undefined }), 0);
    assert.equal(gate.deregister('i-1', 1_000, 1), 'closed');
    assert.equal(
      gate.handleAnnouncement(createAnnouncement({ bornAt: undefined, sequence: 2 }), 2),
      'stale',
    );
  });

  it('ignores an announcement of an earlier incarnation', () => {
    const gate = mesh.createTargetGate();
    gate.handleAnnouncement(createAnnouncement({ id: 'i-2', bornAt: 2_000 }), 0);
    assert.equal(gate.handleAnnouncement(createAnnouncement({ sequence: 99 }), 1), 'stale');
    assert.equal(gate.getOpenTarget()?.id, 'i-2');
  });

  it('treats a restart under the same id as a new incarnation', () => {
    const gate = mesh.createTargetGate();
    gate.handleAnnouncement(createAnnouncement({ sequence: 40 }), 0);
    gate.handleAnnouncement(createAnnouncement({ sequence: 41, state: 'draining' }), 1);
    assert.equal(
      gate.handleAnnouncement(createAnnouncement({ bornAt: 2_000, sequence: 1 }), 2),
      'opened',
    );
  });

  it('reopens with the next announcement after the target was marked down', () => {
    const gate = mesh.createTargetGate();
    gate.handleAnnouncement(createAnnouncement(), 0);
    assert.equal(gate.markDown('i-1'), true);
    assert.equal(gate.getOpenTarget(), undefined);
    assert.equal(gate.handleAnnouncement(createAnnouncement({ sequence: 2 }), 1), 'opened');
  });
});
