/** Default settings of a proxy; durations in milliseconds. */
import * as core from '@figshed/core';

export const settingsDefaults = {
  address: '127.0.0.1',
  platformTimeoutMs: 1_000,
  retentionMs: 3_600_000,
  readWaitMs: 10_000,
  startTimeoutMs: 5_000,
  hedgeAfterMs: 500,
  maxAttempts: 4,
  maxBodyBytes: 1_000_000,
  maxHeldBytes: 67_108_864,
  graceMs: 30_000,
  announceMs: 1_000,
  targetLeaseMs: 3_000,
  membership: core.membershipDefaults,
  orders: core.claimerDefaults,
  targetChoice: core.targetChoiceDefaults,
  circuitBreaker: core.circuitBreakerDefaults,
  retryBudget: core.retryBudgetDefaults,
  quarantine: core.quarantineDefaults,
  queuePerSlot: core.admissionDefaults.queuePerSlot,
} as const;
