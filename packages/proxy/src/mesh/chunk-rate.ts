/** Limits the rate of tiny chunks of a body, which cost far more processor time than their bytes. */
import type * as stream from 'node:stream';

/** Chunks of less bytes count; a read of larger ones is cheap in relation to its size. */
const TINY_CHUNK_BYTES = 64;
/** Tiny chunks of one body in an interval: ten times as many as a stream of single words needs. */
const MAX_TINY_CHUNKS = 1_000;
const INTERVAL_MS = 100;

/**
 * Calls `setPaused` with true once a body has sent more than MAX_TINY_CHUNKS in INTERVAL_MS, and with
 * false when it may continue; the sender is slowed down by the flow control of its connection. The
 * returned function ends the limit.
 *
 * @example
 * limitChunkRate(message, (isPaused) => (isPaused ? message.pause() : message.resume()));
 */
export function limitChunkRate(
  source: stream.Readable,
  setPaused: (isPaused: boolean) => void,
): () => void {
  let chunkCount = 0;
  let isPaused = false;
  let timer: NodeJS.Timeout | undefined;
  const refill = (): void => {
    chunkCount = Math.max(0, chunkCount - MAX_TINY_CHUNKS);
    timer = chunkCount > 0 ? setTimeout(refill, INTERVAL_MS) : undefined;
    if (!isPaused || chunkCount >= MAX_TINY_CHUNKS) return;
    isPaused = false;
    setPaused(false);
  };
  const countChunk = (chunk: Buffer): void => {
    if (chunk.length >= TINY_CHUNK_BYTES) return;
    chunkCount += 1;
    timer ??= setTimeout(refill, INTERVAL_MS);
    if (isPaused || chunkCount < MAX_TINY_CHUNKS) return;
    isPaused = true;
    setPaused(true);
  };
  const stop = (): void => {
    clearTimeout(timer);
    source.off('data', countChunk);
    source.off('close', stop);
    if (!isPaused) return;
    isPaused = false;
    setPaused(false);
  };
  source.on('data', countChunk);
  source.once('close', stop);
  return stop;
}

/**
 * Pauses a body that is read into memory or discarded whenever it exceeds the rate of tiny chunks.
 *
 * @example
 * const stop = pauseTinyChunks(request);
 */
export function pauseTinyChunks(source: stream.Readable): () => void {
  return limitChunkRate(source, (isPaused) => {
    if (isPaused) source.pause();
    else source.resume();
  });
}
