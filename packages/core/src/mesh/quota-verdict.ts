/** What the quotas decide on a call, and why. */
export interface QuotaRefusal {
  retryAfterMs: number;
  /** Part of the limit held by the coordinators that have just refused a token, 0 to 1. */
  refusedShare: number;
  /** Age of the last answer of a coordinator, in milliseconds; undefined without one. */
  answerAgeMs: number | undefined;
  /** Number of coordinators that do not respond. */
  silentCoordinators: number;
  /** True if the host used its own share, which is leased to no coordinator. */
  usesOwnShare: boolean;
}

export type QuotaVerdict =
  | { type: 'admitted' }
  /** The account has used up its limit. */
  | ({ type: 'over-limit' } & QuotaRefusal)
  /** Whether the account is within its limit cannot be found out. */
  | ({ type: 'quota-unknown' } & QuotaRefusal);

/** Shortest time after which a call may return that nobody could decide. */
const UNKNOWN_RETRY_MS = 400;

/**
 * Computes a time after which a call may return that nobody could decide, one to two times the
 * shortest; `random` is between 0 and 1.
 *
 * @example
 * computeUnknownRetryMs(0.5); // 600
 */
export function computeUnknownRetryMs(random: number): number {
  return (1 + random) * UNKNOWN_RETRY_MS;
}

/**
 * Creates the verdict on a call of which nothing is known.
 *
 * @example
 * createUnknownVerdict(random()).type; // 'quota-unknown'
 */
export function createUnknownVerdict(random: number): QuotaVerdict {
  return {
    type: 'quota-unknown',
    retryAfterMs: computeUnknownRetryMs(random),
    refusedShare: 0,
    answerAgeMs: undefined,
    silentCoordinators: 0,
    usesOwnShare: false,
  };
}
