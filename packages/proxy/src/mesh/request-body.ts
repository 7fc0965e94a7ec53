/**
 * Request bodies. A body is buffered as long as it is small, so that its call can be sent to another
 * target. A larger one of a call that is not repeatable is streamed: it is read only once a target can
 * take it, at the rate at which the target reads, and is never held whole.
 */
import type * as http from 'node:http';
import type * as stream from 'node:stream';
import * as runtime from '@figshed/runtime';
import type * as byteBudgets from '../byte-budget.js';
import * as blockPipe from './block-pipe.js';
import * as bodyReader from './body-reader.js';
import * as chunkRate from './chunk-rate.js';
import * as constants from './constants.js';
import * as errors from './errors.js';

export interface StreamedBody {
  source: stream.Readable;
  /** Undefined for a body in chunks. */
  lengthBytes: number | undefined;
  maxBytes: number;
}

/** A large body in the blocks in which it arrived; joining them would take its memory twice. */
export interface BufferedBlocks {
  blocks: readonly Buffer[];
  lengthBytes: number;
}

export type RequestBody = Buffer | BufferedBlocks | StreamedBody;

/**
 * Returns whether a body is streamed and so can be sent only once.
 *
 * @example
 * isStreamed(Buffer.from('ab')); // false
 */
export function isStreamed(body: RequestBody): body is StreamedBody {
  return 'source' in body;
}

/**
 * Converts a collected body.
 *
 * @example
 * const body = formatBody(await bodyReader.readBlocks(request, holding));
 */
export function formatBody(collector: runtime.ByteCollector): RequestBody {
  const lengthBytes = collector.getSizeBytes();
  return lengthBytes <= constants.MAX_BUFFERED_REQUEST_BYTES
    ? collector.concat()
    : { blocks: collector.listBlocks(), lengthBytes };
}

/**
 * Returns the size of a body in bytes; undefined for a streamed one without a stated length.
 *
 * @example
 * measureBody(Buffer.from('ab')); // 2
 */
export function measureBody(body: RequestBody): number | undefined {
  return Buffer.isBuffer(body) ? body.length : body.lengthBytes;
}

/**
 * Buffers a body without a stated length, or streams it once it is too large. What has been read stays
 * reserved in `holding`.
 */
function receiveChunkedBody(
  source: http.IncomingMessage,
  holding: byteBudgets.Holding,
  maxBytes: number,
): Promise<RequestBody> {
  return new Promise((resolve, reject) => {
    const collector = runtime.createByteCollector();
    const stopLimit = chunkRate.pauseTinyChunks(source);
    const finish = (): void => {
      stopLimit();
      holding.setEnd(undefined);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- listeners remove one another
      source.off('data', handleData).off('end', handleEnd).off('close', handleClose);
    };
    const fail = (error: Error): void => {
      finish();
      holding.release();
      reject(error);
    };
    const handleData = (chunk: Buffer): void => {
      if (!holding.reserve(chunk.length)) {
        fail(new errors.ByteBudgetExceededError());
        return;
      }
      collector.append(chunk);
      const sizeBytes = collector.getSizeBytes();
      if (sizeBytes > maxBytes) {
        fail(new errors.BodyTooLargeError(maxBytes));
        return;
      }
      if (sizeBytes <= constants.MAX_BUFFERED_REQUEST_BYTES) return;
      finish();
      source.pause();
      source.unshift(collector.concat());
      resolve({ source, lengthBytes: undefined, maxBytes });
    };
    const handleEnd = (): void => {
      finish();
      resolve(collector.concat());
    };
    const handleClose = (): void => fail(new errors.IncompleteBodyError());
    holding.setEnd(() => fail(new errors.ByteBudgetExceededError()));
    source.on('data', handleData).once('end', handleEnd).once('close', handleClose);
  });
}

/** Returns the stated length of a body; undefined for one in chunks. */
function readStatedLength({ headers }: http.IncomingMessage): number | undefined {
  const statedLength = headers['content-length'];
  if (statedLength !== undefined) return Number(statedLength);
  return headers['transfer-encoding'] === undefined ? 0 : undefined;
}

/**
 * Estimates the memory that the body of a request will take, before it is read.
 *
 * @example
 * const holding = byteBudget.open(estimateBodyBytes(request));
 */
export function estimateBodyBytes(request: http.IncomingMessage): number {
  return readStatedLength(request) ?? constants.MAX_BUFFERED_REQUEST_BYTES;
}

