/** Decision logic of figshed; no module accesses a clock, a random source or a socket itself. */
export {
  admissionDefaults,
  createAdmissionController,
  type AdmissionController,
  type AdmissionEffect,
  type AdmissionOptions,
  type AdmissionRequest,
  type ShedReason,
} from './admission/admission.js';
export { listDifferences } from './config/check-differences.js';
export {
  createError,
  formatReport,
  isError,
  type CheckFinding,
  type CheckReport,
  type FieldDifference,
  type LocatedCheckFinding,
} from './config/check-findings.js';
export { absenceCodes, checkResources } from './config/check-resources.js';
export {
  compileConfig,
  matchRoute,
  type CompiledConfig,
  type RouteMatch,
} from './config/compiled-config.js';
export {
  MAX_KEPT_DECISIONS,
  computeStateDigest,
  createSnapshot,
  createEmptyState,
  foldRecord,
  parseSnapshot,
  recoverState,
  type OffsetRecord,
} from './config/fold.js';
export { checkReferences, formatResourceId, type Finding } from './config/references.js';
export {
  changeSchema,
  contractSchema,
  fleetSchema,
  recordSchema,
  requestKindSchema,
  resourceSchema,
  routeSchema,
  serviceSchema,
  snapshotSchema,
  stateSchema,
  type Change,
  type ConfigRecord,
  type Contract,
  type Decision,
  type Fleet,
  type RequestKind,
  type Resource,
  type Route,
  type Service,
  type Snapshot,
  type State,
} from './config/schemas.js';
export { createReplica, type Replica } from './distribution/replica.js';
export type { FetchResponse, FetchRequest, ReplicaEffect } from './distribution/types.js';
export {
  createQuarantine,
  quarantineDefaults,
  type ClearedCrashes,
  type TargetCrash,
  type Quarantine,
  type QuarantineOptions,
} from './health/quarantine.js';
export {
  createGrantedLeases,
  getCustomerShare,
  type GrantedLeases,
  type ShareTable,
} from './limits/granted-leases.js';
export {
  createLeasePool,
  type CustomerRateLimit,
  type LeasePoolOptions,
  type LeasePool,
  type ReceivedLease,
} from './limits/lease-pool.js';
export { createTokenBucket, type TokenBucket } from './limits/token-bucket.js';
export {
  createTokenCache,
  tokenCacheDefaults,
  type TokenCacheOptions,
  type TokenCache,
} from './limits/token-cache.js';
export { computeMembersDigest, formatRecordVersion } from './membership/digest.js';
export { membershipDefaults } from './membership/defaults.js';
export {
  createMembership,
  type Membership,
  type MembershipInput,
} from './membership/membership.js';
export { isNewerRecord } from './membership/precedence.js';
export type {
  ConfigWatermark,
  RolloutReport,
  RolloutStamp,
  VersionProofStamp,
  Endpoint,
  GossipMessage,
  Member,
  MemberInfo,
  MemberStatus,
  MembershipEffect,
  MembershipOptions,
  CrashRecord,
  TargetInfo,
  TargetState,
} from './membership/types.js';
export {
  claimerDefaults,
  createClaimer,
  type ClaimResult,
  type Claimer,
  type ClaimerEffect,
  type ClaimerOptions,
} from './orders/claimer.js';
export {
  ORDER_PARTITIONS,
  checkIdempotencyKey,
  computePartition,
  formatOrderKey,
  formatStreamName,
  parseKeyTime,
  type KeyCheckResult,
} from './orders/keys.js';
export { createClaimTable, type ClaimTable, type ClaimedOrder } from './orders/claim-table.js';
export {
  orderAnswerSchema,
  orderBatchSchema,
  orderEntrySchema,
  type OrderAnswer,
  type OrderBatch,
  type OrderEntry,
} from './orders/schemas.js';
export {
  authorizeCall,
  type AllowedCall,
  type AuthorizationRequest,
  type RefusedCall,
} from './routing/authorize.js';
export {
  targetChoiceDefaults,
  chooseTarget,
  computeTargetLoad,
  type Locality,
  type TargetCandidate,
  type TargetChoice,
  type TargetChoiceOptions,
} from './routing/target-choice.js';
export {
  circuitBreakerDefaults,
  createCircuitBreaker,
  type CircuitBreaker,
  type CircuitBreakerOptions,
  type CircuitState,
} from './routing/circuit-breaker.js';
export {
  combineOutcomes,
  tryTakeRetry,
  type AttemptResult,
  type Outcome,
  type RetryContext,
} from './routing/outcome.js';
export {
  createRetryBudget,
  retryBudgetDefaults,
  type RetryBudget,
  type RetryBudgetOptions,
} from './routing/retry-budget.js';
export {
  createTargetTable,
  type AttemptHealth,
  type LoadReport,
  type TargetTable,
  type TargetTableOptions,
} from './routing/target-table.js';
export { computeDigest, computeHash32, formatCanonicalJson } from './shared/canonical.js';
export type { Clock, Random } from './shared/clock.js';
export { FigshedError, InvariantError, assertInvariant } from './shared/errors.js';
export { chooseByRendezvousHash } from './shared/rendezvous.js';
