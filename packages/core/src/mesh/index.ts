/**
 * Decision logic of the route mesh: routing, traffic splitting, load balancing, admission control
 * and the state machine of a call.
 */
export {
  answerTimesDefaults,
  createAnswerTimes,
  type AnswerTimes,
  type AnswerTimesOptions,
} from './hedge-delay.js';
export {
  createCallMachine,
  type CallEffect,
  type CallEvent,
  type CallMachine,
  type CallPolicy,
} from './call-machine.js';
export { BYTES_PER_KILOBYTE } from './constants.js';
export {
  createLinkPacer,
  linkPacerDefaults,
  type LinkPacer,
  type LinkPacerOptions,
} from './link-pacer.js';
export { createMeanSizes, type MeanSizes } from './response-sizes.js';
export {
  createPatienceEstimate,
  patienceDefaults,
  type PatienceEstimate,
  type PatienceOptions,
} from './ack-timeout.js';
export {
  choosePlacement,
  computeExpectedCompletionMs,
  hasFreeSlot,
  placementDefaults,
  type Placement,
  type PlacementCandidate,
  type PlacementOptions,
  type Reach,
} from './placement.js';
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
  createSourceWatch,
  sourceWatchDefaults,
  type SourceWatch,
  type SourceWatchOptions,
  type WatchStep,
} from './source-poll-schedule.js';
export { createSplitter, type Splitter } from './traffic-splitter.js';
export {
  createTargetGate,
  type GateVerdict,
  type OpenTarget,
  type TargetAnnouncement,
  type TargetGate,
} from './target-gate.js';
export type {
  CallerLimits,
  MeshConfig,
  MeshService,
  RefusalReason,
  RoutePart,
  RoutePolicy,
  TargetLoad,
} from './types.js';
