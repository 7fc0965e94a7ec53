import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

const { describe, it } = test;

const APPLY_MS = 2_000;
const STEP_MS = 10;
const LATENCY_MS = 20;

const createWatch = (seed = 1): mesh.SourceWatch =>
  mesh.createSourceWatch(
    { ...mesh.sourceWatchDefaults, applyWithinMs: APPLY_MS },
    support.createRandom(seed),
  );

interface Host {
  watch: mesh.SourceWatch;
  /** When the open question is answered, and since when that answer is the newest. */
  answerAt: number | undefined;
  askedAt: number;
  wakeAt: number;
  version: number;
  questions: number;
}

interface Region {
  hosts: Host[];
  run(untilMs: number): void;
}

/** A region whose hosts ask a source with one change at `changeAt`, and tell one another. */
function createRegion(
  count: number,
  changeAt: number,
  isUp: (host: number, now: number) => boolean,
): Region {
  const hosts = Array.from({ length: count }, (_, index): Host => ({
    watch: createWatch(index + 1),
    answerAt: undefined,
    askedAt: 0,
    wakeAt: 0,
    version: 1,
    questions: 0,
  }));
  let now = 0;
  const answer = (host: Host, index: number): void => {
    const isNew = host.version === 1 && now >= changeAt;
    host.version = now >= changeAt ? 2 : 1;
    host.watch.noteConfirmed(isNew ? host.askedAt : now - LATENCY_MS);
    const ageMs = host.watch.ageMs(now);
    hosts.forEach((other, position) => {
      if (position === index || !isUp(position, now)) return;
      other.version = Math.max(other.version, host.version);
      if (other.version === host.version) other.watch.noteConfirmed(now - ageMs);
    });
  };
  const tick = (host: Host, index: number): void => {
    if (!isUp(index, now)) {
      host.answerAt = undefined;
      return;
    }
    const hasChange = host.answerAt !== undefined && host.version === 1 && now >= changeAt;
    if (host.answerAt !== undefined && (now >= host.answerAt || hasChange)) {
      host.answerAt = undefined;
      answer(host, index);
    }
    if (host.answerAt !== undefined || now < host.wakeAt) return;
    const step = host.watch.next(index, now);
    if (step.type === 'rest') host.wakeAt = now + step.restMs;
    else {
      host.questions += 1;
      host.askedAt = now;
      host.answerAt = now + step.waitMs + LATENCY_MS;
    }
  };
  return {
    hosts,
    run(untilMs) {
      for (; now <= untilMs; now += STEP_MS) hosts.forEach(tick);
    },
  };
}

describe('the watch on a source', () => {
  it('lets one reader ask for a whole region', () => {
    const region = createRegion(29, Number.POSITIVE_INFINITY, () => true);
    region.run(20_000);
    const [reader, ...others] = region.hosts.map(({ questions }) => questions);
    assert.ok((reader ?? 0) >= 20_000 / APPLY_MS, 'the reader asks several times within the bound');
    others.forEach((questions) => assert.ok(questions <= 1, `${questions} questions`));
  });

  it('brings a change into force in time whichever hosts are gone from any moment on', () => {
    const property = fc.property(
      fc.integer({ min: 2_000, max: 6_000 }),
      fc.integer({ min: 0, max: 3_000 }),
      fc.uniqueArray(fc.integer({ min: 0, max: 8 }), { maxLength: 8 }),
      (changeAt, beforeMs, gone) => {
        const isUp = (host: number, now: number): boolean =>
          !gone.includes(host) || now < changeAt - beforeMs;
        const region = createRegion(9, changeAt, isUp);
        region.run(changeAt + APPLY_MS);
        region.hosts.forEach(({ version }, index) => {
          if (!gone.includes(index)) assert.equal(version, 2, `host ${index}`);
        });
      },
    );
    fc.assert(property, support.propertyOptions);
  });

  it('asks a source that fails ever more rarely, and farther ranks more rarely than near ones', () => {
    const countQuestions = (rank: number): number => {
      const watch = createWatch();
      watch.noteConfirmed(0);
      let questions = 0;
      let now = 0;
      while (now < 30_000) {
        const step = watch.next(rank, now);
        if (step.type === 'rest') now += step.restMs;
        else {
          questions += 1;
          watch.noteFailed(now);
        }
      }
      return questions;
    };
    const near = countQuestions(0);
    const far = countQuestions(5);
    assert.ok(near <= 30_000 / (APPLY_MS / 2) + 8, `${near} questions`);
    assert.ok(far < near / 2, `${far} and ${near} questions`);
  });

  it('asks again soon after the source has answered another process', () => {
    const watch = createWatch();
    watch.noteConfirmed(0);
    for (let failure = 0; failure < 10; failure += 1) watch.noteFailed(10_000);
    assert.equal(watch.next(5, 10_001).type, 'rest');
    watch.noteConfirmed(10_050);
    const step = watch.next(5, 10_060);
    assert.ok(step.type === 'rest' && step.restMs < APPLY_MS, JSON.stringify(step));
  });
});
