/** Sends attempts to the proxies beside other targets, over connections that can be replaced. */
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as undici from 'undici';
import type * as context from '../context.js';
import * as codec from './attempt-codec.js';
import * as dispatchCall from './dispatch-call.js';
import * as headers from './headers.js';
import type * as types from './types.js';

/** Connections to the other proxies' targets. */
export interface RemoteAttempts {
  run(
    member: core.Member,
    request: types.AttemptRequest,
    handler: types.AttemptHandler,
  ): types.Attempt;
  /** Drops the connections to a member, because one of them went silent. */
  replaceConnections(member: core.Member): void;
  close(): void;
}

const names = headers.headerNames;
const MAX_CONNECTIONS_PER_PEER = 64;
const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Time beyond the deadline after which a hop is given up even if the deadline is not kept. */
const DEADLINE_MARGIN_MS = 50;

function classify(error: Error): core.AttemptResult {
  if (runtime.isConnectFailure(error)) return { outcome: 'not-run', reason: 'proxy-not-connected' };
  const code = runtime.readErrorCode(error);
  const isTimeout = code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT';
  return { outcome: 'unknown', reason: isTimeout ? 'timeout' : 'connection-lost' };
}

function readRefusal(received: types.Headers): core.AttemptResult | undefined {
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

  private readonly onCrossed: () => void;

  public constructor(attemptId: string, handler: types.AttemptHandler, onCrossed: () => void) {
    super(handler);
    this.attemptId = attemptId;
    this.handler = handler;
    this.onCrossed = onCrossed;
  }

  public override onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    received: types.Headers,
  ): void {
    if (headers.readHeader(received, names.attempt) !== this.attemptId) {
      this.onCrossed();
      this.fail({ outcome: 'unknown', reason: 'crossed-answer' });
      controller.abort(new Error('answer belongs to another attempt'));
      return;
    }
    const load = codec.parseLoad(headers.readHeader(received, names.load));
    if (load) this.handler.onLoad(load);
    const refusal = readRefusal(received);
    if (refusal) this.fail(refusal);
    else this.handler.onHead({ status, headers: received });
  }

  public override onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail(classify(error));
  }

  private fail(result: core.AttemptResult): void {
    if (this.isOver) return;
    this.isOver = true;
    this.handler.onFailure(result);
  }
}

/**
 * Creates the connections; each member's are opened when first needed.
 *
 * @example
 * const remote = createRemoteAttempts(context);
 */
export function createRemoteAttempts(ctx: context.Context): RemoteAttempts {
  const { clock, metrics, settings } = ctx;
  const pools = new Map<string, { pool: undici.Pool; instance: string }>();

  const destroy = (id: string): void => {
    const known = pools.get(id);
    pools.delete(id);
    known?.pool.destroy().catch(() => undefined);
  };

  const getPool = ({ id, info }: core.Member): undici.Pool => {
    const known = pools.get(id);
    if (known?.instance === info.instance) return known.pool;
    destroy(id);
    const { address, port } = ctx.locate(info);
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
          headers: codec.writeAttempt(request, settings.fleetKey, now),
          body: request.body ?? null,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        },
        call,
      );
      return call;
    },
    replaceConnections: ({ id }) => destroy(id),
    close: () => [...pools.keys()].forEach(destroy),
  };
}
