/** HTTP server for other processes: JSON-RPC requests on `/rpc`, and attempts on all other paths. */
import * as http from 'node:http';
import * as byteBudgets from '../byte-budget.js';
import * as connectionTracker from '../connections/connection-tracker.js';
import * as drainConnections from '../connections/drain-connections.js';
import type * as context from '../context.js';
import type * as targetEgress from './egress.js';
import * as egressHttp from './egress-http.js';

export interface PeerHttpServer extends context.Task {
  /** Counts the attempts whose response has not been sent completely. */
  countUnsent(): number;
}

const KEEP_ALIVE_MS = 60_000;
/** Time for written responses to reach their receivers when the process stops. */
const FLUSH_TIMEOUT_MS = 5_000;
const HTTP_UNAUTHORIZED = 401;

/**
 * Creates the server.
 *
 * @example
 * const peers = createPeerHttpServer(context, target.egress);
 * await peers.start();
 */
export function createPeerHttpServer(
  ctx: context.Context,
  egress: targetEgress.Egress,
): PeerHttpServer {
  const { clock, log, peerServer, settings } = ctx;
  const { maxHeldBytes } = settings.routing;
  const byteBudget = byteBudgets.createByteBudget(maxHeldBytes, [], clock);
  let unsentCount = 0;

  const handleAttempt = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    unsentCount += 1;
    response.once('close', () => {
      unsentCount -= 1;
    });
    egressHttp.handleAttempt(ctx, { egress, byteBudget }, request, response);
  };

  const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
  const connections = connectionTracker.trackConnections(server, {
    onCut: ({ responses, cause }) =>
      log.info('response-cut', { server: 'peers', cause, responses: responses.length }),
  });
  server.on('request', (request, response) => {
    connections.trackResponse(response);
    if (request.url === '/rpc') peerServer.handleRequest(request, response);
    else if (peerServer.isAuthenticated(request)) handleAttempt(request, response);
    else {
      request.resume();
      response.writeHead(HTTP_UNAUTHORIZED, { connection: 'close' }).end();
    }
  });

  return {
    countUnsent: () => unsentCount,
    async start() {
      const { listen } = settings;
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject).listen(listen.peerPort, listen.address, resolve);
      });
    },
    // Requests whose response has not begun are not waited for: the tasks that serve them have stopped.
    stop: () =>
      drainConnections.drainConnections(connections, {
        clock,
        timeoutMs: FLUSH_TIMEOUT_MS,
        isBusy: ({ ending, unsentBytes }) => unsentCount + ending + unsentBytes > 0,
      }),
  };
}
