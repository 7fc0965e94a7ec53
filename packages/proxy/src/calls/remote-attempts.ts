import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as undici from 'undici';
import type * as context from '../context.js';
import * as codec from './attempt-codec.js';
import * as dispatchCall from './dispatch-call.js';
import * as headers from './headers.js';
import type * as types from './types.js';

/** Sends attempts to the proxies of other hosts, over one connection pool per proxy. */
export interface RemoteAttempts {
  run(
    member: core.Member,
    request: types.AttemptRequest,
    handler: types.AttemptHandler,
  ): types.Attempt;
  /** Closes all connections to a member, for when one of them is half-open. */
  replaceConnections(member: core.Member): void;
  close(): void;
}

const names = headers.headerNames;
const MAX_CONNECTIONS_PER_PEER = 64;
const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Time past the deadline after which a request times out if the remote proxy has not ended it. */
const DEADLINE_MARGIN_MS = 50;

function classifyError(error: Error): core.AttemptResult {
  if (runtime.isConnectFailure(error)) return { outcome: 'not-run', reason: 'proxy-not-connected' };
  const code = runtime.getErrorCode(error);
  const isTimeout = code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT';
  return { outcome: 'unknown', reason: isTimeout ? 'timeout' : 'connection-lost' };
}

function readFailure(received: types.Headers): core.AttemptResult | undefined {
  const outcome = headers.readHeader(received, names.outcome);
  if (outcome === 'done') return undefined;
  return {
    outcome: outcome === 'not-run' ? 'not-run' : 'unknown',
    reason: headers.readHeader(received, names.reason) ?? 'no-outcome',
  };
}

class RemoteCall extends dispatchCall.DispatchCall {
  private readonly attemptId: string;

  private readonly handler: types.AttemptHandler;

  private readonly onIdMismatch: () => void;

  public constructor(attemptId: string, handler: types.AttemptHandler, onIdMismatch: () => void) {
    super(handler);
    this.attemptId = attemptId;
    this.handler = handler;
    this.onIdMismatch = onIdMismatch;
  }

  protected override handleHead(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    received: types.Headers,
  ): void {
    if (headers.readHeader(received, names.attempt) !== this.attemptId) {
      this.onIdMismatch();
      this.fail({ outcome: 'unknown', reason: 'crossed-answer' });
      controller.abort(new Error('response carries the ID of another attempt'));
      return;
    }
    const load = codec.parseLoad(headers.readHeader(received, names.load));
    if (load) this.handler.onLoad(load);
    const failure = readFailure(received);
    if (failure) this.fail(failure);
    else this.handler.onHead({ status, headers: received });
  }

  public override onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail(classifyError(error));
  }

  private fail(result: core.AttemptResult): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.handler.onFailure(result);
  }
}

/**
 * Creates the client. The pool of a member is created when first needed, and again after the member
 * restarted.
 *
 * @example
 * const remote = createRemoteAttempts(context);
 */
export function createRemoteAttempts(ctx: context.Context): RemoteAttempts {
  const { clock, metrics, settings } = ctx;
  const pools = new Map<string, { pool: undici.Pool; instance: string }>();

  const destroyPool = (id: string): void => {
    const entry = pools.get(id);
    pools.delete(id);
    entry?.pool.destroy().catch(() => undefined);
  };

  const getPool = ({ id, info }: core.Member): undici.Pool => {
    const existing = pools.get(id);
    if (existing?.instance === info.instance) return existing.pool;
    destroyPool(id);
    const { address, port } = ctx.resolveEndpoint(info);
    const pool = new undici.Pool(`http://${address}:${port}`, {
      connections: MAX_CONNECTIONS_PER_PEER,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    pools.set(id, { pool, instance: info.instance });
    return pool;
  };

  return {
    run(member, request, handler) {
      const now = clock.monotonic();
      const timeoutMs = Math.max(1, request.deadlineAt - now) + DEADLINE_MARGIN_MS;
      const call = new RemoteCall(request.attemptId, handler, () =>
        metrics.increment('ingress.crossed-answers'),
      );
      getPool(member).dispatch(
        {
          method: request.method,
          path: request.path,
          headers: codec.formatAttemptHeaders(request, settings.fleetKey, now),
          body: request.body ?? null,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        },
        call,
      );
      return call;
    },
    replaceConnections: ({ id }) => destroyPool(id),
    close: () => [...pools.keys()].forEach(destroyPool),
  };
}
