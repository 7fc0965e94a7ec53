import type * as stream from 'node:stream';
import * as runtime from '@figshed/runtime';
import * as chunkRate from './chunk-rate.js';

export interface BlockPipe {
  /** Writes what has been read; to be called before the destination is ended. */
  flush(): void;
  /**
   * Stops reading, as does the close of the destination. The source is paused unless another reader has
   * taken the rest of the body over, such as one that discards it.
   */
  stop(): void;
}

/** Bytes that are written at once, without waiting for the rest of what the sockets have received. */
const MAX_BLOCK_BYTES = 65_536;

/**
 * Pipes a body at the rate at which the destination takes it, and writes the chunks of one read
 * together, since each write costs more than a few bytes. It does not end the destination.
 *
 * @example
 * const pipe = pipeInBlocks(message, response);
 * message.once('end', () => {
 *   pipe.flush();
 *   response.end();
 * });
 */
export function pipeInBlocks(source: stream.Readable, destination: stream.Writable): BlockPipe {
  let collector = runtime.createByteCollector();
  let flushTimer: NodeJS.Immediate | undefined;
  let isRateExceeded = false;
  let isStopped = false;

  const updateFlow = (): void => {
    if (isStopped) return;
    if (isRateExceeded || destination.writableNeedDrain) source.pause();
    else source.resume();
  };
  const flush = (): void => {
    clearImmediate(flushTimer);
    flushTimer = undefined;
    const blocks = collector.listBlocks();
    if (blocks.length === 0) return;
    collector = runtime.createByteCollector();
    if (!destination.destroyed) blocks.forEach((block) => destination.write(block));
    if (destination.writableNeedDrain) updateFlow();
  };
  const collect = (chunk: Buffer): void => {
    collector.append(chunk);
    if (collector.getSizeBytes() >= MAX_BLOCK_BYTES) flush();
    else flushTimer ??= setImmediate(flush);
  };
  source.on('data', collect);
  const stopLimit = chunkRate.limitChunkRate(source, (isPaused) => {
    isRateExceeded = isPaused;
    updateFlow();
  });
  destination.on('drain', updateFlow);
  const stop = (): void => {
    isStopped = true;
    clearImmediate(flushTimer);
    stopLimit();
    source.off('data', collect);
    destination.off('drain', updateFlow);
    // The pipe may have paused what the other reader still expects.
    if (source.listenerCount('data') > 0) source.resume();
    else source.pause();
  };
  destination.once('close', stop);
  updateFlow();
  return { flush, stop };
}
