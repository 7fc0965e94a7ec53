/** Adapters for the core: settings files, logging, metrics, clients, peer servers and clocks. */
export { createByteCollector, type ByteCollector } from './byte-collector.js';
export { createSeededRandom, systemClock } from './clock.js';
export { isConnectFailure, getErrorCode } from './connect-failure.js';
export {
  validateValue,
  computePosition,
  findPosition,
  parseDocument,
  type ParsedDocument,
} from './documents.js';
export {
  DocumentError,
  InvalidMessageError,
  LogResultUnknownError,
  LogUnavailableError,
  PeerError,
  formatFinding,
  type FileFinding,
} from './errors.js';
export {
  createLogClient,
  readAllRecords,
  type LogClient,
  type LogClientOptions,
  type ReadResponse,
} from './log-client.js';
export {
  createLogger,
  formatLogLine,
  formatLogValue,
  type LogFields,
  type LogLevel,
  type Logger,
} from './logger.js';
export { createMetrics, type Metrics, type StatsdAddress } from './metrics.js';
export { decodeMessage } from './message-codec.js';
export { createPeerClient, type PeerEndpoint, type PeerClient } from './peer-client.js';
export { createPeerServer, type PeerMethod, type PeerServer } from './peer-server.js';
