/**
 * Detects requests that crash targets. The fingerprint of a request that was in flight when its
 * target crashed is suspect; after a second crash, requests with that fingerprint are refused until
 * one of the crashes has expired. Other requests were in flight as well, so a crash no longer counts
 * once a request with that fingerprint has been completed.
 */

/** Options of the quarantine; durations in milliseconds. */
export interface QuarantineOptions {
  /** Number of target crashes after which a fingerprint is quarantined. */
  crashesToQuarantine: number;
  /** How long a crash is counted; bounds the duration of a quarantine. */
  ttlMs: number;
  /** Number of fingerprints kept; the least recently reported ones are removed first. */
  maxFingerprints: number;
  /** Time from the last crash until a quarantined request may be tried once more. */
  firstTrialMs: number;
  /** Factor by which that time grows with each trial. */
  trialBackOffFactor: number;
}

export const quarantineDefaults: QuarantineOptions = {
  crashesToQuarantine: 2,
  ttlMs: 600_000,
  maxFingerprints: 1_000,
  firstTrialMs: 10_000,
  trialBackOffFactor: 6,
};

/** A target crash while a request with this fingerprint was in flight. */
export interface TargetCrash {
  fingerprint: string;
  /** Identifies the crash, so that repeated reports of it are counted once. */
  deathId: string;
  /** Wall-clock time of the crash, in milliseconds since the Unix epoch. */
  at: number;
}

/** Crashes that a request did not cause, since a request with its fingerprint has been completed. */
export interface ClearedCrashes {
  fingerprint: string;
  deathIds: string[];
}

export interface Quarantine {
  /** Records crashes that were observed locally or reported by peers, and returns the new ones. */
  recordCrashes(crashes: readonly TargetCrash[], now: number): TargetCrash[];
  /** Records the completion of a request; returns the crashes that no longer count, if any did. */
  recordCompletion(fingerprint: string, now: number): ClearedCrashes | undefined;
  /** Applies completions that peers have reported, also before the crashes themselves. */
  recordCleared(cleared: readonly ClearedCrashes[], now: number): void;
  isQuarantined(fingerprint: string, now: number): boolean;
  /** Whether at least one crash is counted, so that such requests can be run one at a time. */
  isSuspect(fingerprint: string, now: number): boolean;
  /** Whether a crash may count for any request; false means that none has to be identified. */
  hasSuspects(): boolean;
  /** Returns when a quarantined request may be tried again; infinite if it is not quarantined. */
  getNextTrialAt(fingerprint: string, now: number): number;
  /** Records that a quarantined request is being tried, which delays the next trial. */
  recordTrial(fingerprint: string): void;
  /** Lists the fingerprints with at least one counted crash; `deaths` is the number of crashes. */
  list(now: number): { fingerprint: string; deaths: number; quarantined: boolean }[];
}

/** Crashes stored for one fingerprint; the oldest are removed first. */
const MAX_CRASHES_PER_FINGERPRINT = 32;

interface Crash {
  at: number;
  isCleared: boolean;
}

interface Entry {
  crashes: Map<string, Crash>;
  trials: number;
}

/**
 * Creates an empty quarantine. All times are wall-clock times in milliseconds since the Unix epoch.
 *
 * @example
 * const quarantine = createQuarantine(quarantineDefaults);
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const entries = new Map<string, Entry>();
  /** Fingerprints with a crash that has not been cleared, expired ones included. */
  const suspects = new Set<string>();

  const listCounted = (fingerprint: string, now: number): [string, Crash][] =>
    [...(entries.get(fingerprint)?.crashes ?? [])].filter(
      ([, { at, isCleared }]) => !isCleared && now - at < options.ttlMs,
    );

  const countCrashes = (fingerprint: string, now: number): number =>
    listCounted(fingerprint, now).length;

  const isQuarantined = (fingerprint: string, now: number): boolean =>
    countCrashes(fingerprint, now) >= options.crashesToQuarantine;

  const deleteEntry = (fingerprint: string): void => {
    entries.delete(fingerprint);
    suspects.delete(fingerprint);
  };

  const deleteExpired = (now: number): void =>
    entries.forEach(({ crashes }, fingerprint) => {
      if ([...crashes.values()].every(({ at }) => now - at >= options.ttlMs))
        deleteEntry(fingerprint);
    });

  /** Returns the entry as the most recently reported one; the oldest is removed beyond the limit. */
  const renewEntry = (fingerprint: string): Entry => {
    const entry = entries.get(fingerprint) ?? { crashes: new Map<string, Crash>(), trials: 0 };
    entries.delete(fingerprint);
    entries.set(fingerprint, entry);
    if (entries.size > options.maxFingerprints) deleteEntry(entries.keys().next().value as string);
    return entry;
  };

  const setCrash = (fingerprint: string, deathId: string, crash: Crash): void => {
    const { crashes } = renewEntry(fingerprint);
    crashes.set(deathId, crash);
    if (crashes.size > MAX_CRASHES_PER_FINGERPRINT)
      crashes.delete(crashes.keys().next().value as string);
    if ([...crashes.values()].some(({ isCleared }) => !isCleared)) suspects.add(fingerprint);
    else suspects.delete(fingerprint);
  };

  const recordCrash = ({ fingerprint, deathId, at }: TargetCrash): boolean => {
    if (entries.get(fingerprint)?.crashes.has(deathId)) return false;
    setCrash(fingerprint, deathId, { at, isCleared: false });
    return true;
  };

  const clearCrashes = ({ fingerprint, deathIds }: ClearedCrashes, now: number): void => {
    deathIds.forEach((deathId) => {
      const at = entries.get(fingerprint)?.crashes.get(deathId)?.at ?? now;
      setCrash(fingerprint, deathId, { at, isCleared: true });
    });
    const entry = entries.get(fingerprint);
    if (entry) entry.trials = 0;
  };

  return {
    recordCrashes(reported, now) {
      deleteExpired(now);
      return reported.filter((crash) => now - crash.at < options.ttlMs && recordCrash(crash));
    },
    recordCompletion(fingerprint, now) {
      const deathIds = listCounted(fingerprint, now).map(([deathId]) => deathId);
      if (deathIds.length === 0) return undefined;
      const cleared = { fingerprint, deathIds };
      clearCrashes(cleared, now);
      return cleared;
    },
    recordCleared: (cleared, now) => cleared.forEach((item) => clearCrashes(item, now)),
    isQuarantined,
    isSuspect: (fingerprint, now) => countCrashes(fingerprint, now) > 0,
    hasSuspects: () => suspects.size > 0,
    getNextTrialAt(fingerprint, now) {
      const entry = entries.get(fingerprint);
      if (!entry || !isQuarantined(fingerprint, now)) return Number.POSITIVE_INFINITY;
      const lastCrashAt = Math.max(...listCounted(fingerprint, now).map(([, { at }]) => at));
      return lastCrashAt + options.firstTrialMs * options.trialBackOffFactor ** entry.trials;
    },
    recordTrial(fingerprint) {
      const entry = entries.get(fingerprint);
      if (entry) entry.trials += 1;
    },
    list: (now) =>
      [...entries.keys()]
        .map((fingerprint) => ({ fingerprint, deaths: countCrashes(fingerprint, now) }))
        .filter((entry) => entry.deaths > 0)
        .map((entry) => ({ ...entry, quarantined: entry.deaths >= options.crashesToQuarantine })),
  };
}
