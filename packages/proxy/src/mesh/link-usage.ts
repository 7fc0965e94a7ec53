/** Measures what a process sends over the link of its host. */
import type * as net from 'node:net';
import type * as core from '@figshed/core';

export interface LinkUsage {
  /** Counts the bytes that are written to a socket from now on; a socket is counted once. */
  trackSocket: (socket: net.Socket) => void;
  /** Sets the function that receives the bytes of each interval and its length. */
  onTraffic(listener: (bytes: number, elapsedMs: number) => void): void;
  start(): void;
  stop(): void;
}

const INTERVAL_MS = 250;

/**
 * Creates a measurement without sockets. Connections to the target on the same host and datagrams are
 * not tracked.
 *
 * @example
 * const linkUsage = createLinkUsage(clock);
 * server.on('connection', linkUsage.trackSocket);
 */
export function createLinkUsage(clock: core.Clock): LinkUsage {
  /** Bytes of each open socket that have been reported. */
  const reportedBytes = new Map<net.Socket, number>();
  let closedBytes = 0;
  let lastAt = 0;
  let timer: NodeJS.Timeout | undefined;
  let receiveTraffic: (bytes: number, elapsedMs: number) => void = () => undefined;

  const takeBytes = (socket: net.Socket): number => {
    const bytes = socket.bytesWritten - (reportedBytes.get(socket) ?? 0);
    reportedBytes.set(socket, socket.bytesWritten);
    return bytes;
  };

  const report = (): void => {
    const openBytes = [...reportedBytes.keys()].reduce((sum, socket) => sum + takeBytes(socket), 0);
    const now = clock.monotonic();
    receiveTraffic(openBytes + closedBytes, now - lastAt);
    closedBytes = 0;
    lastAt = now;
  };

  return {
    trackSocket(socket) {
      if (reportedBytes.has(socket)) return;
      reportedBytes.set(socket, socket.bytesWritten);
      socket.once('close', () => {
        closedBytes += takeBytes(socket);
        reportedBytes.delete(socket);
      });
    },
    onTraffic(listener) {
      receiveTraffic = listener;
    },
    start() {
      lastAt = clock.monotonic();
      timer = setInterval(report, INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
}
