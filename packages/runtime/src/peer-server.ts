/** JSON-RPC server for requests between figshed processes, encoded as MessagePack over HTTP. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as msgpack from '@msgpack/msgpack';
import * as jsonRpc from 'json-rpc-2.0';
import * as byteCollector from './byte-collector.js';
import * as constants from './constants.js';
import * as messageCodec from './message-codec.js';

/** Handler of one method; it validates the parameters itself. */
export type PeerMethod = (params: unknown) => unknown;

export interface PeerServer {
  addMethods(methods: Readonly<Record<string, PeerMethod>>): void;
  /** Handles one HTTP request to `/rpc`. */
  handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void;
  /** Whether the request carries the fleet key in its authorization header. */
  isAuthenticated(request: http.IncomingMessage): boolean;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_TOO_LARGE = 413;

function computeSha256(text: string): Buffer {
  return crypto.createHash('sha256').update(text).digest();
}

/** Refuses a request; closes the connection, so that the rest of the body is not read. */
function sendStatus(response: http.ServerResponse, status: number): void {
  response.writeHead(status, { connection: 'close' }).end();
}

/**
 * Creates a server that refuses requests without the fleet key. Errors that methods throw are
 * passed to `reportError`.
 *
 * @example
 * const server = createPeerServer(fleetKey, (error) => reportError('rpc', error));
 * server.addMethods({ 'status.get': () => status });
 */
export function createPeerServer(
  fleetKey: string,
  reportError: (error: Error) => void,
): PeerServer {
  const expectedDigest = computeSha256(`Fleet ${fleetKey}`);
  const server = new jsonRpc.JSONRPCServer({
    errorListener: (message, data) =>
      reportError(data instanceof Error ? data : new Error(String(message))),
  });

  const isAuthenticated = (request: http.IncomingMessage): boolean =>
    crypto.timingSafeEqual(computeSha256(request.headers.authorization ?? ''), expectedDigest);

  const handleBody = async (body: Buffer, response: http.ServerResponse): Promise<void> => {
    let payload: jsonRpc.JSONRPCRequest;
    try {
      payload = messageCodec.decodeMessage(body) as jsonRpc.JSONRPCRequest;
    } catch {
      sendStatus(response, HTTP_BAD_REQUEST);
      return;
    }
    const result = await server.receive(payload);
    const bytes = msgpack.encode(result, { ignoreUndefined: true });
    response
      .writeHead(HTTP_OK, {
        'content-type': 'application/msgpack',
        'content-length': bytes.byteLength,
      })
      .end(bytes);
  };

  return {
    addMethods(methods) {
      Object.entries(methods).forEach(([name, method]) =>
        server.addMethod(name, (params: unknown) => method(params)),
      );
    },
    handleRequest(request, response) {
      if (!isAuthenticated(request)) {
        request.resume();
        sendStatus(response, HTTP_UNAUTHORIZED);
        return;
      }
      const body = byteCollector.createByteCollector();
      let isTooLarge = false;
      request.on('data', (chunk: Buffer) => {
        if (isTooLarge) return;
        isTooLarge = body.getSizeBytes() + chunk.length > constants.MAX_RPC_BODY_BYTES;
        if (isTooLarge) sendStatus(response, HTTP_TOO_LARGE);
        else body.append(chunk);
      });
      request.on('error', () => response.destroy());
      request.on('end', () => {
        if (!isTooLarge) handleBody(body.concat(), response).catch(() => response.destroy());
      });
    },
    isAuthenticated,
  };
}
