/**
 * Writes the response to a caller. Short responses are buffered until they are complete, so that a
 * broken attempt can be replaced by another one; longer responses are streamed with back-pressure.
 */
import type * as http from 'node:http';
import type * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as headers from '../calls/headers.js';
import type * as types from '../calls/types.js';

/** Longest response body that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 65_536;

/** An error response of the proxy itself. */
export interface ErrorResponse {
  status: number;
  code: string;
  message: string;
  outcome: core.Outcome;
  /** Outcome of this request alone; an earlier request for the same order may have run. */
  attemptOutcome: core.Outcome;
  retryAfterMs?: number;
}

/** Values in the headers of every response. */
export interface ResponseContext {
  callId: string;
  version: number;
}

export interface ResponseWriter {
  /**
   * Sets the response head of an attempt; false when it does not continue the part already sent.
   */
  writeHead(head: types.ResponseHead): boolean;
  /** Writes a chunk of the body; false when the sender should pause. */
  writeData(chunk: Buffer): boolean;
  end(): void;
  /** Discards the buffered response of a broken attempt; false when part of it was sent already. */
  reset(): boolean;
  /**
   * Returns where a partly sent response can be resumed by a range request; undefined when the
   * target does not support that.
   */
  getResumePoint(): { entityTag: string; position: number } | undefined;
  sendError(response: ErrorResponse): void;
  /** Sends the recorded answer of an order. */
  sendReplay(answer: core.OrderAnswer): void;
  /** Closes the connection, so that the caller detects that the response is incomplete. */
  abort(): void;
  onDrain(handler: () => void): void;
  /** Calls the handler when the caller closes the connection before the response is complete. */
  onClose(handler: () => void): void;
}

const names = headers.headerNames;
const MS_PER_SECOND = 1_000;
const HTTP_PARTIAL = 206;
const HTTP_OK = 200;

function canResume(head: types.ResponseHead): boolean {
  const tag = headers.readHeader(head.headers, 'etag');
  const ranges = headers.readHeader(head.headers, 'accept-ranges');
  return (
    head.status === HTTP_OK && ranges === 'bytes' && tag !== undefined && !tag.startsWith('W/')
  );
}

function isContinuationAt(head: types.ResponseHead, position: number): boolean {
  const range = headers.readHeader(head.headers, 'content-range') ?? '';
  return head.status === HTTP_PARTIAL && range.startsWith(`bytes ${position}-`);
}

/**
 * Creates the writer of one response.
 *
 * @example
 * const writer = createResponseWriter(response, { callId, version: config.version });
 */
export function createResponseWriter(
  response: http.ServerResponse,
  responseContext: ResponseContext,
): ResponseWriter {
  let head: types.ResponseHead | undefined;
  let buffered = runtime.createByteCollector();
  let bodyBytes = 0;
  let isStreaming = false;
  const createCommonHeaders = (outcome: core.Outcome) => ({
    [names.callId]: responseContext.callId,
    [names.version]: String(responseContext.version),
    [names.outcome]: outcome,
  });

  const startStream = (): void => {
    if (!head || isStreaming) return;
    isStreaming = true;
    response.writeHead(head.status, {
      ...headers.copyResponseHeaders(head.headers),
      ...createCommonHeaders('done'),
    });
  };

  return {
    writeHead(next) {
      if (isStreaming) return isContinuationAt(next, bodyBytes);
      head = next;
      return true;
    },
    writeData(chunk) {
      bodyBytes += chunk.byteLength;
      if (isStreaming) return response.destroyed || response.write(chunk);
      buffered.append(chunk);
      if (bodyBytes <= MAX_BUFFERED_BYTES) return true;
      startStream();
      const bufferedBody = buffered.concat();
      buffered = runtime.createByteCollector();
      return response.destroyed || response.write(bufferedBody);
    },
    end() {
      startStream();
      response.end(buffered.concat());
    },
    reset() {
      if (isStreaming) return false;
      head = undefined;
      buffered = runtime.createByteCollector();
      bodyBytes = 0;
      return true;
    },
    getResumePoint() {
      if (!isStreaming || !head || !canResume(head)) return undefined;
      return { entityTag: headers.readHeader(head.headers, 'etag') as string, position: bodyBytes };
    },
    sendError({ status, code, message, outcome, attemptOutcome, retryAfterMs }) {
      if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
      }
      const body = JSON.stringify({
        error: { code, message },
        outcome,
        attemptOutcome,
        callId: responseContext.callId,
      });
      const retryAfter =
        retryAfterMs === undefined
          ? {}
          : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))) };
      response
        .writeHead(status, {
          ...createCommonHeaders(outcome),
          ...retryAfter,
          [names.attemptOutcome]: attemptOutcome,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        })
        .end(body);
    },
    sendReplay({ status, contentType, body }) {
      // Part of a response was sent already; closing the connection shows that it is incomplete.
      if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
      }
      const bytes = Buffer.from(body ?? '', 'base64');
      response
        .writeHead(status, {
          ...createCommonHeaders('done'),
          [names.replayed]: body === null ? 'status-only' : 'whole',
          'content-type': contentType,
          'content-length': bytes.byteLength,
        })
        .end(bytes);
    },
    abort: () => response.destroy(),
    onDrain: (handler) => response.on('drain', handler),
    onClose: (handler) =>
      response.once('close', () => {
        if (!response.writableFinished) handler();
      }),
  };
}
