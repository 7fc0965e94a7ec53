/** Ends connections by a reset. */
import type * as net from 'node:net';

/**
 * Resets a connection at once. `resetAndDestroy` ends the writing side first, so that the peer
 * sees a proper end of the stream before the reset; a crash has none.
 *
 * @example
 * resetSocket(request.socket);
 */
export function resetSocket(socket: net.Socket): void {
  Object.assign(socket, { resetAndClosing: true });
  socket.destroy();
}
