import type * as core from '@figshed/core';

/** Headers in the form that Node's HTTP modules use. */
export type Headers = Record<string, string | string[] | undefined>;

/** One attempt to run a call at one target, as sent to the proxy of that target. */
export interface AttemptRequest {
  /** ID of this attempt, unique in the fleet. */
  attemptId: string;
  /** Instance ID of the process that may run the attempt; a restarted process has another one. */
  instance: string;
  customer: string;
  service: string;
  weight: number;
  method: string;
  /** Path with its query. */
  path: string;
  headers: Headers;
  body: Buffer | undefined;
  /** Deadline on the monotonic clock of this process, in milliseconds. */
  deadlineAt: number;
  /** Digest of the request, which identifies requests that crash targets. */
  fingerprint: string;
  /** Claim under which an order, a call that is not idempotent, runs. */
  order: OrderClaim | undefined;
}

/** A granted claim of an order. */
export interface OrderClaim {
  orderKey: string;
  claimId: string;
}

export interface ResponseHead {
  status: number;
  headers: Headers;
}

/** Handles the response of an attempt; the last event is exactly one of `onEnd` and `onFailure`. */
export interface AttemptHandler {
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(result: core.AttemptResult): void;
  onLoad(load: core.LoadReport): void;
}

/** Controls an attempt in flight. */
export interface Attempt {
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** State of an attempt as recorded by the proxy of its target. */
export type AttemptState =
  | { type: 'not-run' }
  | { type: 'running' }
  | { type: 'done'; answer: core.OrderAnswer | null }
  | { type: 'unknown' };
