import type * as stream from 'node:stream';
import * as byteCollector from './byte-collector.js';
import * as errors from './errors.js';

/**
 * Reads the body of a response, and closes its connection if it is longer than `maxBytes`.
 *
 * @throws ResponseTooLargeError if the body is too long, or the error of the stream if it fails.
 * @example
 * const body = await readResponseBody(response.body, 16_000_000);
 */
export async function readResponseBody(body: stream.Readable, maxBytes: number): Promise<Buffer> {
  const received = byteCollector.createByteCollector();
  // An exception in the loop destroys the stream.
  for await (const chunk of body as AsyncIterable<Buffer>) {
    received.append(chunk);
    if (received.getSizeBytes() > maxBytes) throw new errors.ResponseTooLargeError(maxBytes);
  }
  return received.concat();
}
