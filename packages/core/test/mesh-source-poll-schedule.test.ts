import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

const { describe, it } = test;

const APPLY_MS = 2_000;
const STEP_MS = 10;
const LATENCY_MS = 20;

const createSchedule = (seed = 1): mesh.PollSchedule =>
  mesh.createPollSchedule(
    { ...mesh.pollScheduleDefaults, applyWithinMs: APPLY_MS },
    support.createSeededRandom(seed),
  );

interface SimulatedHost {
  schedule: mesh.PollSchedule;
  /** Time at which the open poll is answered; undefined without an open poll. */
  responseAt: number | undefined;
  /** Time at which the last poll was sent. */
  polledAt: number;
  nextStepAt: number;
  version: number;
  polls: number;
}

interface SimulatedRegion {
  hosts: SimulatedHost[];
  run(untilMs: number): void;
}

/**
 * Simulates a region whose hosts poll a source that has one change, at `changeAt`, and send their
 * version and its age to one another.
 */
function createRegion(
  count: number,
  changeAt: number,
  isUp: (host: number, now: number) => boolean,
): SimulatedRegion {
  const hosts = Array.from({ length: count }, (_, index): SimulatedHost => ({
    schedule: createSchedule(index + 1),
    responseAt: undefined,
    polledAt: 0,
    nextStepAt: 0,
    version: 1,
    polls: 0,
  }));
  let now = 0;
  const handleResponse = (host: SimulatedHost, index: number): void => {
    const isNew = host.version === 1 && now >= changeAt;
    host.version = now >= changeAt ? 2 : 1;
    host.schedule.recordConfirmation(isNew ? host.polledAt : now - LATENCY_MS);
    const ageMs = host.schedule.getConfirmationAgeMs(now);
    hosts.forEach((other, otherIndex) => {
      if (otherIndex === index || !isUp(otherIndex, now)) return;
      other.version = Math.max(other.version, host.version);
      if (other.version === host.version) other.schedule.recordConfirmation(now - ageMs);
    });
  };
  const tick = (host: SimulatedHost, index: number): void => {
    if (!isUp(index, now)) {
      host.responseAt = undefined;
      return;
    }
    const hasChange = host.responseAt !== undefined && host.version === 1 && now >= changeAt;
    if (host.responseAt !== undefined && (now >= host.responseAt || hasChange)) {
      host.responseAt = undefined;
      handleResponse(host, index);
    }
    if (host.responseAt !== undefined || now < host.nextStepAt) return;
    const step = host.schedule.computeNextStep(index, now);
    if (step.type === 'wait') host.nextStepAt = now + step.delayMs;
    else {
      host.polls += 1;
      host.polledAt = now;
      host.responseAt = now + step.waitMs + LATENCY_MS;
    }
  };
  return {
    hosts,
    run(untilMs) {
      for (; now <= untilMs; now += STEP_MS) hosts.forEach(tick);
    },
  };
}

describe('poll schedule of a configuration source', () => {
  it('lets a single reader poll for the whole region', () => {
    const region = createRegion(29, Number.POSITIVE_INFINITY, () => true);
    region.run(20_000);
    const [reader, ...others] = region.hosts.map(({ polls }) => polls);
    assert.ok((reader ?? 0) >= 20_000 / APPLY_MS, 'the reader polls at least once per bound');
    others.forEach((polls) => assert.ok(polls <= 1, `${polls} polls`));
  });

  it('applies a change in time on the remaining hosts, whichever hosts fail at any time', () => {
    const property = fc.property(
      fc.integer({ min: 2_000, max: 6_000 }),
      fc.integer({ min: 0, max: 3_000 }),
      fc.uniqueArray(fc.integer({ min: 0, max: 8 }), { maxLength: 8 }),
      (changeAt, leadMs, lostHosts) => {
        const isUp = (host: number, now: number): boolean =>
          !lostHosts.includes(host) || now < changeAt - leadMs;
        const region = createRegion(9, changeAt, isUp);
        region.run(changeAt + APPLY_MS);
        region.hosts.forEach(({ version }, index) => {
          if (!lostHosts.includes(index)) assert.equal(version, 2, `host ${index}`);
        });
      },
    );
    fc.assert(property, support.propertyOptions);
  });

  it('backs off from a failing source, with a longer back-off at higher ranks', () => {
    const countPolls = (rank: number): number => {
      const schedule = createSchedule();
      schedule.recordConfirmation(0);
      let polls = 0;
      let now = 0;
      while (now < 30_000) {
        const step = schedule.computeNextStep(rank, now);
        if (step.type === 'wait') now += step.delayMs;
        else {
          polls += 1;
          schedule.recordFailure(now);
        }
      }
      return polls;
    };
    const lowRankPolls = countPolls(0);
    const highRankPolls = countPolls(5);
    assert.ok(lowRankPolls <= 30_000 / (APPLY_MS / 2) + 8, `${lowRankPolls} polls`);
    assert.ok(highRankPolls < lowRankPolls / 2, `${highRankPolls} and ${lowRankPolls} polls`);
  });

  it('polls without waiting after a failure, and within 0.6 of the bound', () => {
    const schedule = createSchedule();
    schedule.recordConfirmation(0);
    for (let failure = 0; failure < 10; failure += 1) schedule.recordFailure(10_000);
    const step = schedule.computeNextStep(0, 10_000 + 0.6 * APPLY_MS);
    assert.deepEqual(step, { type: 'poll', waitMs: 0 });
    schedule.recordConfirmation(11_300);
    const next = schedule.computeNextStep(0, 11_300);
    assert.ok(next.type === 'poll' && next.waitMs > 0, JSON.stringify(next));
  });

  it('resets the back-off when the source has responded to another process', () => {
    const schedule = createSchedule();
    schedule.recordConfirmation(0);
    for (let failure = 0; failure < 10; failure += 1) schedule.recordFailure(10_000);
    assert.equal(schedule.computeNextStep(5, 10_001).type, 'wait');
    schedule.recordConfirmation(10_050);
    const step = schedule.computeNextStep(5, 10_060);
    assert.ok(step.type === 'wait' && step.delayMs < APPLY_MS, JSON.stringify(step));
  });
});
