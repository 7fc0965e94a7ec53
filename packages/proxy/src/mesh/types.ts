/** Seams between the route mesh and whatever platform it runs on. */
import type * as mesh from '@figshed/core/mesh';
import type * as core from '@figshed/core';
import type * as answerModule from './answer.js';

/** Where configurations come from. */
export interface ConfigurationSource {
  /**
   * Reads what is newer than the last read, newest last; empty when nothing came within `waitMs`.
   *
   * @throws an Error with its cause when the source does not answer or refuses.
   */
  read(waitMs: number, signal: AbortSignal): Promise<mesh.MeshConfig[]>;
}

/** How a new process finds others. */
export interface FirstContact {
  /** Makes this process known, until `withdraw`. */
  announce(endpoint: core.Endpoint): Promise<void>;
  /** Lists processes that made themselves known; some may be gone. */
  list(): Promise<core.Endpoint[]>;
  withdraw(): Promise<void>;
}

/** What a target's own message says. */
export type TargetMessage =
  | { type: 'announce'; announcement: mesh.TargetAnnouncement; address: string }
  | { type: 'deregister'; id: string; bornAt: number | undefined }
  | { type: 'unreadable'; finding: string }
  | { type: 'unknown-path' };

/** How targets announce themselves to the proxy beside them. */
export interface TargetAnnouncements {
  read(method: string, path: string, body: string): TargetMessage;
}

/** Header names of callers and targets, in lower case. */
export interface CallProtocol {
  /** Identity of one try of a caller; targets echo it. */
  callId: string;
  /** Time that the caller will wait, or that the target has, in milliseconds. */
  deadlineMs: string;
  /** Proof that an answer comes from a target. */
  signature: string;
  /** Names the only instance that may run the request. */
  expectInstance: string;
  /** Marks an answer of a target that did not run the request. */
  notRun: string;
  /** Service of the host where the call began. */
  callerService: string;
  /** Path at which readiness is asked. */
  readyPath: string;
}

/** Everything that a platform provides. */
export interface PlatformAdapter {
  configuration: ConfigurationSource;
  firstContact: FirstContact;
  announcements: TargetAnnouncements;
  protocol: CallProtocol;
}

/** One attempt of a call as the proxy beside the target gets it. */
export interface Attempt {
  callId: string;
  service: string;
  /** Name of the route; calls of one route take about the same time. */
  route: string;
  method: string;
  path: string;
  /** Names and values by turns, without those that concern one connection. */
  headers: string[];
  isRepeatable: boolean;
  /** 0 is the most urgent; calls made by targets have a negative rank. */
  rank: number;
  /** True when it may be answered after its objective. */
  mayBeLate: boolean;
  /** Monotonic times in milliseconds. */
  objectiveAt: number;
  deadlineAt: number;
}

/** Hears what becomes of an attempt; exactly one of the last three ends it. */
export interface AttemptHandler {
  /** A slot is taken for the attempt; answer with the body, or undefined if it is given up. */
  takeBody(): Promise<Buffer | undefined>;
  onHead(answer: answerModule.Answer): void;
  onRefused(reason: mesh.RefusalReason, retryAfterMs: number): void;
  onBroken(cause: string): void;
}

/** An attempt under way. */
export interface OpenAttempt {
  /**
   * Gives the attempt up: it does not begin any more, and ends where it may be repeated. Returns
   * true when it is certain that it has not run and never will.
   */
  cancel(): boolean;
}
