/** Takes calls from callers on this host and writes what becomes of them. */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as mesh from '@figshed/core/mesh';
import * as answerModule from './answer.js';
import * as bodies from './bodies.js';
import type * as callRunner from './call-runner.js';
import * as constants from './constants.js';
import type * as contextModule from './context.js';
import * as errors from './errors.js';
import * as headersModule from './headers.js';

/** The server for callers. */
export interface CallerServer {
  start(): Promise<void>;
  setLimits(limits: mesh.CallerLimits): void;
  /** Answers end their connections from now on; new calls are still taken. */
  drain(): void;
  /** Takes no new connections and closes the idle ones. */
  close(): void;
  openCalls(): number;
  destroy(): void;
}

/** What the server needs. */
export interface CallerServerInput {
  ctx: contextModule.MeshContext;
  getRoutes: () => mesh.RouteTable | undefined;
  runner: callRunner.CallRunner;
  /** Tells whether a call was made by the target on this host for one that it runs. */
  isNested: (callId: string) => boolean;
  held: bodies.HeldBytes;
}

/** Calls of one connection that are not answered yet; answers go out in the order of the calls. */
interface Connection {
  /** What tells each call that its caller left, by its response, in the order of the calls. */
  open: Map<http.ServerResponse, () => void>;
  /** True once an answer has said that the connection closes. */
  isClosing: boolean;
}

/** Largest header that a caller may send before the first configuration tells. */
const MAX_HEADER_BYTES = 16_384;
/** Room in which a caller that has just sent is not cut off, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Creates the server; it listens after `start`.
 *
 * @example
 * const callers = createCallerServer({ ctx, getRoutes, runner, held });
 */
export function createCallerServer(input: CallerServerInput): CallerServer {
  const { ctx, getRoutes, runner, isNested, held } = input;
  const { settings, clock, log, metrics, protocol } = ctx;
  const connections = new Map<net.Socket, Connection>();
  const dropped = new Set([
    protocol.deadlineMs,
    protocol.expectInstance,
    protocol.callerService,
    protocol.notRun,
  ]);
  let isDraining = false;
  let isClosed = false;
  let maxBodyBytes = constants.MAX_HELD_BYTES;
  let openCalls = 0;

  const findConnection = (socket: net.Socket): Connection => {
    const known = connections.get(socket);
    if (known) return known;
    const connection: Connection = { open: new Map(), isClosing: false };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      openCalls -= connection.open.size;
      const leaving = [...connection.open.values()];
      connection.open.clear();
      leaving.forEach((leave) => leave());
    });
    return connection;
  };

  /**
   * Ends the connection with this answer: while draining when no other call waits on it, and after
   * `close`, when no more calls are taken behind those that wait, with the last of them.
   */
  const formatClosing = (connection: Connection, response: http.ServerResponse): string[] => {
    const { open } = connection;
    const isLast = isClosed ? [...open.keys()].at(-1) === response : open.size <= 1;
    if (!isDraining || !isLast) return [];
    connection.isClosing = true;
    return ['Connection', 'close'];
  };

  const answerOwn = (
    response: http.ServerResponse,
    connection: Connection,
    status: number,
    retryAfterMs = 0,
  ): void => {
    if (response.destroyed || response.headersSent) return;
    metrics.count('answers_own_total', { status: String(status) });
    response.writeHead(status, [
      ...(retryAfterMs > 0 ? ['Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3)] : []),
      ...formatClosing(connection, response),
      'Content-Length',
      '0',
    ]);
    response.end();
  };

  const createReply = (
    callId: string,
    response: http.ServerResponse,
    connection: Connection,
  ): callRunner.CallReply => ({
    deliver(answer) {
      if (response.destroyed) return;
      response.writeHead(answer.status, [
        ...answer.headers,
        ...formatClosing(connection, response),
        'Content-Length',
        String(answer.body.length),
      ]);
      response.end(answer.body);
    },
    stream(answer, received) {
      answerModule.passOn(answer, response, {
        headers: formatClosing(connection, response),
        received,
        onCut: () => log.warn('answer-cut', { call: callId }),
      });
    },
    refuse(status, retryAfterMs) {
      answerOwn(response, connection, status, retryAfterMs);
    },
    abort() {
      response.destroy();
    },
  });

  const bodyErrors = new Map<unknown, number>([
    [errors.BodyTooLargeError, constants.HTTP.payloadTooLarge],
    [errors.NoRoomError, constants.HTTP.unavailable],
  ]);

  const readDeadlineMs = (request: http.IncomingMessage): number => {
    const value = Number(request.headers[protocol.deadlineMs]);
    return Number.isFinite(value) && value > 0 ? value : constants.DEFAULT_DEADLINE_MS;
  };

  const findRoute = (request: http.IncomingMessage): mesh.RoutePolicy | number => {
    const routes = getRoutes();
    if (!routes) return constants.HTTP.unavailable;
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    return routes.find(request.headers.host ?? '', path) ?? constants.HTTP.notFound;
  };

  const handle = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    const receivedAt = clock.monotonic();
    const { socket } = request;
    const connection = findConnection(socket);
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (connection.isClosing || (isClosed && connection.open.size > 0)) {
      // The connection ends with an earlier answer; the caller sends this call again elsewhere.
      request.resume();
      return;
    }
    openCalls += 1;
    let leave = (): void => undefined;
    connection.open.set(response, () => leave());
    const forget = (): void => {
      if (connection.open.delete(response)) openCalls -= 1;
      // The last answer had begun before the stop, so that it could not say so.
      if (isClosed && connection.open.size === 0 && !connection.isClosing) socket.end();
    };
    response.once('finish', forget);
    response.once('close', () => {
      forget();
      if (!response.writableFinished) leave();
    });

    const callId = request.headers[protocol.callId];
    const route = findRoute(request);
    if (typeof callId !== 'string' || typeof route === 'number') {
      request.resume();
      const status = typeof route === 'number' ? route : constants.HTTP.badRequest;
      log.info('call-refused', {
        call: typeof callId === 'string' ? callId : undefined,
        status,
        requestHost: request.headers.host,
        path: request.url,
        version: getRoutes()?.config.version,
      });
      answerOwn(response, connection, status);
      return;
    }
    bodies
      .readBody(request, held, maxBodyBytes)
      .then((body) => {
        leave = runner.run(
          {
            callId,
            route,
            version: getRoutes()?.config.version ?? 0,
            method: request.method ?? 'GET',
            path: request.url ?? '/',
            headers: [
              ...headersModule.copyHeaders(request.rawHeaders, dropped),
              protocol.callerService,
              settings.service,
            ],
            body,
            isNested: isNested(callId),
            receivedAt,
            deadlineAt: receivedAt + readDeadlineMs(request),
          },
          createReply(callId, response, connection),
        );
        if (socket.destroyed) leave();
      })
      .catch((error: Error) => {
        const status = bodyErrors.get(error.constructor);
        log.info('call-refused', { call: callId, status, message: error.message });
        if (status !== undefined) answerOwn(response, connection, status);
      });
  };

  const server = http.createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true },
    handle,
  );

  return {
    async start() {
      const { address, port } = settings.callers;
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject).listen(port, address, resolve);
      });
    },
    setLimits(limits) {
      maxBodyBytes = Math.min(limits.maxBodyBytes, constants.MAX_HELD_BYTES);
      server.headersTimeout = limits.headerTimeoutMs;
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    },
    drain() {
      isDraining = true;
    },
    close() {
      isClosed = true;
      server.close();
      server.closeIdleConnections();
    },
    openCalls: () => openCalls,
    destroy() {
      server.closeAllConnections();
    },
  };
}
