/** Reads bodies whole, within a bound on what one process holds. */
import type * as stream from 'node:stream';
import * as errors from './errors.js';

/** Counts the bytes that are held. */
export interface HeldBytes {
  /** Takes room, or returns false when the bound would be passed. */
  take(bytes: number): boolean;
  release(bytes: number): void;
}

/**
 * Creates a bound on held bytes.
 *
 * @example
 * const held = createHeldBytes(50_000_000);
 */
export function createHeldBytes(limit: number): HeldBytes {
  let used = 0;
  return {
    take(bytes) {
      if (used + bytes > limit) return false;
      used += bytes;
      return true;
    },
    release(bytes) {
      used -= bytes;
    },
  };
}

/**
 * Reads a request body whole.
 *
 * @throws BodyTooLargeError when it is larger than `maxBytes`, NoRoomError when too much is held.
 * @example
 * const body = await readBody(request, held, 1_024);
 */
export function readBody(
  source: stream.Readable,
  held: HeldBytes,
  maxBytes = Number.POSITIVE_INFINITY,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let isEnded = false;
    const fail = (error: Error): void => {
      if (isEnded) return;
      isEnded = true;
      held.release(size);
      source.resume();
      reject(error);
    };
    source.on('data', (chunk: Buffer) => {
      if (isEnded) return;
      if (!held.take(chunk.length)) {
        fail(new errors.NoRoomError());
        return;
      }
      size += chunk.length;
      chunks.push(chunk);
      if (size > maxBytes) fail(new errors.BodyTooLargeError(maxBytes));
    });
    source.once('end', () => {
      if (isEnded) return;
      isEnded = true;
      // Small bodies live as long as their call, which admission bounds.
      held.release(size);
      resolve(Buffer.concat(chunks, size));
    });
    source.once('error', fail);
    source.once('close', () => fail(new errors.CallerGoneError()));
  });
}
