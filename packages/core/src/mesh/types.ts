/** A service that receives a share of a route's traffic, in proportion to its weight. */
export interface RoutePart {
  service: string;
  weight: number;
}

/** Routing rule, retry policy and latency bounds for the calls of one route. */
export interface RoutePolicy {
  name: string;
  host: string;
  /** Begins and ends with a slash; the longest matching prefix of the path is used. */
  pathPrefix: string;
  parts: readonly RoutePart[];
  /** True when a call is idempotent and may run more than once; false for an order. */
  isRepeatable: boolean;
  timeoutMs: number;
  /** Latency objective: time within which a response has its full value, in milliseconds. */
  objectiveMs: number;
  /** Priority; 0 is the most urgent. */
  rank: number;
  /** Maximum number of targets that may run one call. */
  maxAttempts: number;
  /** True if its calls need no API key; undefined counts as false. */
  isPublic?: boolean | undefined;
}

/** A client account, which callers identify themselves with by an API key. */
export interface ClientAccount {
  name: string;
  /** SHA-256 digests of its API keys, in hexadecimal. */
  keyDigests: readonly string[];
  /** Priority of its calls, which replaces that of the route; undefined if it has none. */
  rank?: number | undefined;
  /** Calls per second over all hosts; 0 for no limit. */
  ratePerSecond: number;
  /** Calls that it may make at once beyond its rate. */
  burst: number;
}

export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

export interface MeshService {
  name: string;
  healthPath: string;
  maxConnections: number;
}

/** One complete version of the mesh configuration. */
export interface MeshConfig {
  version: number;
  routes: readonly RoutePolicy[];
  services: readonly MeshService[];
  limits: CallerLimits;
  /** Accounts that may make calls; undefined if callers need no API keys. */
  accounts?: readonly ClientAccount[] | undefined;
}

/** Reason for which a call was refused without having run. */
export type RefusalReason =
  | 'full'
  | 'too-late'
  | 'draining'
  | 'stopping'
  | 'target-down'
  | 'wrong-instance'
  /** The version of the target may not get the call. */
  | 'excluded-version'
  | 'target-refused'
  | 'quarantined'
  /** The peer's request was not framed as its metadata states. */
  | 'misframed'
  | 'unreachable';

/** Load report of a target, which its proxy attaches to each response. */
export interface TargetLoad {
  running: number;
  /** Queued calls that can still meet their latency objective. */
  waiting: number;
  /** Queued calls that are expected to miss their objective; they run after all others. */
  late: number;
  slots: number;
  /** Exponential moving average of the service time of a call, in milliseconds. */
  serviceMs: number;
  /** Time until the target's own rate limit admits one more call, in milliseconds; 0 without one. */
  startDelayMs: number;
  /** Exponential moving average of the share of calls that failed at the target, 0 to 1. */
  failureShare: number;
  /** Time to transmit the large bodies queued for the link of its host, in milliseconds. */
  backlogMs: number;
  /** Transmission time of one kilobyte on that link, in milliseconds. */
  kilobyteMs: number;
  /** Expected remaining time of the running and `waiting` calls, in milliseconds of slots. */
  remainingMs: number;
  /** The same for the `late` calls. */
  lateRemainingMs: number;
  /**
   * Time that the target takes for the mean work of a call of its service, in milliseconds: the inverse
   * of its speed. 0 from processes of older versions, which do not report this and the two above.
   */
  unitMs: number;
}
