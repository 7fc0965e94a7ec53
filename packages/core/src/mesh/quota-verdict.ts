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
