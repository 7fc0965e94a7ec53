/** Reads request bodies into memory, within the byte budget of the process. */
import type * as http from 'node:http';
import type * as stream from 'node:stream';
import * as runtime from '@figshed/runtime';
import type * as byteBudgets from '../byte-budget.js';
import * as chunkRate from './chunk-rate.js';
import * as constants from './constants.js';
import * as errors from './errors.js';

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
 * Reads a request body, whose bytes stay reserved in `holding` until that is released. While it is
 * being read, its holder can be ended.
 *
 * @throws BodyTooLargeError if it exceeds `maxBytes`, ByteBudgetExceededError if the budget is used
 * up or its bytes are needed for others, the error of the stream if it fails, such as ECONNRESET when
 * the sender disconnects, and IncompleteBodyError if it closes before the end of the body without an
 * error.
 * @example
 * const collector = await readBlocks(request, byteBudget.open(1_024), 1_024);
 */
export function readBlocks(
  source: stream.Readable,
  holding: byteBudgets.Holding,
  maxBytes = Number.POSITIVE_INFINITY,
): Promise<runtime.ByteCollector> {
  return new Promise((resolve, reject) => {
    let collector = runtime.createByteCollector();
    let isSettled = false;
    const fail = (error: Error): void => {
      if (isSettled) return;
      isSettled = true;
      collector = runtime.createByteCollector();
      holding.release();
      drainBody(source);
      reject(error);
    };
    holding.setEnd(() => fail(new errors.ByteBudgetExceededError()));
    source.on('data', (chunk: Buffer) => {
      if (isSettled) return;
      if (!holding.reserve(chunk.length)) {
        fail(new errors.ByteBudgetExceededError());
        return;
      }
      collector.append(chunk);
      if (collector.getSizeBytes() > maxBytes) fail(new errors.BodyTooLargeError(maxBytes));
    });
    chunkRate.pauseTinyChunks(source);
    source.once('end', () => {
      if (isSettled) return;
      isSettled = true;
      holding.setEnd(undefined);
      resolve(collector);
    });
    source.once('error', fail);
    source.once('close', () => fail(new errors.IncompleteBodyError()));
  });
}
