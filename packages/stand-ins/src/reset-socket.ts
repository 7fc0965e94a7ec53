import type * as net from 'node:net';

/**
 * Closes a TCP connection with RST and without FIN, as a crash can. Node's `resetAndDestroy` ends
 * the writing side first, so the peer reads an orderly end of the stream before the reset.
 *
 * @example
 * resetSocket(request.socket);
 */
export function resetSocket(socket: net.Socket): void {
  Object.assign(socket, { resetAndClosing: true });
  socket.destroy();
}
