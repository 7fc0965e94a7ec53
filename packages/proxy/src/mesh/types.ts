/** Interfaces between the route mesh and the platform that it runs on. */
import type * as mesh from '@figshed/core/mesh';
import type * as core from '@figshed/core';
import type * as configurationCodec from './configuration-codec.js';
import type * as requestBody from './request-body.js';
import type * as upstreamResponse from './upstream-response.js';

/** Configuration that was fetched from a peer; `bytes` is the size of the response's body. */
export interface FetchedConfiguration {
  config: mesh.MeshConfig;
  form: configurationCodec.ConfigurationForm;
  bytes: number;
}

export interface ConfigurationSource {
  /**
   * Long-polls for configurations newer than the last read, newest last; empty if there are none
   * within `waitMs`.
   *
   * @throws Error with its cause if the source does not respond or refuses the request.
   */
  read(waitMs: number, signal: AbortSignal): Promise<mesh.MeshConfig[]>;
}

/** Orders of the operator to move calls to targets of another version. */
export interface RolloutOrders {
  /**
   * Calls the listener with each order that is read, also if it was read before. `isNew` is true if the
   * order was written while this process followed the source, so that its time has just begun.
   */
  onOrder(listener: (order: mesh.RolloutOrder, isNew: boolean) => void): void;
}

export type RolloutStatus = 'running' | 'completed' | 'rolled-back';

/** Store in which the operator reads how a roll-out stands. */
export interface RolloutStatuses {
  /** Returns the newest status of a service; undefined if there is none. */
  read(service: string): Promise<{ status: RolloutStatus; targetVersion: string } | undefined>;
  write(service: string, status: RolloutStatus, targetVersion: string): Promise<void>;
}

/** Registry in which running processes register, so that new ones find them. */
export interface HostRegistry {
  register(endpoint: core.Endpoint): Promise<void>;
  /** Lists the registered processes; some of them may have stopped. */
  list(): Promise<core.Endpoint[]>;
  deregister(): Promise<void>;
  /** Writes this process's last registration or deregistration again, for a registry that lost it. */
  renew(): Promise<void>;
}

/**
 * Epoch of the data behind the configuration source and the host registry. It rises when they have
 * lost what they had acknowledged.
 */
export interface SourceEpoch {
  /** Returns the highest epoch received; undefined before the first. */
  get(): number | undefined;
  /** Calls the listener at each change; `before` is undefined for the first epoch. */
  onChange(listener: (epoch: number, before: number | undefined) => void): void;
}

/** Parsed message of a target to its proxy; `unreadable` and `unknown-path` are rejected. */
export type TargetMessage =
  | { type: 'announce'; announcement: mesh.TargetAnnouncement; address: string }
  | { type: 'deregister'; id: string; bornAt: number | undefined }
  | { type: 'unreadable'; finding: string }
  | { type: 'unknown-path' };

/** Parser of the messages by which targets announce themselves to their proxy. */
export interface AnnouncementParser {
  parse(method: string, path: string, body: string): TargetMessage;
}

/** What a target says of itself in the head of a response. */
export interface TargetNotice {
  /** Calls per second that it takes from all hosts; undefined while it states no limit. */
  callsPerSecond: number | 'unreadable' | undefined;
  /** True once it is about to leave; it must not be sent further calls. */
  isLeaving: boolean;
}

/** Lower-case names of the headers that callers and targets use, and the readiness path. */
export interface CallProtocol {
  /** Carries the ID of one attempt of a caller; targets echo it in the response. */
  callIdHeader: string;
  /** Milliseconds that the caller waits, or that the target may take. */
  deadlineHeader: string;
  /** Carries a signature that only targets add to their responses. */
  signatureHeader: string;
  /** Carries the ID of the only target instance that may run the request. */
  expectedInstanceHeader: string;
  /** Carries the ID of the target instance in the response of its health path. */
  instanceIdHeader: string;
  /** Marks the response of a target that did not run the request. */
  notExecutedHeader: string;
  /** Carries the service of the host where the call began. */
  callerServiceHeader: string;
  /** Carries the name of the caller's account to the target. */
  accountHeader: string;
  /** Carries `keyScheme`, a space and the caller's API key. */
  keyHeader: string;
  keyScheme: string;
  readyPath: string;
  readTargetNotice(headers: NodeJS.Dict<string | string[]>): TargetNotice;
}

export interface PlatformAdapter {
  configurationSource: ConfigurationSource;
  hostRegistry: HostRegistry;
  sourceEpoch: SourceEpoch;
  rolloutOrders: RolloutOrders;
  rolloutStatuses: RolloutStatuses;
  announcementParser: AnnouncementParser;
  protocol: CallProtocol;
}

/** One attempt of a call, as passed to the target's proxy. */
export interface Attempt {
  callId: string;
  /** Name of the client account; undefined for a call without one. */
  account?: string | undefined;
  service: string;
  /** Name of the route; calls of one route have similar service times. */
  route: string;
  method: string;
  path: string;
  /** Alternating names and values, without hop-by-hop headers. */
  headers: string[];
  isRepeatable: boolean;
  /** Size of the body; undefined for a streamed one without a stated length. */
  bodyBytes: number | undefined;
  /** True if the body is streamed instead of buffered. */
  isStreamed: boolean;
  /**
   * Priority; lower is more urgent. The ranks of routes start at 0; nested calls, which the target
   * makes while it runs another call, have a negative rank.
   */
  rank: number;
  /** True for a late call, whose response may come after its latency objective. */
  mayBeLate: boolean;
  /** True if the caller returns after this call was rejected. */
  wasRejected?: boolean | undefined;
  /** True if its request is quarantined and tried once more. */
  isTrial: boolean;
  /** Monotonic times in milliseconds. */
  objectiveAt: number;
  deadlineAt: number;
}

/** Expected times to send the response of an attempt over the link, in milliseconds. */
export interface Delivery {
  /** Time until its transmission starts, which may be shorter at another host. */
  waitMs: number;
  /** Time of its transmission and, before it, of a large request body. */
  transmissionMs: number;
}

/** Callbacks of an attempt; exactly one of the last three ends it, unless it is cancelled. */
export interface AttemptHandler {
  /**
   * Resolves to the body, or undefined if the attempt was cancelled or the body could not be read.
   * Called once a slot is free; for a repeatable attempt at another host, at once.
   */
  provideBody(): Promise<requestBody.RequestBody | undefined>;
  onResponse(upstream: upstreamResponse.UpstreamResponse): void;
  onRefused(reason: mesh.RefusalReason, retryAfterMs: number): void;
  /** `crashedTarget` is the incarnation of the target, if it has crashed while the attempt ran. */
  onBroken(cause: string, crashedTarget?: string): void;
}

export interface CancellableAttempt {
  /**
   * Prevents the start of the attempt, or aborts a started one if it is repeatable. Returns true if
   * it is certain that the attempt has not run and will not run.
   */
  cancel(): boolean;
}
