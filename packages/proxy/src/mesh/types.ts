/** Interfaces between the route mesh and the platform that it runs on. */
import type * as mesh from '@figshed/core/mesh';
import type * as core from '@figshed/core';
import type * as upstreamResponse from './upstream-response.js';

/** Source of configurations. */
export interface ConfigurationSource {
  /**
   * Long-polls for configurations newer than the last read, newest last; empty if there are none
   * within `waitMs`.
   *
   * @throws Error with its cause if the source does not respond or refuses the request.
   */
  read(waitMs: number, signal: AbortSignal): Promise<mesh.MeshConfig[]>;
}

/** Discovery of the other processes by a new one. */
export interface HostRegistry {
  /** Registers this process until `withdraw`. */
  register(endpoint: core.Endpoint): Promise<void>;
  /** Lists the registered processes; some of them may have stopped. */
  list(): Promise<core.Endpoint[]>;
  /** Removes the registration of this process. */
  deregister(): Promise<void>;
}

/** Parsed message of a target to its proxy. */
export type TargetMessage =
  | { type: 'announce'; announcement: mesh.TargetAnnouncement; address: string }
  | { type: 'deregister'; id: string; bornAt: number | undefined }
  | { type: 'unreadable'; finding: string }
  | { type: 'unknown-path' };

/** Parser of the messages by which targets announce themselves to their proxy. */
export interface AnnouncementParser {
  parse(method: string, path: string, body: string): TargetMessage;
}

/** Header names, in lower case, and paths of the platform's protocol for callers and targets. */
export interface CallProtocol {
  /** Identifies one call attempt of a caller; targets echo it in the response. */
  callId: string;
  /** How long the caller waits, or how long the target may take, in milliseconds. */
  deadlineMs: string;
  /** Signature that only targets add to their responses. */
  signature: string;
  /** Id of the only target instance that may run the request. */
  expectInstance: string;
  /** Marks the response of a target that did not run the request. */
  notExecuted: string;
  /** Service of the host where the call began. */
  callerService: string;
  /** Path of the readiness endpoint. */
  readyPath: string;
}

/** Everything that a platform provides to a mesh process. */
export interface PlatformAdapter {
  configurationSource: ConfigurationSource;
  hostRegistry: HostRegistry;
  announcementParser: AnnouncementParser;
  protocol: CallProtocol;
}

/** One attempt of a call, as received by the target's proxy. */
export interface Attempt {
  callId: string;
  service: string;
  /** Name of the route; calls of one route have similar service times. */
  route: string;
  method: string;
  path: string;
  /** Alternating names and values, without hop-by-hop headers. */
  headers: string[];
  isRepeatable: boolean;
  /**
   * Priority, lower is more urgent: the ranks of routes start at 0, nested calls have a negative
   * rank.
   */
  rank: number;
  /** True if the call may be answered after its latency objective. */
  mayBeLate: boolean;
  /** Monotonic times in milliseconds. */
  objectiveAt: number;
  deadlineAt: number;
}

/** Callbacks of an attempt; exactly one of the last three ends it, unless it is cancelled. */
export interface AttemptHandler {
  /**
   * Called once a slot is free; resolves to the body, or undefined if the attempt was cancelled.
   */
  provideBody(): Promise<Buffer | undefined>;
  onResponse(upstream: upstreamResponse.UpstreamResponse): void;
  onRefused(reason: mesh.RefusalReason, retryAfterMs: number): void;
  onBroken(cause: string): void;
}

/** An open attempt. */
export interface OpenAttempt {
  /**
   * Cancels the attempt: it is not started any more, and a started one is aborted if it is
   * repeatable. Returns true if it is certain that it has not run and never will.
   */
  cancel(): boolean;
}
