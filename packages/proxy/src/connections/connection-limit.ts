import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as connectionTracker from './connection-tracker.js';

export interface ConnectionLimit {
  maxConnections: number;
  /** Returns whether a connection must stay open although others need its place. */
  mustStay: (state: connectionTracker.ConnectionState, socket: net.Socket) => boolean;
  /** Called with the number of open connections whenever one is closed. */
  onClosed: (open: number) => void;
}

/**
 * Closes a connection for each new one beyond the limit: an ended or idle one, else the oldest that need
 * not stay, else the new one. Call it directly after `trackConnections`.
 *
 * @example
 * limitConnections(server, tracker, { maxConnections: 750, mustStay, onClosed });
 */
export function limitConnections(
  server: http.Server,
  tracker: connectionTracker.ConnectionTracker,
  { maxConnections, mustStay, onClosed }: ConnectionLimit,
): void {
  server.on('connection', (socket: net.Socket) => {
    const open = tracker.countOpen();
    if (open <= maxConnections) return;
    const closed =
      tracker.find((state) => state === 'ending' || state === 'idle') ??
      tracker.find((state, other) => other !== socket && !mustStay(state, other)) ??
      socket;
    onClosed(open);
    closed.destroy();
  });
}
