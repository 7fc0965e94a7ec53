import * as runtime from '@figshed/runtime';
import * as undici from 'undici';
import * as dispatchCall from '../calls/dispatch-call.js';
import * as headers from '../calls/headers.js';
import type * as types from '../calls/types.js';

/** Why a call to the target failed; `mismatched`: the response has another request's ID. */
export type TargetFailure =
  'refused-by-target' | 'not-connected' | 'mismatched' | 'timeout' | 'lost';

export interface TargetHandler {
  onHead(head: types.ResponseHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: TargetFailure): void;
}

export interface TargetClient {
  send(request: types.AttemptRequest, remainingMs: number, handler: TargetHandler): types.Attempt;
  /** Closes each connection after its last response. */
  close(): void;
  /** Closes the connections at once; calls in flight fail. */
  destroy(): void;
}

const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;
const timeoutCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

function classifyError(error: Error): TargetFailure {
  if (runtime.isConnectFailure(error)) return 'not-connected';
  return timeoutCodes.has(runtime.getErrorCode(error)) ? 'timeout' : 'lost';
}

class TargetCall extends dispatchCall.DispatchCall {
  private readonly attemptId: string;

  private readonly handler: TargetHandler;

  public constructor(attemptId: string, handler: TargetHandler) {
    super(handler);
    this.attemptId = attemptId;
    this.handler = handler;
  }

  protected override handleHead(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    received: types.Headers,
  ): void {
    if (headers.readHeader(received, headers.headerNames.targetNotRun) === 'true') {
      this.fail('refused-by-target');
      return;
    }
    const echoedId = headers.readHeader(received, headers.headerNames.requestId);
    if (echoedId && echoedId !== this.attemptId) {
      this.fail('mismatched');
      controller.abort(new Error('response carries the ID of another request'));
      return;
    }
    this.handler.onHead({ status, headers: received });
  }

  public override onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail(classifyError(error));
  }

  private fail(failure: TargetFailure): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.handler.onFailure(failure);
  }
}

/**
 * Creates a client for a target with at most `connections` open connections.
 *
 * @example
 * const client = createTargetClient('http://127.0.0.1:8080', 100);
 */
export function createTargetClient(origin: string, connections: number): TargetClient {
  const pool = new undici.Pool(origin, {
    connections,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  return {
    send(request, remainingMs, handler) {
      const call = new TargetCall(request.attemptId, handler);
      pool.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: {
            ...request.headers,
            [headers.headerNames.requestId]: request.attemptId,
            [headers.headerNames.requestTimeout]: String(Math.floor(remainingMs)),
            [headers.headerNames.customer]: request.customer,
          },
          body: request.body ?? null,
          headersTimeout: remainingMs,
          bodyTimeout: remainingMs,
        },
        call,
      );
      return call;
    },
    close() {
      pool.close().catch(() => undefined);
    },
    destroy() {
      pool.destroy().catch(() => undefined);
    },
  };
}
