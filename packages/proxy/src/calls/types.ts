/** One attempt of a call at one target, and the answer that it brings. */
import type * as core from '@figshed/core';

/** Headers as Node gives and takes them. */
export type Headers = Record<string, string | string[] | undefined>;

/** An attempt, as the proxy beside the target sees it. */
export interface AttemptRequest {
  /** Identity of this attempt, unique in the fleet. */
  attemptId: string;
  /** Process that the attempt is meant for. */
  instance: string;
  customer: string;
  service: string;
  weight: number;
  method: string;
  /** Path with its query. */
  path: string;
  headers: Headers;
  body: Buffer | undefined;
  /** Monotonic time of this process, in milliseconds. */
  deadlineAt: number;
  /** Digest of the request, by which one that crashes targets is known again. */
  fingerprint: string;
  /** The claim under which an order runs. */
  order: OrderClaim | undefined;
}

/** A granted claim. */
export interface OrderClaim {
  orderKey: string;
  claimId: string;
}

/** First part of a target's answer. */
export interface AnswerHead {
  status: number;
  headers: Headers;
}

/** Takes the answer of an attempt; exactly one of `onEnd` and `onFailure` comes last. */
export interface AttemptHandler {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(result: core.AttemptResult): void;
  onLoad(load: core.LoadReport): void;
}

/** Controls an attempt under way. */
export interface Attempt {
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** What the proxy beside a target knows of an attempt. */
export type AttemptState =
  | { type: 'not-run' }
  | { type: 'running' }
  | { type: 'done'; answer: core.OrderAnswer | null }
  | { type: 'unknown' };
