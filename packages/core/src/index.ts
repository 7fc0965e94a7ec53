/** Decision logic of figshed; no module accesses a clock, a random source or a socket itself. */
export {
  admissionDefaults,
  createAdmission,
  type AdmissionController,
  type AdmissionEffect,
  type AdmissionOptions,
  type AdmissionRequest,
  type ShedReason,
} from './admission/admission.js';
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
  createState,
  foldRecord,
  readSnapshot,
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
export type { FetchAnswer, FetchRequest, ReplicaEffect } from './distribution/types.js';
export {
  createQuarantine,
  quarantineDefaults,
  type Death,
  type Quarantine,
  type QuarantineOptions,
} from './health/quarantine.js';
export { createLending, getShare, type Lending, type ShareTable } from './limits/granted-leases.js';
export {
  createPool,
  type CustomerRateLimit,
  type LeasePoolOptions,
  type Pool,
  type ReceivedLease,
} from './limits/lease-pool.js';
export { createTokenBucket, type TokenBucket } from './limits/token-bucket.js';
export {
  createWallet,
  walletDefaults,
  type TokenCacheOptions,
  type Wallet,
} from './limits/token-cache.js';
export { computeMembersDigest, formatRecord } from './membership/digest.js';
export { membershipDefaults } from './membership/defaults.js';
export {
  createMembership,
  type Membership,
  type MembershipInput,
} from './membership/membership.js';
export { isNewer } from './membership/precedence.js';
export type {
  ConfigMark,
  Endpoint,
  GossipMessage,
  Member,
  MemberInfo,
  MemberStatus,
  MembershipEffect,
  MembershipOptions,
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
  checkKey,
  computePartition,
  formatOrderKey,
  formatStream,
  parseKeyTime,
  type KeyVerdict,
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
  choiceDefaults,
  chooseTarget,
  computeLoad,
  type Distance,
  type TargetCandidate,
  type TargetChoice,
  type TargetChoiceOptions,
} from './routing/target-choice.js';
export {
  circuitDefaults,
  createCircuit,
  type Circuit,
  type CircuitOptions,
  type CircuitState,
} from './routing/circuit-breaker.js';
export {
  combineOutcomes,
  mayRetry,
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
export { computeDigest, computeHash32, formatCanonical } from './shared/canonical.js';
export type { Clock, Random } from './shared/clock.js';
export { FigshedError, InvariantError, checkInvariant } from './shared/errors.js';
export { chooseHolders } from './shared/rendezvous.js';
