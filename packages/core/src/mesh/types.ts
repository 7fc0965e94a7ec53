/** Words that the parts of the route mesh share. */

/** A part of a route's traffic and the weight of its share. */
export interface RoutePart {
  service: string;
  weight: number;
}

/** What the operator allows and wants of the calls of one route. */
export interface RoutePolicy {
  name: string;
  host: string;
  /** Begins and ends with a slash; the longest one that begins the path is used. */
  pathPrefix: string;
  parts: readonly RoutePart[];
  /** True when a call may run more than once. */
  isRepeatable: boolean;
  /** Longest time that a call may be kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer has its full value, in milliseconds. */
  objectiveMs: number;
  /** 0 is the most urgent. */
  rank: number;
  /** Targets that one call may be sent to at most. */
  maxAttempts: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A service and how its targets are reached. */
export interface MeshService {
  name: string;
  healthPath: string;
  maxConnections: number;
}

/** One version of the mesh configuration, whole. */
export interface MeshConfig {
  version: number;
  routes: readonly RoutePolicy[];
  services: readonly MeshService[];
  limits: CallerLimits;
}

/** Why a call was refused without having run. */
export type RefusalReason =
  | 'full'
  | 'too-late'
  | 'draining'
  | 'stopping'
  | 'target-down'
  | 'wrong-instance'
  | 'target-refused'
  | 'unreachable';

/** What the proxy beside a target says about it, with each answer. */
export interface TargetLoad {
  running: number;
  /** Calls that wait and can still meet their objective. */
  waiting: number;
  /** Calls that wait behind those, and are answered late if at all. */
  late: number;
  slots: number;
  /** Moving mean of the time that the target takes for a call, in milliseconds. */
  serviceMs: number;
  /** Moving share of calls that failed at the target, 0 to 1. */
  failureShare: number;
  /** Time until the large answers that wait for the link of its host have left, in milliseconds. */
  backlogMs: number;
  /** Time of one kilobyte on that link, in milliseconds. */
  kilobyteMs: number;
}
