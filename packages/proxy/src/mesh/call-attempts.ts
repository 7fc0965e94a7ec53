/** Tracks the open attempts of one call and buffers their responses. */
import * as runtime from '@figshed/runtime';
import type * as upstreamResponse from './upstream-response.js';
import * as bodyFraming from './body-framing.js';
import type * as byteBudgets from '../byte-budget.js';
import * as chunkRate from './chunk-rate.js';
import * as constants from './constants.js';
import type * as types from './types.js';

/** A response whose whole body has been received. */
export interface BufferedResponse {
  status: number;
  headers: string[];
  /** The header that states its length. */
  framing: string[];
  body: Buffer;
}

export interface OpenAttempt {
  hostId: string;
  /** Monotonic time at which the attempt was opened, in milliseconds. */
  openedAt: number;
  handle: types.CancellableAttempt | undefined;
}

export interface OpenAttempts {
  /** Adds an attempt and returns its number. */
  open(hostId: string, openedAt: number): number;
  /** Stores the handle that cancels an attempt; no-op if the attempt has already ended. */
  setHandle(attemptNumber: number, handle: types.CancellableAttempt): void;
  has(attemptNumber: number): boolean;
  /** Removes and returns an attempt; undefined if it has already been removed. */
  settle(attemptNumber: number): OpenAttempt | undefined;
  /** Cancels all attempts but `except`; returns true if it is certain that none of them ran. */
  cancel(except: number | undefined): boolean;
  count(): number;
}

/**
 * Creates an empty set. `onSettled` is called once for each attempt when it is removed.
 *
 * @example
 * const attempts = createOpenAttempts(({ hostId, openedAt }) =>
 *   targets.recordAttemptEnd(hostId, work, openedAt),
 * );
 */
export function createOpenAttempts(onSettled: (attempt: OpenAttempt) => void): OpenAttempts {
  const entries = new Map<number, OpenAttempt>();
  let lastNumber = 0;

  const settle = (attemptNumber: number): OpenAttempt | undefined => {
    const entry = entries.get(attemptNumber);
    if (entry) {
      entries.delete(attemptNumber);
      onSettled(entry);
    }
    return entry;
  };

  return {
    open(hostId, openedAt) {
      lastNumber += 1;
      entries.set(lastNumber, { hostId, openedAt, handle: undefined });
      return lastNumber;
    },
    setHandle(attemptNumber, handle) {
      const entry = entries.get(attemptNumber);
      if (entry) entry.handle = handle;
    },
    has: (attemptNumber) => entries.has(attemptNumber),
    settle,
    cancel(except) {
      const numbers = [...entries.keys()].filter((attemptNumber) => attemptNumber !== except);
      const notRunResults = numbers.map(
        (attemptNumber) => settle(attemptNumber)?.handle?.cancel() ?? false,
      );
      return notRunResults.every(Boolean);
    },
    count: () => entries.size,
  };
}

/** Callbacks for the result of buffering a response. */
export interface BufferHandler {
  /** The response is too large to buffer; the rest of the body is still to be streamed. */
  onTooLarge(receivedChunks: readonly Buffer[]): void;
  /** The body of a response that was too large to buffer has ended. */
  onStreamed(): void;
  onBuffered(response: BufferedResponse): void;
  onTruncated(): void;
}

/**
 * Buffers a response until it is complete. If it exceeds MAX_BUFFERED_RESPONSE_BYTES or the budget,
 * `onTooLarge` receives the chunks read so far and must stream the rest.
 *
 * @example
 * bufferResponse(upstream, byteBudget, handler);
 */
export function bufferResponse(
  upstream: upstreamResponse.UpstreamResponse,
  byteBudget: byteBudgets.ByteBudget,
  handler: BufferHandler,
): void {
  const { status, headers, message } = upstream;
  const collector = runtime.createByteCollector();
  let sizeBytes = 0;
  let isStreaming = false;
  const stopLimit = chunkRate.pauseTinyChunks(message);
  const switchToStreaming = (): void => {
    isStreaming = true;
    byteBudget.release(sizeBytes);
    stopLimit();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- reads until it switches
    message.off('data', collectChunk);
    handler.onTooLarge(collector.listBlocks());
  };
  const collectChunk = (chunk: Buffer): void => {
    collector.append(chunk);
    if (!byteBudget.reserve(chunk.length)) {
      switchToStreaming();
      return;
    }
    sizeBytes += chunk.length;
    if (sizeBytes > constants.MAX_BUFFERED_RESPONSE_BYTES) switchToStreaming();
  };
  message.on('data', collectChunk);
  message.once('close', () => {
    if (isStreaming) {
      handler.onStreamed();
      return;
    }
    byteBudget.release(sizeBytes);
    if (!upstream.isComplete()) {
      handler.onTruncated();
      return;
    }
    const body = collector.concat();
    const framing = bodyFraming.formatResponseFraming(message, body);
    handler.onBuffered({ status, headers, framing, body });
  });
}
