/** HTTP servers outside the call path: readiness, and announcements of the target. */
import * as http from 'node:http';
import type * as mesh from '@figshed/core/mesh';
import type * as byteBudgets from '../byte-budget.js';
import * as auxiliaryConnections from './auxiliary-connections.js';
import * as bodyReader from './body-reader.js';
import * as callerLimits from './caller-limits.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import type * as localTarget from './local-target.js';
import type * as types from './types.js';

export interface AuxiliaryServer {
  start(): Promise<void>;
  stop(): void;
}

/** Limit for the body of an announcement, which usually has a few hundred bytes. */
const MAX_ANNOUNCEMENT_BYTES = 16_384;

function createAuxiliaryServer(
  ctx: context.MeshContext,
  endpoint: { address: string; port: number },
  handler: http.RequestListener,
): AuxiliaryServer {
  const server = http.createServer(
    { keepAliveTimeout: constants.PEER_SERVER_IDLE_TIMEOUT_MS },
    handler,
  );
  const recordLimit = callerLimits.createLimitLog(ctx);
  auxiliaryConnections.limitAuxiliaryConnections(server, (open) =>
    recordLimit('connection-closed', 'auxiliary-connections', { open, port: endpoint.port }),
  );
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
 * Creates the server that reports whether this process is ready to accept calls.
 *
 * @example
 * createReadyServer(ctx, () => true);
 */
export function createReadyServer(
  ctx: context.MeshContext,
  isReady: () => boolean,
): AuxiliaryServer {
  return createAuxiliaryServer(ctx, ctx.settings.ready, (request, response) => {
    bodyReader.drainBody(request);
    const isReadyPath = (request.url ?? '').split('?')[0] === ctx.protocol.readyPath;
    const status = isReady() ? constants.HTTP.ok : constants.HTTP.unavailable;
    response.writeHead(isReadyPath ? status : constants.HTTP.notFound).end();
  });
}

type MessageHandlers = {
  [K in types.TargetMessage['type']]: (message: Extract<types.TargetMessage, { type: K }>) => {
    status: number;
    verdict: mesh.GateVerdict | K;
  };
};

/**
 * Creates the server at which the target announces itself. Its response acknowledges the message, so
 * the message is applied to the target's gate before the response is written.
 *
 * @example
 * createAnnouncementServer(ctx, announcementParser, target, byteBudget);
 */
export function createAnnouncementServer(
  ctx: context.MeshContext,
  announcementParser: types.AnnouncementParser,
  target: localTarget.LocalTarget,
  byteBudget: byteBudgets.ByteBudget,
): AuxiliaryServer {
  const { log, metrics, settings } = ctx;
  const expectedAddress = `${settings.target.address}:${settings.target.port}`;

  const handlers: MessageHandlers = {
    announce(message) {
      const { address, announcement } = message;
      // An announcement of another writer; it must not replace the target of this host.
      if (address !== expectedAddress || announcement.service !== settings.service) {
        log.warn('announcement-refused', {
          finding: `announced ${announcement.service} at ${address} is not the target ${settings.service} at ${expectedAddress} of the settings`,
        });
        return { status: constants.HTTP.ok, verdict: 'stale' };
      }
      return { status: constants.HTTP.ok, verdict: target.applyAnnouncement(announcement) };
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

  return createAuxiliaryServer(ctx, settings.announcements, (request, response) => {
    const holding = byteBudget.open(MAX_ANNOUNCEMENT_BYTES);
    bodyReader
      .readBlocks(request, holding, MAX_ANNOUNCEMENT_BYTES)
      .then((collector) => {
        const body = collector.concat();
        holding.release();
        const path = (request.url ?? '').split('?')[0] ?? '';
        const message = announcementParser.parse(request.method ?? '', path, body.toString());
        const handler = handlers[message.type] as (message: types.TargetMessage) => {
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
