/** Reads request bodies into memory, within a limit for the whole process. */
import type * as http from 'node:http';
import type * as stream from 'node:stream';
import * as runtime from '@figshed/runtime';
import * as chunkRate from './chunk-rate.js';
import * as constants from './constants.js';
import * as errors from './errors.js';

/** Limit on the bytes of bodies that are buffered at once. */
export interface ByteBudget {
  /** Reserves `bytes`; returns false, and reserves nothing, if the limit would be exceeded. */
  reserve(bytes: number): boolean;
  release(bytes: number): void;
}

/**
 * Creates a budget of `limitBytes`.
 *
 * @example
 * const byteBudget = createByteBudget(50_000_000);
 */
export function createByteBudget(limitBytes: number): ByteBudget {
  let usedBytes = 0;
  return {
    reserve(bytes) {
      if (usedBytes + bytes > limitBytes) return false;
      usedBytes += bytes;
      return true;
    },
    release(bytes) {
      usedBytes -= bytes;
    },
  };
}

/**
 * Reads the rest of a body that is not used, so that the connection ends in a clean state. A sender of
 * more than MAX_DRAINED_BYTES, or for more than BODY_STALL_TIMEOUT_MS, is disconnected.
 *
 * @example
 * drainBody(request);
 */
export function drainBody(source: stream.Readable): void {
  if (source.readableEnded || source.destroyed) return;
  let drainedBytes = 0;
  const timer = setTimeout(() => source.destroy(), constants.BODY_STALL_TIMEOUT_MS);
  const stopTimer = (): void => clearTimeout(timer);
  source.on('data', (chunk: Buffer) => {
    drainedBytes += chunk.length;
    if (drainedBytes > constants.MAX_DRAINED_BYTES) source.destroy();
  });
  chunkRate.pauseTinyChunks(source);
  source.once('end', stopTimer);
  source.once('close', stopTimer);
  source.resume();
}

/**
 * Reads the rest of a body once its response has been sent, if the response came first: Node.js does so
 * only for a body of which nothing has been read, and calls behind an unread rest are never received.
 *
 * @example
 * drainAfterResponse(request, response);
 */
export function drainAfterResponse(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.once('finish', () => drainBody(request));
}

/**
 * Reads a request body into one buffer.
 *
 * @throws BodyTooLargeError if it exceeds `maxBytes`, ByteBudgetExceededError if the budget is used
 * up, the error of the stream if it fails, such as ECONNRESET when the sender disconnects, and
 * IncompleteBodyError if it closes before the end of the body without an error.
 * @example
 * const body = await readBody(request, byteBudget, 1_024);
 */
export function readBody(
  source: stream.Readable,
  byteBudget: ByteBudget,
  maxBytes = Number.POSITIVE_INFINITY,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const collector = runtime.createByteCollector();
    let sizeBytes = 0;
    let isSettled = false;
    const fail = (error: Error): void => {
      if (isSettled) return;
      isSettled = true;
      byteBudget.release(sizeBytes);
      drainBody(source);
      reject(error);
    };
    source.on('data', (chunk: Buffer) => {
      if (isSettled) return;
      if (!byteBudget.reserve(chunk.length)) {
        fail(new errors.ByteBudgetExceededError());
        return;
      }
      sizeBytes += chunk.length;
      collector.append(chunk);
      if (sizeBytes > maxBytes) fail(new errors.BodyTooLargeError(maxBytes));
    });
    chunkRate.pauseTinyChunks(source);
    source.once('end', () => {
      if (isSettled) return;
      isSettled = true;
      // The budget covers only bodies being read; admission limits the calls that hold complete ones.
      byteBudget.release(sizeBytes);
      resolve(collector.concat());
    });
    source.once('error', fail);
    source.once('close', () => fail(new errors.IncompleteBodyError()));
  });
}
