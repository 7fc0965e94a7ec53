/**
 * Decides what a process may say about a route that its version of the configuration does not
 * have. That the version at hand lacks it does not tell that no version in force has it.
 */

/** What a process knows of its version of the configuration. */
export interface VersionKnowledge {
  /** Whether there is a version; a source without one confirms that too. */
  hasVersion: boolean;
  /** Time since the version was confirmed to be the newest, in milliseconds; infinite if never. */
  ageMs: number;
  /** Whether another process is known to hold a newer version. */
  isBehind: boolean;
  /** Whether the last finished read of the source succeeded. */
  isSourceReachable: boolean;
}

export interface UnknownRouteOptions {
  /** Time within which a change must be in force on all hosts, in milliseconds. */
  applyWithinMs: number;
  /** When a call on a route that may exist can be repeated, as a share of `applyWithinMs`. */
  retryAfterShare: number;
}

export const unknownRouteDefaults: Omit<UnknownRouteOptions, 'applyWithinMs'> = {
  // A read of the source takes about as long.
  retryAfterShare: 0.1,
};

export type UnknownRouteVerdict =
  /** No version that must be in force has the route. */
  | { type: 'absent' }
  /** A version that must be in force may have it. */
  | {
      type: 'undecided';
      retryAfterMs: number;
      /** Whether to read the source at once. */
      shouldRead: boolean;
    };

/**
 * Returns whether a route that the version in force lacks is certain to be absent.
 *
 * @example
 * const options = { ...unknownRouteDefaults, applyWithinMs: 2_000 };
 * const knowledge = { hasVersion: true, ageMs: 2_100, isBehind: false, isSourceReachable: true };
 * decideUnknownRoute(knowledge, options);
 * // { type: 'undecided', retryAfterMs: 200, shouldRead: true }
 */
export function decideUnknownRoute(
  { hasVersion, ageMs, isBehind, isSourceReachable }: VersionKnowledge,
  { applyWithinMs, retryAfterShare }: UnknownRouteOptions,
): UnknownRouteVerdict {
  const isConfirmed = ageMs < applyWithinMs;
  if (hasVersion && isConfirmed && !isBehind) return { type: 'absent' };
  return {
    type: 'undecided',
    retryAfterMs: retryAfterShare * applyWithinMs,
    // A newer version that is known is fetched from its holder, and a lost source is retried with
    // back-off, so calls add no load to either.
    shouldRead: !isConfirmed && isSourceReachable,
  };
}
