/**
 * Decision logic of the route mesh: routing, traffic splitting, load balancing, admission control
 * and the state machine of a call.
 */
export {
  compileAccounts,
  identifyCaller,
  type AccountTable,
  type CallerVerdict,
} from './accounts.js';
export {
  hedgeDelayDefaults,
  createHedgeDelayEstimator,
  type HedgeDelayEstimator,
  type HedgeDelayOptions,
} from './hedge-delay.js';
export { checkMeshConfig, listMeshDifferences } from './check-config.js';
export { createClockCheck, type ClockCheck } from './clock-check.js';
export { computeCallTimes, type CallTimes } from './call-times.js';
export {
  createCallStateMachine,
  type CallEffect,
  type CallEvent,
  type CallStateMachine,
  type CallPolicy,
} from './call-machine.js';
export {
  applyDelta,
  computeConfigDigest,
  computeDelta,
  measureConfig,
  measureDelta,
  type ConfigDelta,
  type ListDelta,
} from './config-delta.js';
export {
  configHistoryDefaults,
  createConfigHistory,
  type ConfigHistory,
  type ConfigHistoryOptions,
  type ConfigId,
  type ConfigSnapshot,
} from './config-history.js';
export { BYTES_PER_KILOBYTE } from './constants.js';
export {
  createLinkPacer,
  linkPacerDefaults,
  type LinkPacer,
  type LinkPacerOptions,
} from './link-pacer.js';
export { createLinkQueue, type LinkQueue, type Transfer } from './link-queue.js';
export { createFairTurns, type FairTurns, type TurnHolder } from './fair-turns.js';
export {
  createLateShare,
  lateShareDefaults,
  type LateShare,
  type LateShareOptions,
} from './late-share.js';
export { createResponseSizes, type ResponseSizes } from './response-sizes.js';
export {
  createAckTimeout,
  ackTimeoutDefaults,
  type AckTimeout,
  type AckTimeoutOptions,
} from './ack-timeout.js';
export {
  choosePlacement,
  computeExpectedCompletionMs,
  computeUsualLoad,
  hasFreeSlot,
  placementDefaults,
  type Placement,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementOptions,
  type Locality,
  type UsualLoad,
} from './placement.js';
export {
  createRejectedCalls,
  rejectedCallsDefaults,
  type RejectedCall,
  type RejectedCalls,
  type RejectedCallsOptions,
} from './rejected-calls.js';
export {
  createRemainingTimes,
  remainingTimeDefaults,
  type RemainingTimeOptions,
  type RemainingTimes,
} from './remaining-time.js';
export { rankReaders, type ReaderCandidate } from './reader-ranking.js';
export {
  computeBinomialTail,
  judgeCanary,
  rolloutTestDefaults,
  sumRouteCounts,
  SLOW_FACTOR,
  type RolloutFinding,
  type RolloutTestOptions,
  type RolloutVerdict,
  type RouteCounts,
} from './rollout.js';
export { createOutcomeCounts, type OutcomeCounts } from './rollout-counts.js';
export {
  chooseCanaryHosts,
  computeExtraCallRate,
  createCanaryShare,
  type CanaryShare,
  type CanaryShareOptions,
} from './rollout-share.js';
export {
  chooseCurrentVersion,
  computeDecisionTimes,
  decidePhase,
  getVersionRole,
  isFinalPhase,
  isNewerOrder,
  mergeRollout,
  rolloutPhases,
  rolloutRecords,
  rolloutTimesDefaults,
  type Rollout,
  type RolloutOrder,
  type RolloutPhase,
  type RolloutRecord,
  type RolloutTimes,
  type ServiceVersions,
  type VersionRole,
  type VersionedTarget,
} from './rollout-state.js';
export { compileRoutes, type RouteTable } from './routes.js';
export {
  createSlotQueue,
  slotQueueDefaults,
  type SlotEffect,
  type SlotLoad,
  type SlotQueue,
  type SlotQueueOptions,
  type SlotRequest,
} from './slot-queue.js';
export {
  createPollSchedule,
  pollScheduleDefaults,
  type PollSchedule,
  type PollScheduleOptions,
  type PollStep,
} from './source-poll-schedule.js';
export {
  createQuotaCoordinator,
  type QuotaCoordinator,
  type QuotaCoordinatorInput,
} from './quota-coordinator.js';
export {
  quotaDefaults,
  type QuotaAnswer,
  type QuotaAsk,
  type QuotaOptions,
  type QuotaReply,
  type QuotaRequest,
  type QuotaStamp,
  type ShareDelegation,
} from './quota-messages.js';
export type { QuotaMembership } from './quota-share.js';
export { MAX_ASKS_PER_REQUEST, type AddressedRequest } from './quota-requests.js';
export { createQuotaSpender, type QuotaSpender, type QuotaSpenderInput } from './quota-spender.js';
export type { QuotaRefusal, QuotaVerdict } from './quota-verdict.js';
export { createStatedRateLimit, type StatedRateLimit } from './stated-rate-limit.js';
export { createTrafficSplitter, type TrafficSplitter } from './traffic-splitter.js';
export {
  createIncarnationCheck,
  type CheckStep,
  type IncarnationCheck,
  type ProbeResult,
} from './incarnation-check.js';
export {
  createTargetGate,
  formatIncarnation,
  parseIncarnation,
  type GateVerdict,
  type Incarnation,
  type OpenTarget,
  type TargetAnnouncement,
  type TargetGate,
} from './target-gate.js';
export {
  createTargetPace,
  targetPaceDefaults,
  type TargetPace,
  type TargetPaceOptions,
} from './target-pace.js';
export {
  decideUnknownRoute,
  unknownRouteDefaults,
  type UnknownRouteOptions,
  type UnknownRouteVerdict,
  type VersionKnowledge,
} from './version-freshness.js';
export {
  createVersionProof,
  versionProofDefaults,
  type VersionProof,
  type VersionProofOptions,
} from './version-proof.js';
export {
  computeWorkKeys,
  createWorkEstimates,
  workEstimateDefaults,
  type WorkEstimateOptions,
  type WorkEstimates,
  type WorkFeatures,
  type WorkKeys,
} from './work-estimates.js';
export type {
  CallerLimits,
  ClientAccount,
  MeshConfig,
  MeshService,
  RefusalReason,
  RoutePart,
  RoutePolicy,
  TargetLoad,
} from './types.js';