/**
 * Receives the body of a call; only that of a call that is not repeatable may be streamed. Its memory
 * stays reserved in `holding`.
 *
 * @throws BodyTooLargeError, ByteBudgetExceededError and IncompleteBodyError, as `readBlocks` does.
 * @example
 * const body = await receiveBody(request, holding, { mayStream: true, maxBytes: 10_000_000 });
 */
export async function receiveBody(
  source: http.IncomingMessage,
  holding: byteBudgets.Holding,
  { mayStream, maxBytes }: { mayStream: boolean; maxBytes: number },
): Promise<RequestBody> {
  // A source that was closed before it is read emits no further event.
  if (source.destroyed) throw new errors.IncompleteBodyError();
  const lengthBytes = readStatedLength(source);
  if (lengthBytes !== undefined && lengthBytes > maxBytes)
    throw new errors.BodyTooLargeError(maxBytes);
  if (mayStream && lengthBytes === undefined) return receiveChunkedBody(source, holding, maxBytes);
  const isLarge = lengthBytes !== undefined && lengthBytes > constants.MAX_BUFFERED_REQUEST_BYTES;
  if (!mayStream || !isLarge)
    return formatBody(await bodyReader.readBlocks(source, holding, maxBytes));
  if (!holding.reserve(constants.STREAMED_BODY_BYTES)) throw new errors.ByteBudgetExceededError();
  return { source, lengthBytes, maxBytes };
}

/** Pipes a body; destroys the request if the source fails, stalls or exceeds its limit. */
function pipeBody(
  { source, lengthBytes, maxBytes }: StreamedBody,
  request: http.ClientRequest,
): void {
  const limitBytes = Math.min(maxBytes, lengthBytes ?? maxBytes);
  let sizeBytes = 0;
  let stallTimer: NodeJS.Timeout | undefined;
  const fail = (error: Error): void => {
    if (!request.destroyed) request.destroy(error);
  };
  const watchStall = (): void => {
    clearTimeout(stallTimer);
    stallTimer = setTimeout(() => {
      // While the receiver does not read, the source has nothing to send.
      if (request.writableNeedDrain) watchStall();
      else fail(new errors.BodyStalledError(constants.BODY_STALL_TIMEOUT_MS));
    }, constants.BODY_STALL_TIMEOUT_MS);
  };
  const countBytes = (chunk: Buffer): void => {
    watchStall();
    sizeBytes += chunk.length;
    if (sizeBytes > limitBytes) fail(new errors.BodyTooLargeError(limitBytes));
  };
  const handleSourceClose = (): void => {
    if (!source.readableEnded) fail(new errors.IncompleteBodyError());
  };
  const pipe = blockPipe.pipeInBlocks(source, request);
  const handleSourceEnd = (): void => {
    clearTimeout(stallTimer);
    // With fewer bytes than stated, the next request on the connection would be taken for the rest.
    if (lengthBytes !== undefined && sizeBytes !== lengthBytes) {
      fail(new errors.IncompleteBodyError());
      return;
    }
    pipe.flush();
    request.end();
  };
  const stop = (): void => {
    clearTimeout(stallTimer);
    source.off('data', countBytes);
    pipe.stop();
    source.off('end', handleSourceEnd);
    source.off('close', handleSourceClose);
  };
  source.on('data', countBytes);
  source.once('end', handleSourceEnd);
  source.once('close', handleSourceClose);
  request.once('close', stop);
  watchStall();
}

/**
 * Writes a body and ends the request. If its response ends before the body does, the connection is
 * closed, since its receiver still expects the rest of the body.
 *
 * @example
 * writeBody(body, request);
 */
export function writeBody(body: RequestBody, request: http.ClientRequest): void {
  if (Buffer.isBuffer(body)) {
    request.end(body);
    return;
  }
  if (!isStreamed(body)) {
    // The socket refers to the blocks and does not copy them.
    body.blocks.forEach((block) => request.write(block));
    request.end();
    return;
  }
  request.once('response', (message) => {
    message.once('end', () => {
      if (!request.writableFinished) request.destroy();
    });
  });
  if (body.source.destroyed) request.destroy(new errors.IncompleteBodyError());
  else pipeBody(body, request);
}

/**
 * Ends a response whose request body has not been read: the caller gets the response at once, and the
 * connection ends in a clean state only after the rest of the body, within the limits of `drainBody`.
 *
 * @example
 * endAfterBody(request, response);
 */
export function endAfterBody(request: http.IncomingMessage, response: http.ServerResponse): void {
  if (request.complete || request.destroyed) {
    response.end();
    return;
  }
  request.once('end', () => response.end());
  bodyReader.drainBody(request);
}
