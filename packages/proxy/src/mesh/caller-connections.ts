/** Connections of the callers: the calls pending on each, and how each of them ends. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as connectionLimit from '../connections/connection-limit.js';
import * as connectionTracker from '../connections/connection-tracker.js';
import * as callerLimits from './caller-limits.js';
import * as connectionLogs from './connection-log.js';
import type * as context from './context.js';

export interface CallerConnections {
  /**
   * Adds a call; returns false if its connection closes after an earlier response, so that the call
   * is ignored. `handleDisconnect` is called if the connection closes before the response is sent.
   */
  tryAddCall(response: http.ServerResponse, handleDisconnect: () => void): boolean;
  /** Records that a call has been handed on, so that its connection is not closed for others. */
  markStarted(response: http.ServerResponse): void;
  hasOtherCalls(response: http.ServerResponse): boolean;
  /**
   * Formats `Connection: close` for the response that ends its connection: while draining, one with no
   * other call pending; after `close`, the last of the pending ones, since no further pipelined calls
   * are accepted.
   */
  formatConnectionClose(response: http.ServerResponse): string[];
  /**
   * Handles bytes that are no request; returns whether a response may be written. While calls are
   * pending, the caller would take it as the response to the first of them; the connection ends after
   * the last.
   */
  handleInvalidRequest(socket: net.Socket): boolean;
  countOpenCalls(): number;
  /** Counts the connections that have been ended and that their callers have not closed yet. */
  countEndingConnections(): number;
  drain(): void;
  /** Stops accepting connections and closes idle ones. */
  close(): void;
  /** Closes all connections at once. */
  destroy(): void;
}

/** State of one connection. Pipelined calls get their responses in the order of arrival. */
interface Connection {
  /** In the order of the calls, each with the handler for a disconnect of the caller. */
  pendingResponses: Map<http.ServerResponse, () => void>;
  /** True once a call has been handed on and its response is not written. */
  hasStarted: boolean;
  /** True once a response with `Connection: close` has been written. */
  isClosing: boolean;
  /** True once bytes have arrived that are no request, or a head that took too long. */
  hasInvalidRequest: boolean;
}

/**
 * Tracks the connections of callers that `server` accepts from now on.
 *
 * @example
 * const connections = createCallerConnections(ctx, server);
 */
export function createCallerConnections(
  ctx: context.MeshContext,
  server: http.Server,
): CallerConnections {
  const maxConnections = callerLimits.computeMaxConnections(ctx.settings);
  const recordLimit = callerLimits.createLimitLog(ctx);
  const connectionLog = connectionLogs.createConnectionLog(ctx, 'callers', ({ headers }) =>
    headers[ctx.protocol.callIdHeader]?.toString(),
  );
  const tracker = connectionTracker.trackConnections(server, { onCut: connectionLog.logCut });
  const connections = new Map<net.Socket, Connection>();
  let isDraining = false;
  let isClosed = false;
  let openCalls = 0;

  const getConnection = (socket: net.Socket): Connection => {
    const existing = connections.get(socket);
    if (existing) return existing;
    const connection: Connection = {
      pendingResponses: new Map(),
      hasStarted: false,
      isClosing: false,
      hasInvalidRequest: false,
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      openCalls -= connection.pendingResponses.size;
      const disconnectHandlers = [...connection.pendingResponses.values()];
      connection.pendingResponses.clear();
      disconnectHandlers.forEach((handleDisconnect) => handleDisconnect());
    });
    return connection;
  };

  /** Returns whether a connection waits for the body of its only call. */
  const isReceivingBody = (socket: net.Socket): boolean => {
    const connection = connections.get(socket);
    return connection?.pendingResponses.size === 1 && !connection.hasStarted;
  };

  connectionLimit.limitConnections(server, tracker, {
    maxConnections,
    // Its calls may have run, so closing it for a new connection would lose their responses.
    mustStay: (state, socket) => state === 'pending' && !isReceivingBody(socket),
    onClosed: (open) =>
      recordLimit('connection-closed', 'caller-connections', { open, limit: maxConnections }),
  });

  return {
    tryAddCall(response, handleDisconnect) {
      const { socket } = response.req;
      const connection = getConnection(socket);
      const { pendingResponses } = connection;
      if (connection.isClosing || (isClosed && pendingResponses.size > 0)) return false;
      if (socket.destroyed) return false;
      if (pendingResponses.size >= ctx.settings.maxPendingCalls) {
        recordLimit('connection-closed', 'pending-calls', { pending: pendingResponses.size });
        socket.destroy();
        return false;
      }
      openCalls += 1;
      pendingResponses.set(response, handleDisconnect);
      tracker.trackResponse(response);
      const removeCall = (): void => {
        if (pendingResponses.delete(response)) openCalls -= 1;
        if (pendingResponses.size === 0) connection.hasStarted = false;
        if (connection.hasInvalidRequest && pendingResponses.size === 0) socket.destroySoon();
      };
      response.once('finish', removeCall);
      response.once('close', () => {
        removeCall();
        if (!response.writableFinished) handleDisconnect();
      });
      return true;
    },
    markStarted(response) {
      getConnection(response.req.socket).hasStarted = true;
    },
    hasOtherCalls: (response) => getConnection(response.req.socket).pendingResponses.size > 1,
    formatConnectionClose(response) {
      const connection = getConnection(response.req.socket);
      const { pendingResponses } = connection;
      const isLast = isClosed
        ? [...pendingResponses.keys()].at(-1) === response
        : pendingResponses.size <= 1;
      if (!isDraining || !isLast) return [];
      connection.isClosing = true;
      return ['Connection', 'close'];
    },
    handleInvalidRequest(socket) {
      const connection = connections.get(socket);
      const [pending] = connection?.pendingResponses.keys() ?? [];
      if (!connection || !pending) return true;
      // The body of the only pending call can no longer arrive.
      if (connection.pendingResponses.size === 1 && !pending.req.complete) socket.destroy();
      else connection.hasInvalidRequest = true;
      return false;
    },
    countOpenCalls: () => openCalls,
    countEndingConnections: () => tracker.countConnections().ending,
    drain() {
      isDraining = true;
      connectionLog.logStage('draining', tracker.countConnections());
    },
    close() {
      isClosed = true;
      connectionLog.logStage('closed', tracker.close());
    },
    destroy() {
      connectionLog.logStage('destroyed', tracker.destroy());
    },
  };
}
