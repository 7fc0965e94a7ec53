/**
 * Age of the proof that the configuration in force is the newest. Keys must stop working on every host
 * within a bound, also on one that was suspended, restarted or cut off, so the age counts from when the
 * question was asked whose response proved it, and never from when a message arrived: a message may
 * have waited anywhere for any time.
 *
 * When the wall clock and the monotonic clock move apart, the time that has passed is not known, and the
 * proof is void.
 */
import type * as clock from '../shared/clock.js';
import * as clockCheck from './clock-check.js';

export interface VersionProofOptions {
  /** Difference between the two clocks from which on the proof is void, in milliseconds. */
  maxClockDriftMs: number;
}

export const versionProofDefaults: VersionProofOptions = {
  // Above the slewing of a synchronised clock between two proofs, below any bound on keys.
  maxClockDriftMs: 100,
};

export interface VersionProof {
  /**
   * Records that the version in force was the newest at `provenAt`, by a response to a question that
   * was asked at `askedAt`. Both are monotonic times in milliseconds.
   */
  record(proof: { askedAt: number; provenAt: number }): void;
  /** Returns the age of the newest proof in milliseconds; infinite without a valid one. */
  getAgeMs(): number;
}

/**
 * Creates an empty proof.
 *
 * @example
 * const proof = createVersionProof(clock, versionProofDefaults);
 * proof.record({ askedAt: 1_000, provenAt: 1_000 });
 */
export function createVersionProof(
  { now, monotonic }: clock.Clock,
  options: VersionProofOptions,
): VersionProof {
  const clocks = clockCheck.createClockCheck({ now, monotonic }, options.maxClockDriftMs);
  /** Questions that were asked until then prove nothing. */
  let validSince = Number.NEGATIVE_INFINITY;
  let provenAt = Number.NEGATIVE_INFINITY;

  const checkClocks = (): void => {
    if (!clocks.takeJump()) return;
    validSince = monotonic();
    provenAt = Number.NEGATIVE_INFINITY;
  };

  return {
    record(proof) {
      checkClocks();
      if (proof.askedAt <= validSince) return;
      provenAt = Math.max(provenAt, proof.provenAt);
      // Slow drift must not add up over many proofs.
      clocks.accept();
    },
    getAgeMs() {
      checkClocks();
      return monotonic() - provenAt;
    },
  };
}
