import type * as mesh from '@figshed/core/mesh';
import type * as callAttempts from './call-attempts.js';
import type * as requestBodies from './request-body.js';
import type * as upstreamResponse from './upstream-response.js';

/** A call as received from the caller. */
export interface Call {
  callId: string;
  /** Account that the caller has identified itself with; undefined without one. */
  account: mesh.ClientAccount | undefined;
  route: mesh.RoutePolicy;
  /** Version of the configuration that the route comes from. */
  version: number;
  method: string;
  path: string;
  headers: string[];
  body: requestBodies.RequestBody;
  /** True if the target on this host makes this call as part of another call that it is running. */
  isNested: boolean;
  /** Monotonic times in milliseconds. */
  receivedAt: number;
  deadlineAt: number;
}

/**
 * Writes the response of a call, by one of `deliver`, `stream` and `refuse`. `abort` is called if
 * the caller disconnects while no attempt is open.
 */
export interface CallResponder {
  deliver(response: callAttempts.BufferedResponse): void;
  /** Streams a response that is too large to buffer. */
  stream(upstream: upstreamResponse.UpstreamResponse, receivedChunks: readonly Buffer[]): void;
  refuse(status: number, retryAfterMs: number): void;
  abort(): void;
  /** Responds with an error, or aborts if a part of another response has been sent. */
  fail(): void;
  /** Returns false once the caller has closed its connection, possibly before it is closed here. */
  isConnected(): boolean;
}
