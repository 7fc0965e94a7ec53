/** Public API of the route mesh for platform adapters. */
export { createConfigurationTask, type ConfigurationTask } from './configuration-task.js';
export type { MeshContext } from './context.js';
export { createMeshMetrics, type MeshMetrics } from './metrics.js';
export { createMeshProcess, type MeshProcess } from './process.js';
export { watchHeadBytes } from './response-bytes.js';
export { meshSettingsSchema, type MeshSettings } from './settings.js';
export type {
  CallProtocol,
  ConfigurationSource,
  HostRegistry,
  PlatformAdapter,
  RolloutOrders,
  RolloutStatus,
  RolloutStatuses,
  AnnouncementParser,
  TargetMessage,
  TargetNotice,
} from './types.js';
