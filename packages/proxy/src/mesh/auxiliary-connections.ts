import type * as http from 'node:http';
import * as connectionLimit from '../connections/connection-limit.js';
import * as connectionTracker from '../connections/connection-tracker.js';
import * as constants from './constants.js';

/**
 * Limits the connections of a server for a few clients on this host. The oldest closes first, so that
 * nobody can keep the announcements of the target out.
 *
 * @example
 * limitAuxiliaryConnections(server, (open) => log.warn('connection-closed', { open }));
 */
export function limitAuxiliaryConnections(
  server: http.Server,
  onClosed: (open: number) => void,
): void {
  const tracker = connectionTracker.trackConnections(server);
  server.on('request', (_request, response) => tracker.trackResponse(response));
  connectionLimit.limitConnections(server, tracker, {
    maxConnections: constants.MAX_AUXILIARY_CONNECTIONS,
    mustStay: () => false,
    onClosed,
  });
}
