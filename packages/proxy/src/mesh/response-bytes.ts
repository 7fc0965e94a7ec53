/** Limits on the bytes that are received outside of a response body that is in use. */
import type * as http from 'node:http';

/** Bytes before the end of a head: four times what Node.js accepts as one head, for 1xx responses. */
const MAX_HEAD_BYTES = 65_536;
/** Bytes of a body that are read only to reuse the connection. */
const MAX_DISCARDED_BYTES = 65_536;

/**
 * Calls `onExceeded` if a request receives more than MAX_HEAD_BYTES without a final response.
 * Node.js limits one head, but not blank lines before it or the number of 1xx responses.
 *
 * @example
 * watchHeadBytes(request, () => request.destroy(new Error('head-too-large')));
 */
export function watchHeadBytes(request: http.ClientRequest, onExceeded: () => void): void {
  request.once('socket', (socket) => {
    let receivedBytes = 0;
    let isWatching = true;
    const countBytes = (chunk: Buffer): void => {
      // Node.js parses a chunk first, so the bytes of one with the rest of the head do not count.
      if (!isWatching) return;
      receivedBytes += chunk.length;
      if (receivedBytes <= MAX_HEAD_BYTES) return;
      isWatching = false;
      onExceeded();
    };
    const stopWatching = (): void => {
      isWatching = false;
      socket.off('data', countBytes);
    };
    socket.on('data', countBytes);
    request.once('response', stopWatching);
    request.once('close', stopWatching);
  });
}

/**
 * Reads a body to its end, so that the connection can be reused, or closes the connection once the
 * body exceeds MAX_DISCARDED_BYTES.
 *
 * @example
 * discardBody(message);
 */
export function discardBody(message: http.IncomingMessage): void {
  let receivedBytes = 0;
  message.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_DISCARDED_BYTES) message.destroy();
  });
}
