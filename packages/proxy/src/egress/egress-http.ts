/** Receives attempts from other proxies over HTTP and runs them at the target of this host. */
import type * as http from 'node:http';
import type * as byteBudgets from '../byte-budget.js';
import * as codec from '../calls/attempt-codec.js';
import * as headers from '../calls/headers.js';
import * as heldBody from '../calls/held-body.js';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import * as eventLoop from '../event-loop.js';
import type * as targetEgress from './egress.js';

const names = headers.headerNames;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAVAILABLE = 503;
const HTTP_BAD_GATEWAY = 502;

function createResponder(
  attemptId: string,
  response: http.ServerResponse,
): types.AttemptHandler & { attach(attempt: types.Attempt): void } {
  let attempt: types.Attempt | undefined;
  let isPaused = false;
  let loadHeader = '0,0';
  const createCommonHeaders = () => ({ [names.attempt]: attemptId, [names.load]: loadHeader });
  response.on('drain', () => {
    isPaused = false;
    attempt?.resume();
  });
  return {
    attach(started) {
      attempt = started;
      if (isPaused) attempt.pause();
      response.once('close', () => {
        if (!response.writableFinished) started.cancel();
      });
    },
    onLoad(report) {
      loadHeader = codec.formatLoad(report);
    },
    onHead(head) {
      if (response.destroyed) return;
      response.writeHead(head.status, {
        ...headers.copyResponseHeaders(head.headers),
        ...createCommonHeaders(),
        [names.outcome]: 'done',
      });
    },
    onData(chunk) {
      if (response.destroyed || response.write(chunk)) return;
      isPaused = true;
      attempt?.pause();
    },
    onEnd() {
      response.end();
    },
    onFailure({ outcome, reason }) {
      if (response.headersSent) {
        response.destroy();
        return;
      }
      const status = outcome === 'not-run' ? HTTP_UNAVAILABLE : HTTP_BAD_GATEWAY;
      response
        .writeHead(status, {
          ...createCommonHeaders(),
          [names.outcome]: outcome,
          [names.reason]: reason,
        })
        .end();
    },
  };
}

/**
 * Handles one attempt from another proxy. Responds with 400 when its headers are not valid, and
 * closes the connection when the body is longer than `maxBodyBytes`; refuses it as not run when there is
 * no room for it.
 *
 * @example
 * http.createServer((request, response) => handleAttempt(ctx, { egress, byteBudget }, request, response));
 */
export function handleAttempt(
  ctx: context.Context,
  { egress, byteBudget }: { egress: targetEgress.Egress; byteBudget: byteBudgets.ByteBudget },
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  request.on('error', () => response.destroy());
  response.on('error', () => undefined);
  const startAttempt = (body: Buffer | undefined): void => {
    const attempt = codec.parseAttemptHeaders(
      request.method ?? 'GET',
      request.url ?? '/',
      request.headers,
      body,
      ctx.clock.monotonic(),
    );
    if (!attempt) {
      response.writeHead(HTTP_BAD_REQUEST).end();
      return;
    }
    const startUnlessDisconnected = (): void => {
      if (response.destroyed || request.socket.readableEnded) {
        response.destroy();
        return;
      }
      const responder = createResponder(attempt.attemptId, response);
      responder.attach(egress.run(attempt, responder));
    };
    eventLoop
      .waitForSocketPoll()
      .then(startUnlessDisconnected)
      .catch((error: unknown) => ctx.reportError('attempt-start', error));
  };
  const refuseBody = (): void => {
    if (response.destroyed) return;
    response.setHeader('connection', 'close');
    const attemptId = String(request.headers[names.attempt] ?? '');
    createResponder(attemptId, response).onFailure({ outcome: 'not-run', reason: 'no-room' });
  };
  heldBody.readHeldBody(
    request,
    response,
    { byteBudget, maxBytes: ctx.settings.routing.maxBodyBytes },
    { onBody: startAttempt, onTooLarge: () => request.destroy(), onNoRoom: refuseBody },
  );
}
