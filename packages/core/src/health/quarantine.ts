/**
 * Finds requests that crash the targets which run them, and refuses them for a while.
 * A fingerprint in flight when a target dies is a suspect; at its second death it is quarantined.
 */

/** Settings of the quarantine; durations in milliseconds. */
export interface QuarantineOptions {
  deathsToQuarantine: number;
  /** How long a suspicion or quarantine lasts. */
  ttlMs: number;
  maxFingerprints: number;
}

export const quarantineDefaults: QuarantineOptions = {
  deathsToQuarantine: 2,
  ttlMs: 600_000,
  maxFingerprints: 1_000,
};

/** One target's death with a fingerprint in flight; `deathId` makes repeats of the news harmless. */
export interface Death {
  fingerprint: string;
  deathId: string;
  at: number;
}

/** The quarantine part of one process. */
export interface Quarantine {
  /** Notes deaths seen here or told by peers, and returns those that were news. */
  noteDeaths(deaths: readonly Death[], now: number): Death[];
  isQuarantined(fingerprint: string, now: number): boolean;
  /** Tells whether the fingerprint already is a suspect, so that it may run only one at a time. */
  isSuspect(fingerprint: string, now: number): boolean;
  list(now: number): { fingerprint: string; deaths: number; quarantined: boolean }[];
}

/**
 * Creates an empty quarantine.
 *
 * @example
 * const quarantine = createQuarantine(quarantineDefaults);
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const deaths = new Map<string, Map<string, number>>();

  const countDeaths = (fingerprint: string, now: number): number =>
    [...(deaths.get(fingerprint)?.values() ?? [])].filter((at) => now - at < options.ttlMs).length;

  const noteDeath = (death: Death): boolean => {
    const known = deaths.get(death.fingerprint) ?? new Map<string, number>();
    if (known.has(death.deathId)) return false;
    known.set(death.deathId, death.at);
    deaths.delete(death.fingerprint);
    deaths.set(death.fingerprint, known);
    return true;
  };

  return {
    noteDeaths(news, now) {
      const fresh = news.filter((death) => now - death.at < options.ttlMs && noteDeath(death));
      while (deaths.size > options.maxFingerprints) {
        deaths.delete(deaths.keys().next().value as string);
      }
      return fresh;
    },
    isQuarantined: (fingerprint, now) =>
      countDeaths(fingerprint, now) >= options.deathsToQuarantine,
    isSuspect: (fingerprint, now) => countDeaths(fingerprint, now) > 0,
    list: (now) =>
      [...deaths.keys()]
        .map((fingerprint) => ({ fingerprint, deaths: countDeaths(fingerprint, now) }))
        .filter((entry) => entry.deaths > 0)
        .map((entry) => ({ ...entry, quarantined: entry.deaths >= options.deathsToQuarantine })),
  };
}
