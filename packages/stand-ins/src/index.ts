/** Stand-ins for external systems that the tests of other packages use. */
export { sendCall, type CallOptions, type CallResult } from './mesh/mesh-caller.js';
export {
  startMeshFleet,
  type MeshFleetOptions,
  type MeshHostOptions,
  type MeshFleet,
  type MeshHost,
  type MeshPorts,
} from './mesh/mesh-fleet.js';
export type { HealthBehaviour } from './mesh/target-health.js';
export { startMeshTarget, type MeshTarget, type CallRun } from './mesh/mesh-target.js';
export { createMeshConfig, type MeshConfigOptions } from './mesh/mesh-config.js';
export { resetSocket } from './reset-socket.js';
export { startFaultLink, type FaultLink, type LinkFaults } from './mesh-soak/fault-link.js';
export { startRawPeer, type RawPeer } from './mesh/raw-peer.js';
export {
  createEndlessResponder,
  createRefusalRepeater,
  createTextResponder,
  type EndlessOptions,
  type RawResponder,
  type RefusalOptions,
  createCutResponder,
  type CutKind,
} from './mesh/raw-responses.js';
export { encodeKeyedRecord, appendConfig, appendOperatorRecord } from './store/keyed-record.js';
export { startStoreServer, type StoreFaults, type StoreServer } from './store/store-server.js';
