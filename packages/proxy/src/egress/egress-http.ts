/** Receives attempts from other proxies by HTTP and hands them to the egress part. */
import type * as http from 'node:http';
import * as codec from '../calls/attempt-codec.js';
import * as headers from '../calls/headers.js';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import type * as egressModule from './egress.js';

const names = headers.headerNames;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAVAILABLE = 503;
const HTTP_BAD_GATEWAY = 502;

function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
  onBody: (body: Buffer | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  request.on('data', (chunk: Buffer) => {
    size += chunk.byteLength;
    if (size > maxBytes) request.destroy();
    else chunks.push(chunk);
  });
  request.on('end', () => onBody(size > 0 ? Buffer.concat(chunks) : undefined));
}

function createResponder(
  attemptId: string,
  response: http.ServerResponse,
): types.AttemptHandler & { bind(attempt: types.Attempt): void } {
  let attempt: types.Attempt | undefined;
  let isPaused = false;
  let load = '0,0';
  const common = () => ({ [names.attempt]: attemptId, [names.load]: load });
  response.on('drain', () => {
    isPaused = false;
    attempt?.resume();
  });
  return {
    bind(started) {
      attempt = started;
      if (isPaused) attempt.pause();
      response.once('close', () => {
        if (!response.writableFinished) started.cancel();
      });
    },
    onLoad(report) {
      load = codec.formatLoad(report);
    },
    onHead(head) {
      if (response.destroyed) return;
      response.writeHead(head.status, {
        ...headers.copyResponseHeaders(head.headers),
        ...common(),
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
        .writeHead(status, { ...common(), [names.outcome]: outcome, [names.reason]: reason })
        .end();
    },
  };
}

/**
 * Handles one attempt that another proxy sent.
 *
 * @example
 * http.createServer((request, response) => handleAttempt(ctx, egress, request, response));
 */
export function handleAttempt(
  ctx: context.Context,
  egress: egressModule.Egress,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  request.on('error', () => response.destroy());
  response.on('error', () => undefined);
  readBody(request, ctx.settings.routing.maxBodyBytes, (body) => {
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
    const responder = createResponder(attempt.attemptId, response);
    responder.bind(egress.run(attempt, responder));
  });
}
