/** The small servers beside the call path: readiness and announcements of the target. */
import * as http from 'node:http';
import type * as mesh from '@figshed/core/mesh';
import * as bodies from './bodies.js';
import * as constants from './constants.js';
import type * as contextModule from './context.js';
import type * as targetPort from './target-port.js';
import type * as types from './types.js';

/** A server that can be stopped. */
export interface SideServer {
  start(): Promise<void>;
  stop(): void;
}

/** Announcements are a few hundred bytes. */
const MAX_ANNOUNCEMENT_BYTES = 16_384;

function createSideServer(
  endpoint: { address: string; port: number },
  handler: http.RequestListener,
): SideServer {
  const server = http.createServer({ keepAliveTimeout: constants.PEER_SERVER_IDLE_MS }, handler);
  return {
    async start() {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject).listen(endpoint.port, endpoint.address, resolve);
      });
    },
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/**
 * Creates the server that tells whether this process takes calls.
 *
 * @example
 * createReadyServer(ctx, () => true);
 */
export function createReadyServer(
  ctx: contextModule.MeshContext,
  isReady: () => boolean,
): SideServer {
  return createSideServer(ctx.settings.ready, (request, response) => {
    request.resume();
    const isKnown = (request.url ?? '').split('?')[0] === ctx.protocol.readyPath;
    const status = isReady() ? constants.HTTP.ok : constants.HTTP.unavailable;
    response.writeHead(isKnown ? status : constants.HTTP.notFound).end();
  });
}

type Handlers = {
  [K in types.TargetMessage['type']]: (message: Extract<types.TargetMessage, { type: K }>) => {
    status: number;
    verdict: mesh.GateVerdict | K;
  };
};

/**
 * Creates the server at which the target announces itself. Its answer acknowledges the message,
 * so the gate has been set before it is written.
 *
 * @example
 * createAnnouncementServer(ctx, announcements, target, held);
 */
export function createAnnouncementServer(
  ctx: contextModule.MeshContext,
  announcements: types.TargetAnnouncements,
  target: targetPort.TargetPort,
  held: bodies.HeldBytes,
): SideServer {
  const { log, metrics, settings } = ctx;
  const own = `${settings.target.address}:${settings.target.port}`;

  const handlers: Handlers = {
    announce(message) {
      if (message.address !== own) {
        log.warn('announcement-refused', { finding: `address ${message.address} is not ${own}` });
        return { status: constants.HTTP.ok, verdict: 'stale' };
      }
      return { status: constants.HTTP.ok, verdict: target.announce(message.announcement) };
    },
    deregister: (message) => ({
      status: constants.HTTP.ok,
      verdict: target.deregister(message.id, message.bornAt),
    }),
    unreadable(message) {
      log.warn('announcement-refused', { finding: message.finding });
      return { status: constants.HTTP.badRequest, verdict: 'unreadable' };
    },
    'unknown-path': () => ({ status: constants.HTTP.notFound, verdict: 'unknown-path' }),
  };

  return createSideServer(settings.announcements, (request, response) => {
    bodies
      .readBody(request, held, MAX_ANNOUNCEMENT_BYTES)
      .then((body) => {
        const path = (request.url ?? '').split('?')[0] ?? '';
        const message = announcements.read(request.method ?? '', path, body.toString());
        const handler = handlers[message.type] as (item: types.TargetMessage) => {
          status: number;
          verdict: string;
        };
        const { status, verdict } = handler(message);
        metrics.count('announcements_total', { verdict });
        response
          .writeHead(status, { 'content-type': 'application/json' })
          .end(status === constants.HTTP.ok ? '{}' : undefined);
      })
      .catch((error: Error) => {
        log.warn('announcement-refused', { finding: error.message });
        response.writeHead(constants.HTTP.badRequest).end();
      });
  });
}
