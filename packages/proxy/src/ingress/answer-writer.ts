/**
 * Writes an answer to a caller. Short answers are held until they are whole, so that an attempt
 * which breaks can still be replaced; longer ones stream with back-pressure.
 */
import type * as http from 'node:http';
import type * as core from '@figshed/core';
import * as headers from '../calls/headers.js';
import type * as types from '../calls/types.js';

/** Longest answer that is held until it is whole, in bytes. */
const MAX_HELD_BYTES = 65_536;

/** An answer made by the proxy itself. */
export interface ErrorAnswer {
  status: number;
  code: string;
  message: string;
  outcome: core.Outcome;
  /** What became of this very request, when the order as a whole may have run before. */
  attemptOutcome: core.Outcome;
  retryAfterMs?: number;
}

/** Facts that stand on every answer. */
export interface AnswerContext {
  callId: string;
  version: number;
}

/** The answer to one caller. */
export interface AnswerWriter {
  /** Takes the head of an attempt's answer; false when it cannot continue what was sent. */
  writeHead(head: types.ResponseHead): boolean;
  /** Takes a part of the body; false asks the sender to pause. */
  writeData(chunk: Buffer): boolean;
  end(): void;
  /** Forgets what is held of an attempt that broke; false when the caller has part of it. */
  reset(): boolean;
  /** Where a broken download can go on, when the target allows that. */
  resumeFrom(): { entityTag: string; position: number } | undefined;
  sendError(answer: ErrorAnswer): void;
  sendReplay(answer: core.OrderAnswer): void;
  /** Ends an answer that the caller has only in part, so that it sees the break. */
  abort(): void;
  onDrain(handler: () => void): void;
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

function continuesAt(head: types.ResponseHead, position: number): boolean {
  const range = headers.readHeader(head.headers, 'content-range') ?? '';
  return head.status === HTTP_PARTIAL && range.startsWith(`bytes ${position}-`);
}

/**
 * Creates the writer of one answer.
 *
 * @example
 * const writer = createAnswerWriter(response, { callId, version: config.version });
 */
export function createAnswerWriter(
  response: http.ServerResponse,
  answer: AnswerContext,
): AnswerWriter {
  let head: types.ResponseHead | undefined;
  let held: Buffer[] = [];
  let size = 0;
  let isStreaming = false;
  const common = (outcome: core.Outcome) => ({
    [names.callId]: answer.callId,
    [names.version]: String(answer.version),
    [names.outcome]: outcome,
  });

  const startStream = (): void => {
    if (!head || isStreaming) return;
    isStreaming = true;
    response.writeHead(head.status, {
      ...headers.copyResponseHeaders(head.headers),
      ...common('done'),
    });
  };

  return {
    writeHead(next) {
      if (isStreaming) return continuesAt(next, size);
      head = next;
      return true;
    },
    writeData(chunk) {
      size += chunk.byteLength;
      if (isStreaming) return response.destroyed || response.write(chunk);
      held.push(chunk);
      if (size <= MAX_HELD_BYTES) return true;
      startStream();
      const whole = Buffer.concat(held);
      held = [];
      return response.destroyed || response.write(whole);
    },
    end() {
      startStream();
      response.end(held.length === 1 ? held[0] : Buffer.concat(held));
    },
    reset() {
      if (isStreaming) return false;
      head = undefined;
      held = [];
      size = 0;
      return true;
    },
    resumeFrom() {
      if (!isStreaming || !head || !canResume(head)) return undefined;
      return { entityTag: headers.readHeader(head.headers, 'etag') as string, position: size };
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
        callId: answer.callId,
      });
      const retryAfter =
        retryAfterMs === undefined
          ? {}
          : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))) };
      response
        .writeHead(status, {
          ...common(outcome),
          ...retryAfter,
          [names.attemptOutcome]: attemptOutcome,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        })
        .end(body);
    },
    sendReplay({ status, contentType, body }) {
      // Part of the answer was sent already; the caller must see that it broke.
      if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
      }
      const bytes = Buffer.from(body ?? '', 'base64');
      response
        .writeHead(status, {
          ...common('done'),
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
