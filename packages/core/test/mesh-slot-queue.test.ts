import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

const createRequest = (
  id: string,
  overrides: Partial<mesh.SlotRequest> = {},
): mesh.SlotRequest => ({
  id,
  kind: 'read',
  rank: 1,
  mayBeLate: false,
  objectiveAt: 600,
  deadlineAt: 1_500,
  ...overrides,
});

const listRuns = (effects: readonly mesh.SlotEffect[]): string[] =>
  effects.filter(({ type }) => type === 'run').map(({ id }) => id);

const anyCommand = fc.oneof(
  fc.record({
    type: fc.constant('offer' as const),
    rank: fc.integer({ min: -1, max: 3 }),
    mayBeLate: fc.boolean(),
    remainingMs: fc.integer({ min: 1, max: 2_000 }),
  }),
  fc.record({ type: fc.constant('release' as const), tookMs: fc.integer({ min: 1, max: 900 }) }),
  fc.record({ type: fc.constant('cancel' as const) }),
  fc.record({ type: fc.constant('tick' as const) }),
  fc.record({ type: fc.constant('slots' as const), slots: fc.integer({ min: 1, max: 6 }) }),
);

describe('slot queue', () => {
  it('runs no more calls than slots, and starts or refuses each call at most once', () => {
    fc.assert(
      fc.property(fc.array(anyCommand, { maxLength: 120 }), (commands) => {
        const queue = mesh.createSlotQueue(3, mesh.slotQueueDefaults);
        let slots = 3;
        const running: string[] = [];
        const waiting = new Set<string>();
        const settled = new Set<string>();
        const applyEffects = (effects: readonly mesh.SlotEffect[]): void =>
          effects.forEach((effect) => {
            assert.ok(waiting.delete(effect.id), 'settled without having been offered');
            assert.ok(!settled.has(effect.id));
            settled.add(effect.id);
            if (effect.type !== 'run') return;
            assert.ok(running.length < slots, 'more calls than slots');
            running.push(effect.id);
          });
        commands.forEach((command, index) => {
          const now = index * 10;
          if (command.type === 'offer') {
            const id = `c${index}`;
            waiting.add(id);
            applyEffects(
              queue.offer(
                createRequest(id, {
                  rank: command.rank,
                  mayBeLate: command.mayBeLate,
                  objectiveAt: now + command.remainingMs / 2,
                  deadlineAt: now + command.remainingMs,
                }),
                now,
              ),
            );
          } else if (command.type === 'release') {
            const id = running.shift();
            if (id) applyEffects(queue.release(id, command.tookMs, now));
          } else if (command.type === 'cancel') {
            const id = [...waiting][0];
            if (id && queue.cancel(id)) waiting.delete(id);
          } else if (command.type === 'slots') {
            slots = command.slots;
            applyEffects(queue.setSlots(slots, now));
          } else applyEffects(queue.poll(now));
          const load = queue.getLoad(now);
          assert.equal(load.running, running.length);
          assert.equal(load.waiting + load.late, waiting.size);
        });
      }),
    );
  });

  it('starts nested calls first, then the others by priority', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    queue.offer(createRequest('first'), 0);
    queue.offer(createRequest('reading', { rank: 2, mayBeLate: true }), 0);
    queue.offer(createRequest('booking', { rank: 1, mayBeLate: true }), 0);
    queue.offer(createRequest('nested', { rank: -1, mayBeLate: true }), 0);
    const startOrder = ['first', 'nested', 'booking'].flatMap((id) =>
      listRuns(queue.release(id, 50, 10)),
    );
    assert.deepEqual(startOrder, ['nested', 'booking', 'reading']);
  });

  it('refuses a call immediately when it is expected to miss its objective', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    queue.offer(createRequest('running'), 0);
    queue.release('running', 400, 400);
    queue.offer(createRequest('second', { objectiveAt: 1_000, deadlineAt: 1_900 }), 400);
    const effects = queue.offer(
      createRequest('third', { objectiveAt: 1_000, deadlineAt: 1_900 }),
      400,
    );
    assert.equal(effects[0]?.type, 'refuse');
    assert.equal(effects[0]?.type === 'refuse' && effects[0].reason, 'full');
  });

  it('queues a late call behind those that can meet their objective', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    queue.offer(createRequest('running'), 0);
    queue.offer(createRequest('late', { mayBeLate: true, objectiveAt: 1 }), 0);
    queue.offer(createRequest('timely', { rank: 3 }), 0);
    assert.deepEqual(listRuns(queue.release('running', 100, 100)), ['timely']);
  });

  it('refuses a queued call as soon as its deadline cannot be met', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    queue.offer(createRequest('running', { objectiveAt: 250 }), 0);
    const waiting = createRequest('waiting', {
      mayBeLate: true,
      objectiveAt: 200,
      deadlineAt: 300,
    });
    assert.deepEqual(queue.offer(waiting, 0), []);
    assert.deepEqual(queue.poll(100), []);
    const [effect] = queue.poll(299);
    assert.equal(effect?.type === 'refuse' && effect.reason, 'too-late');
  });

  it('converges to the service time of a slow target after a few calls', () => {
    const queue = mesh.createSlotQueue(4, mesh.slotQueueDefaults);
    ['a', 'b', 'c'].forEach((id) => queue.offer(createRequest(id), 0));
    ['a', 'b', 'c'].forEach((id) => queue.release(id, 560, 560));
    assert.equal(Math.round(queue.getLoad(0).serviceMs), 560);
  });

  it('refuses calls to a slow target until its estimate has decayed', () => {
    const queue = mesh.createSlotQueue(2, mesh.slotQueueDefaults);
    const isRefused = (id: string, now: number): boolean => {
      const times = { objectiveAt: now + 600, deadlineAt: now + 1_500 };
      const effects = queue.offer(createRequest(id, times), now);
      return effects.some(({ type }) => type === 'refuse');
    };
    assert.equal(isRefused('slow', 0), false);
    queue.releaseCancelled('slow', 1_600, 5);
    assert.equal(isRefused('next', 10), true);
    assert.equal(
      isRefused('later', 10 + 2 * mesh.slotQueueDefaults.serviceTimes.halfLifeMs),
      false,
    );
  });

  it('records no service time for a call that was cancelled early', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    for (let call = 0; call < 5; call += 1) {
      queue.offer(createRequest(`c${call}`), 0);
      queue.release(`c${call}`, 200, 0);
    }
    queue.offer(createRequest('left'), 0);
    queue.releaseCancelled('left', 20, 0);
    assert.equal(queue.getLoad(0).serviceMs, 200);
  });

  it('refuses a late call that would be overtaken until after its deadline', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    for (let call = 0; call < 5; call += 1) {
      queue.offer(createRequest(`c${call}`), 0);
      queue.release(`c${call}`, 200, 0);
    }
    queue.offer(createRequest('running'), 0);
    queue.offer(createRequest('ahead', { mayBeLate: true, objectiveAt: 0 }), 0);
    const late = { mayBeLate: true, objectiveAt: 0 };
    // The calls ahead take 400 ms, and those that overtake it another 400 ms.
    const [refused] = queue.offer(createRequest('refused', { ...late, deadlineAt: 900 }), 0);
    assert.equal(refused?.type, 'refuse');
    assert.deepEqual(queue.offer(createRequest('queued', { ...late, deadlineAt: 1_100 }), 0), []);
  });

  it('starts calls at the rate that the target takes, and refuses those that would wait too long', () => {
    const queue = mesh.createSlotQueue(6, mesh.slotQueueDefaults);
    queue.setRateLimit(5, 0);
    const startedAt: number[] = [];
    const refused: number[] = [];
    for (let now = 0; now < 8_000; now += 20) {
      const id = `c${now}`;
      const effects = queue.offer(
        createRequest(id, { objectiveAt: now + 600, deadlineAt: now + 1_500 }),
        now,
      );
      effects.concat(queue.poll(now)).forEach((effect) => {
        if (effect.type === 'refuse') refused.push(effect.retryAfterMs);
        else {
          startedAt.push(now);
          queue.release(effect.id, 20, now);
        }
      });
    }
    startedAt.forEach((start) => {
      const inWindow = startedAt.filter((at) => at >= start && at < start + 4_000).length;
      assert.ok(inWindow <= 23, `${inWindow} in 4 s`);
    });
    assert.ok(startedAt.length >= 38, `${startedAt.length} of 40 possible starts`);
    assert.ok(refused.every((retryAfterMs) => retryAfterMs > 0 && retryAfterMs <= 1_500));
    assert.ok(queue.getLoad(8_000).startDelayMs > 0);
    queue.setRateLimit(undefined, 8_000);
    assert.equal(queue.getLoad(8_000).startDelayMs, 0);
  });

  const createAccountCall = (
    id: string,
    account: string,
    overrides: Partial<mesh.SlotRequest> = {},
  ): mesh.SlotRequest =>
    createRequest(id, { account, mayBeLate: true, deadlineAt: 5_000, ...overrides });

  it('shares the starts among accounts by work, so that none waits behind the calls of another', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    queue.offer(createAccountCall('first', 'many'), 0);
    ['m1', 'm2', 'm3'].forEach((id) => queue.offer(createAccountCall(id, 'many'), 0));
    queue.offer(createAccountCall('f1', 'few'), 0);
    queue.offer(createAccountCall('h1', 'heavy', { workWithinKind: 2 }), 0);
    const startOrder = ['first', 'm1', 'f1', 'm2', 'h1'].flatMap((id) =>
      listRuns(queue.release(id, undefined, 1)),
    );
    assert.deepEqual(startOrder, ['m1', 'f1', 'm2', 'h1', 'm3']);
  });

  it('starts a call that comes back after a refusal before newcomers of its account', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    queue.offer(createAccountCall('first', 'one'), 0);
    ['n1', 'n2'].forEach((id) => queue.offer(createAccountCall(id, 'one'), 0));
    queue.offer(createAccountCall('back', 'one', { wasRejected: true }), 0);
    assert.deepEqual(listRuns(queue.release('first', undefined, 1)), ['back']);
  });

  it('does not charge an account for calls that never started', () => {
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
    queue.offer(createAccountCall('first', 'one'), 0);
    queue.offer(createAccountCall('other', 'two'), 0);
    ['c1', 'c2', 'c3'].forEach((id) => {
      queue.offer(createAccountCall(id, 'one'), 0);
      queue.cancel(id);
    });
    queue.offer(createAccountCall('last', 'one', { objectiveAt: 500 }), 0);
    assert.deepEqual(listRuns(queue.release('first', undefined, 1)), ['last']);
  });

  it('spreads the times at which refused callers return', () => {
    const values = [0, 0.9];
    const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults, () => values.shift() ?? 0);
    queue.offer(createAccountCall('first', 'one'), 0);
    const refused = ['r1', 'r2'].map((id) => {
      const [effect] = queue.offer(createAccountCall(id, 'one', { deadlineAt: 100 }), 0);
      return effect?.type === 'refuse' ? effect.retryAfterMs : -1;
    });
    assert.ok((refused[0] ?? 0) > 0 && (refused[1] ?? 0) > (refused[0] ?? 0), String(refused));
  });
});
