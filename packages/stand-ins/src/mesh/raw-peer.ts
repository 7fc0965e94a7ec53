/** Stand-in for a peer proxy whose responses an HTTP server cannot send. */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as rawResponses from './raw-responses.js';

export interface RawPeer {
  close(): Promise<void>;
}

const HTTP_UNAVAILABLE = 503;

/**
 * Starts a peer whose connections `responder` takes over with the first attempt. It has no
 * configuration for other processes.
 *
 * @example
 * const peer = await startRawPeer({ address: '127.0.0.2', port: 7600 }, responder);
 */
export async function startRawPeer(
  endpoint: { address: string; port: number },
  responder: rawResponses.RawResponder,
): Promise<RawPeer> {
  const sockets = new Set<net.Socket>();
  const handleRequest: http.RequestListener = (request, response) => {
    const callId = request.headers['figshed-request-id'];
    if (typeof callId !== 'string') {
      response.writeHead(HTTP_UNAVAILABLE).end();
      return;
    }
    responder({ socket: request.socket, callId, signature: '', recordRun: () => undefined });
  };
  const server = http.createServer(handleRequest).on('checkContinue', handleRequest);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(endpoint.port, endpoint.address, resolve);
  });
  return {
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
}
