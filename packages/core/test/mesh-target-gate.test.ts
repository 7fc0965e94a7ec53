import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const announcement = (over: Partial<mesh.TargetAnnouncement> = {}): mesh.TargetAnnouncement => ({
  id: 'i-1',
  bornAt: 1_000,
  sequence: 1,
  service: 'catalogue',
  slots: 18,
  state: 'ready',
  coldForMs: 0,
  ...over,
});

describe('target gate', () => {
  it('opens with the first announcement and keeps open with the next', () => {
    const gate = mesh.createTargetGate();
    assert.equal(gate.announce(announcement(), 0), 'opened');
    assert.equal(gate.announce(announcement({ sequence: 2 }), 10), 'kept');
    assert.equal(gate.current()?.id, 'i-1');
  });

  it('never opens again for an incarnation whose leaving was acknowledged', () => {
    const message = fc.record({
      id: fc.constantFrom('i-1', 'i-2'),
      bornAt: fc.constantFrom(1_000, 2_000),
      sequence: fc.integer({ min: 1, max: 30 }),
      state: fc.constantFrom('ready' as const, 'draining' as const),
      leaves: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(message, { maxLength: 40 }), (messages) => {
        const gate = mesh.createTargetGate();
        const gone = new Set<string>();
        messages.forEach(({ leaves, ...rest }, index) => {
          const key = `${rest.id}|${rest.bornAt}`;
          if (leaves) {
            gate.deregister(rest.id, rest.bornAt);
            gone.add(key);
          } else if (gate.announce(announcement(rest), index) === 'closed') gone.add(key);
          const open = gate.current();
          if (open) assert.ok(!gone.has(`${open.id}|${open.bornAt}`));
        });
      }),
    );
  });

  it('ignores an announcement that an earlier incarnation sent', () => {
    const gate = mesh.createTargetGate();
    gate.announce(announcement({ id: 'i-2', bornAt: 2_000 }), 0);
    assert.equal(gate.announce(announcement({ sequence: 99 }), 1), 'stale');
    assert.equal(gate.current()?.id, 'i-2');
  });

  it('takes a restart under the same id for a new target', () => {
    const gate = mesh.createTargetGate();
    gate.announce(announcement({ sequence: 40 }), 0);
    gate.announce(announcement({ sequence: 41, state: 'draining' }), 1);
    assert.equal(gate.announce(announcement({ bornAt: 2_000, sequence: 1 }), 2), 'opened');
  });

  it('opens for the next announcement after the target was found dead', () => {
    const gate = mesh.createTargetGate();
    gate.announce(announcement(), 0);
    assert.equal(gate.markDown('i-1'), true);
    assert.equal(gate.current(), undefined);
    assert.equal(gate.announce(announcement({ sequence: 2 }), 1), 'opened');
  });
});
