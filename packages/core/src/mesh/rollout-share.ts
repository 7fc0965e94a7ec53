import * as rendezvous from '../shared/rendezvous.js';
import type * as clock from '../shared/clock.js';

/** Decides which calls of one host go to the canary, without asking other hosts. */
export interface CanaryShare {
  /** Counts a call of the service and returns whether the canary may get it. */
  takeCall(now: number): boolean;
  /** Gives back a call that could not be sent to the canary. */
  returnCall(): void;
}

export interface CanaryShareOptions {
  /** Share of the calls of this host. */
  share: number;
  /** Calls per second of this host besides, so that a service with few calls is tested as well. */
  callsPerSecond: number;
}

/** Calls that may be saved up while the canary is not available. */
const MAX_CREDIT = 2;
const MS_PER_SECOND = 1_000;
/**
 * Age of a process from which on it knows how many hosts there are. A younger one gets no calls besides
 * the share: it would take the part of many hosts, and a restarted one has had its part before.
 */
const MIN_PROCESS_AGE_MS = 5_000;

/**
 * Computes the calls per second that one host may send to the canary besides the share, when all hosts
 * together may send `calls` of them over `overMs`.
 *
 * @example
 * computeExtraCallRate(25, { overMs: 20_000, hosts: 60, processAgeMs: 90_000 });
 */
export function computeExtraCallRate(
  calls: number,
  { overMs, hosts, processAgeMs }: { overMs: number; hosts: number; processAgeMs: number },
): number {
  if (processAgeMs < MIN_PROCESS_AGE_MS) return 0;
  return calls / Math.max(1, overMs / MS_PER_SECOND) / Math.max(1, hosts);
}

/**
 * Creates a share. It starts at a random fraction of a call: the hosts together then send the share of
 * their calls, also if each of them has only a few.
 *
 * @example
 * createCanaryShare({ share: 0.085, callsPerSecond: 0.01 }, random, clock.monotonic()).takeCall(now);
 */
export function createCanaryShare(
  { share, callsPerSecond }: CanaryShareOptions,
  random: clock.Random,
  startedAt: number,
): CanaryShare {
  let credit = random();
  let lastAt = startedAt;
  return {
    takeCall(now) {
      const timeCredit = (Math.max(0, now - lastAt) / MS_PER_SECOND) * callsPerSecond;
      lastAt = Math.max(now, lastAt);
      credit = Math.min(MAX_CREDIT, credit + share + timeCredit);
      if (credit < 1) return false;
      credit -= 1;
      return true;
    },
    returnCall() {
      credit = Math.min(MAX_CREDIT, credit + 1);
    },
  };
}

/**
 * Chooses the hosts of the canary that get its calls for a while, the same at every host. Fewer hosts
 * than the canary has get about the load that they will have once they get all calls.
 *
 * @example
 * chooseCanaryHosts('17|3', ['a', 'b', 'c'], 2);
 */
export function chooseCanaryHosts(key: string, ids: readonly string[], count: number): string[] {
  return rendezvous.chooseByRendezvousHash(`canary|${key}`, ids, count);
}
