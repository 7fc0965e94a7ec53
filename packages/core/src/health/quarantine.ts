/**
 * Detects requests that crash targets. The fingerprint of a request that was in flight when its
 * target crashed is suspect; after a second crash, requests with that fingerprint are refused until
 * one of the crashes has expired.
 */

/** Options of the quarantine; durations in milliseconds. */
export interface QuarantineOptions {
  /** Number of target crashes after which a fingerprint is quarantined. */
  crashesToQuarantine: number;
  /** How long a crash is counted; bounds the duration of a quarantine. */
  ttlMs: number;
  /** Number of fingerprints kept; the least recently reported ones are removed first. */
  maxFingerprints: number;
}

export const quarantineDefaults: QuarantineOptions = {
  crashesToQuarantine: 2,
  ttlMs: 600_000,
  maxFingerprints: 1_000,
};

/** A target crash while a request with this fingerprint was in flight. */
export interface TargetCrash {
  fingerprint: string;
  /** Identifies the crash, so that repeated reports of it are counted once. */
  deathId: string;
  /** Wall-clock time of the crash, in milliseconds since the Unix epoch. */
  at: number;
}

export interface Quarantine {
  /** Records crashes that were observed locally or reported by peers, and returns the new ones. */
  recordCrashes(crashes: readonly TargetCrash[], now: number): TargetCrash[];
  isQuarantined(fingerprint: string, now: number): boolean;
  /** Whether at least one crash is counted, so that such requests can be run one at a time. */
  isSuspect(fingerprint: string, now: number): boolean;
  /** Lists the fingerprints with at least one counted crash; `deaths` is the number of crashes. */
  list(now: number): { fingerprint: string; deaths: number; quarantined: boolean }[];
}

/**
 * Creates an empty quarantine. All times are wall-clock times in milliseconds since the Unix epoch.
 *
 * @example
 * const quarantine = createQuarantine(quarantineDefaults);
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const crashesByFingerprint = new Map<string, Map<string, number>>();

  const countCrashes = (fingerprint: string, now: number): number =>
    [...(crashesByFingerprint.get(fingerprint)?.values() ?? [])].filter(
      (at) => now - at < options.ttlMs,
    ).length;

  const recordCrash = (crash: TargetCrash): boolean => {
    const crashes = crashesByFingerprint.get(crash.fingerprint) ?? new Map<string, number>();
    if (crashes.has(crash.deathId)) return false;
    crashes.set(crash.deathId, crash.at);
    // Moves the fingerprint to the end of the map, whose order decides which one is removed.
    crashesByFingerprint.delete(crash.fingerprint);
    crashesByFingerprint.set(crash.fingerprint, crashes);
    return true;
  };

  return {
    recordCrashes(reported, now) {
      const added = reported.filter(
        (crash) => now - crash.at < options.ttlMs && recordCrash(crash),
      );
      while (crashesByFingerprint.size > options.maxFingerprints) {
        crashesByFingerprint.delete(crashesByFingerprint.keys().next().value as string);
      }
      return added;
    },
    isQuarantined: (fingerprint, now) =>
      countCrashes(fingerprint, now) >= options.crashesToQuarantine,
    isSuspect: (fingerprint, now) => countCrashes(fingerprint, now) > 0,
    list: (now) =>
      [...crashesByFingerprint.keys()]
        .map((fingerprint) => ({ fingerprint, deaths: countCrashes(fingerprint, now) }))
        .filter((entry) => entry.deaths > 0)
        .map((entry) => ({ ...entry, quarantined: entry.deaths >= options.crashesToQuarantine })),
  };
}
