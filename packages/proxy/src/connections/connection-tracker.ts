/** Tracks the connections of an HTTP server, so that ending them cuts no response. */
import type * as http from 'node:http';
import * as net from 'node:net';

/** A connection that closed before all its responses had been handed to the operating system. */
export interface CutConnection {
  /** The unfinished responses, in the order of their requests. */
  responses: readonly http.ServerResponse[];
  /** Which side closed the connection, or the code of its error. */
  cause: string;
}

export interface ConnectionCounts {
  /** Connections on which a request has been served and nothing is under way. */
  idle: number;
  /** Connections with a response that is not yet handed to the operating system. */
  pending: number;
  /** Connections without a pending response on which a part of a request, or nothing, has arrived. */
  receiving: number;
  /** Connections that have been ended and whose peer has not closed them yet. */
  ending: number;
  /** Upper bound of the bytes that were written but not handed to the operating system. */
  unsentBytes: number;
}

export type ConnectionState = Exclude<keyof ConnectionCounts, 'unsentBytes'>;

export interface ConnectionTracker {
  /**
   * Tracks a response that will be sent. Call it when its request arrives, and not for requests that
   * are ignored.
   */
  trackResponse(response: http.ServerResponse): void;
  countConnections(): ConnectionCounts;
  countOpen(): number;
  /** Returns the first connection, in the order of acceptance, for which `matches` returns true. */
  find(matches: (state: ConnectionState, socket: net.Socket) => boolean): net.Socket | undefined;
  /**
   * Stops listening and ends the idle connections. All others stay open; each ends once its last
   * tracked response has been sent. Returns the counts before.
   */
  close(): ConnectionCounts;
  /** Closes all connections at once, also those with unsent bytes. Returns the counts before. */
  destroy(): ConnectionCounts;
}

export interface ConnectionTrackerOptions {
  onCut?: (connection: CutConnection) => void;
}

interface Connection {
  pendingResponses: Set<http.ServerResponse>;
  /** Value of `socket.bytesRead` when the last tracked request had arrived; 0 before the first. */
  requestBytes: number;
}

/** How long an ended connection still reads what its peer sends; as nginx's `lingering_timeout`. */
const LINGER_TIMEOUT_MS = 5_000;
/** Bytes that are read from an ended connection; as many as of a request body that is not used. */
const MAX_DISCARDED_BYTES = 1_048_576;

/**
 * Ends a connection after the bytes already written, and discards what arrives until the peer closes
 * it or exceeds a limit. If it was closed with unread bytes, or received some afterwards, the
 * operating system would reset it and drop the bytes that the peer has not received yet.
 */
function endAfterUnsentBytes(socket: net.Socket): void {
  if (socket.destroyed || socket.writableEnded) return;
  const maxBytes = socket.bytesRead + MAX_DISCARDED_BYTES;
  socket.removeAllListeners('data').on('data', () => {
    if (socket.bytesRead > maxBytes) socket.destroy();
  });
  socket.resume();
  socket.end(() => {
    const timer = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS).unref();
    socket.once('close', () => clearTimeout(timer));
  });
}

function describeCause(socket: net.Socket): string {
  const { code } = (socket.errored ?? {}) as NodeJS.ErrnoException;
  return code ?? (socket.readableEnded ? 'closed-by-peer' : 'closed-here');
}

/**
 * Tracks the connections that `server` accepts from now on; call it before the server listens. Its
 * `close` and `destroy` replace those of the server: Node.js takes a connection for idle as soon as
 * `response.end()` has been called, and `server.close()` then destroys it with the bytes that have not
 * been sent.
 *
 * @example
 * const connections = trackConnections(server, { onCut: ({ cause }) => log.warn('cut', { cause }) });
 * server.on('request', (request, response) => {
 *   connections.trackResponse(response);
 *   response.end('hello');
 * });
 */
export function trackConnections(
  server: http.Server,
  options: ConnectionTrackerOptions = {},
): ConnectionTracker {
  const connections = new Map<net.Socket, Connection>();
  let isClosed = false;

  const isIdle = (socket: net.Socket, connection: Connection): boolean =>
    connection.pendingResponses.size === 0 &&
    !socket.writableEnded &&
    socket.writableLength === 0 &&
    connection.requestBytes > 0 &&
    connection.requestBytes === socket.bytesRead;

  server.on('connection', (socket: net.Socket) => {
    const connection: Connection = { pendingResponses: new Set(), requestBytes: 0 };
    connections.set(socket, connection);
    // Called by Node.js after a response with `Connection: close`.
    socket.destroySoon = () => endAfterUnsentBytes(socket);
    socket.once('close', () => {
      connections.delete(socket);
      const responses = [...connection.pendingResponses];
      if (responses.length === 0) return;
      options.onCut?.({ responses, cause: describeCause(socket) });
    });
  });

  // The idle time-out of a kept connection; Node.js destroys the socket if there is no listener.
  server.on('timeout', endAfterUnsentBytes);

  const getState = (socket: net.Socket, connection: Connection): ConnectionState => {
    if (connection.pendingResponses.size > 0 || socket.writableLength > 0) return 'pending';
    if (socket.writableEnded) return 'ending';
    return isIdle(socket, connection) ? 'idle' : 'receiving';
  };

  const countConnections = (): ConnectionCounts => {
    const counts = { idle: 0, pending: 0, receiving: 0, ending: 0, unsentBytes: 0 };
    connections.forEach((connection, socket) => {
      counts[getState(socket, connection)] += 1;
      counts.unsentBytes += socket.writableLength;
    });
    return counts;
  };

  return {
    trackResponse(response) {
      const { req: request } = response;
      const { socket } = request;
      const connection = connections.get(socket);
      if (!connection) return;
      const recordRequestBytes = (): void => {
        connection.requestBytes = socket.bytesRead;
      };
      recordRequestBytes();
      request.once('end', recordRequestBytes);
      connection.pendingResponses.add(response);
      response.once('finish', () => {
        // Node.js also emits this event when the socket was destroyed with unsent bytes.
        if (socket.destroyed) return;
        connection.pendingResponses.delete(response);
        if (isClosed && connection.pendingResponses.size === 0) endAfterUnsentBytes(socket);
      });
    },
    countConnections,
    countOpen: () => connections.size,
    find: (matches) =>
      [...connections].find(([socket, connection]) =>
        matches(getState(socket, connection), socket),
      )?.[0],
    close() {
      const counts = countConnections();
      isClosed = true;
      // `http.Server.close` would also destroy connections with unsent bytes.
      net.Server.prototype.close.call(server);
      connections.forEach((connection, socket) => {
        if (isIdle(socket, connection)) endAfterUnsentBytes(socket);
      });
      return counts;
    },
    destroy() {
      const counts = countConnections();
      if (!isClosed) net.Server.prototype.close.call(server);
      isClosed = true;
      connections.forEach((_, socket) => socket.destroy());
      return counts;
    },
  };
}
