import * as http from 'node:http';
import type * as net from 'node:net';
import type * as mesh from '@figshed/core/mesh';
import * as writableHeads from '../writable-heads.js';
import * as upstreamResponse from './upstream-response.js';
import type * as byteBudgets from '../byte-budget.js';
import * as bodyReader from './body-reader.js';
import type * as calls from './call.js';
import type * as callerAdmissions from './caller-admission.js';
import * as callGuards from './call-guard.js';
import * as callerLimits from './caller-limits.js';
import * as callerConnections from './caller-connections.js';
import type * as callRunner from './call-runner.js';
import * as constants from './constants.js';
import type * as configurationTask from './configuration-task.js';
import type * as context from './context.js';
import * as errors from './errors.js';
import type * as linkUsages from './link-usage.js';
import * as meshHeaders from './mesh-headers.js';
import * as requestBodies from './request-body.js';

/** HTTP server for the callers on this host. */
export interface CallerServer {
  start(): Promise<void>;
  setLimits(limits: mesh.CallerLimits): void;
  /**
   * From now on, each connection closes with the next response that leaves no call pending on it. New
   * calls are still accepted, with `respondBefore`, a monotonic time in milliseconds, as the latest
   * deadline.
   */
  drain(respondBefore: number): void;
  /** Stops accepting connections, closes idle ones and rejects the calls of all others. */
  close(): void;
  countOpenCalls(): number;
  /** Counts the connections that have been ended and that their callers have not closed yet. */
  countEndingConnections(): number;
  /** Closes all connections at once. */
  destroy(): void;
}

export interface CallerServerInput {
  ctx: context.MeshContext;
  linkUsage: linkUsages.LinkUsage;
  getRoutes: () => mesh.RouteTable | undefined;
  configuration: Pick<configurationTask.ConfigurationTask, 'checkUnknownRoute' | 'getConfirmation'>;
  admission: callerAdmissions.CallerAdmission;
  runner: callRunner.CallRunner;
  /** Returns whether the target on this host made the call as part of another one it is running. */
  isNested: (callId: string) => boolean;
  byteBudget: byteBudgets.ByteBudget;
}

/** Fixed when the server is created; `maxHeaderBytes` of the configuration is not applied. */
const MAX_HEADER_BYTES = 16_384;
/** Added to the idle time-out, so that a request in transit does not reach a closed connection. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Least time until a call that was refused for lack of memory may be repeated; twice that at most. */
const MEMORY_RETRY_MS = 500;
/** A call on a route that may exist is rejected as not run. */
const statusByVerdict: Record<mesh.UnknownRouteVerdict['type'], number> = {
  absent: constants.HTTP.notFound,
  undecided: constants.HTTP.unavailable,
};

/**
 * Creates the server; it listens after `start`.
 *
 * @example
 * const callers = createCallerServer(input);
 */
export function createCallerServer(input: CallerServerInput): CallerServer {
  const { ctx, linkUsage, getRoutes, configuration, admission, runner, isNested, byteBudget } =
    input;
  const { settings, clock, log, metrics, protocol } = ctx;
  const server = http.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    requestTimeout: 0,
    noDelay: true,
  });
  server.on('connection', linkUsage.createTracker('callers'));
  const connections = callerConnections.createCallerConnections(ctx, server);
  const recordLimit = callerLimits.createLimitLog(ctx);
  const droppedHeaders = new Set([
    protocol.deadlineHeader,
    protocol.expectedInstanceHeader,
    protocol.callerServiceHeader,
    protocol.notExecutedHeader,
  ]);
  const droppedHeadersWithAccounts = new Set([
    ...droppedHeaders,
    protocol.keyHeader,
    protocol.accountHeader,
  ]);
  let isClosed = false;
  let respondBefore = Number.POSITIVE_INFINITY;
  let maxBodyBytes = Number.POSITIVE_INFINITY;

  const sendEmptyResponse = (
    response: http.ServerResponse,
    status: number,
    retryAfterMs = 0,
  ): void => {
    if (response.destroyed || response.headersSent) return;
    metrics.count('answers_own_total', { status: String(status) });
    response.writeHead(status, [
      ...(retryAfterMs > 0 ? ['Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3)] : []),
      ...(status === constants.HTTP.unauthorized ? ['WWW-Authenticate', protocol.keyScheme] : []),
      ...connections.formatConnectionClose(response),
      'Content-Length',
      '0',
    ]);
    response.flushHeaders();
    requestBodies.endAfterBody(response.req, response);
  };

  const sendFailure = (response: http.ServerResponse): void => {
    if (!response.headersSent) sendEmptyResponse(response, constants.HTTP.badGateway);
    else if (!response.writableEnded) response.destroy();
  };

  const createResponder = (
    callId: string,
    response: http.ServerResponse,
    holding: byteBudgets.Holding,
  ): calls.CallResponder => ({
    deliver(buffered) {
      if (response.destroyed) return;
      // Kept until the caller has read it; one that does not read is ended if the memory is needed.
      holding.charge(buffered.body.length);
      const { socket } = response.req;
      holding.setEnd(
        () => {
          recordLimit('connection-closed', 'unread-response', { call: callId });
          response.destroy();
          holding.release();
        },
        () => socket.bytesWritten - socket.writableLength,
      );
      response.writeHead(buffered.status, [
        ...buffered.headers,
        ...connections.formatConnectionClose(response),
        ...buffered.framing,
      ]);
      response.write(buffered.body);
      requestBodies.endAfterBody(response.req, response);
    },
    stream(upstream, receivedChunks) {
      holding.charge(constants.STREAMED_BODY_BYTES);
      upstreamResponse.streamResponse(upstream, response, {
        headers: connections.formatConnectionClose(response),
        receivedChunks,
        onTruncated: () =>
          log.warn('answer-cut', { call: callId, cause: upstream.message.errored?.message }),
      });
    },
    refuse(status, retryAfterMs) {
      sendEmptyResponse(response, status, retryAfterMs);
    },
    abort() {
      response.destroy();
    },
    fail: () => sendFailure(response),
    isConnected: () => !response.destroyed && !response.req.socket.readableEnded,
  });

  const statusByBodyError = new Map<unknown, number>([
    [errors.BodyTooLargeError, constants.HTTP.payloadTooLarge],
  ]);

  const statusByParseError = new Map<string | undefined, number>([
    ['HPE_HEADER_OVERFLOW', constants.HTTP.headersTooLarge],
    ['ERR_HTTP_REQUEST_TIMEOUT', constants.HTTP.requestTimeout],
  ]);

  const readDeadlineMs = (request: http.IncomingMessage): number => {
    const value = Number(request.headers[protocol.deadlineHeader]);
    return Number.isFinite(value) && value > 0 ? value : constants.DEFAULT_DEADLINE_MS;
  };

  const findRoute = (request: http.IncomingMessage): mesh.RoutePolicy | undefined => {
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    return getRoutes()?.findRoute(request.headers.host ?? '', path);
  };

  const formatCallId = (header: string | string[] | undefined): string | undefined =>
    typeof header === 'string' ? header : undefined;

  const rejectUnrouted = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    route: mesh.RoutePolicy | undefined,
  ): void => {
    const callId = request.headers[protocol.callIdHeader];
    const verdict = route ? undefined : configuration.checkUnknownRoute();
    const status = verdict ? statusByVerdict[verdict.type] : constants.HTTP.badRequest;
    log.info('call-refused', {
      call: formatCallId(callId),
      status,
      requestHost: request.headers.host,
      path: request.url,
      version: getRoutes()?.config.version,
      ...configuration.getConfirmation(),
    });
    sendEmptyResponse(
      response,
      status,
      verdict?.type === 'undecided' ? verdict.retryAfterMs : undefined,
    );
  };

  const rejectUnadmitted = (
    callId: string,
    response: http.ServerResponse,
    version: number,
    refusal: Extract<callerAdmissions.AdmissionVerdict, { type: 'refused' }>,
  ): void => {
    const { status, cause, retryAfterMs, account, proofAgeMs } = refusal;
    metrics.count('calls_unadmitted_total', { cause });
    log.info('call-refused', {
      call: callId,
      status,
      cause,
      account,
      version,
      retryAfterMs: Math.round(retryAfterMs),
      proofAgeMs,
      ...refusal.quota,
      ...configuration.getConfirmation(),
    });
    sendEmptyResponse(response, status, retryAfterMs);
  };

  const handleRequest = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    guard: callGuards.CallGuard,
  ): void => {
    const receivedAt = clock.monotonic();
    const { socket } = request;
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    bodyReader.drainAfterResponse(request, response);
    const holding = byteBudget.open(
      constants.CALL_BYTES + requestBodies.estimateBodyBytes(request),
    );
    let handleDisconnect = (): void => undefined;
    const releaseCall = (): void => {
      handleDisconnect();
      holding.release();
    };
    if (!connections.tryAddCall(response, releaseCall)) {
      // The connection closes after an earlier response; the caller can repeat this call on another.
      request.resume();
      return;
    }

    response.once('close', holding.release);

    const callId = request.headers[protocol.callIdHeader];
    const refuseForMemory = (): void => {
      recordLimit('call-refused', 'held-memory', {
        call: formatCallId(callId),
        status: constants.HTTP.unavailable,
        heldBytes: byteBudget.getUsedBytes(),
      });
      // Behind other responses, this one and its head would stay in memory.
      if (connections.hasOtherCalls(response)) socket.destroy();
      else
        sendEmptyResponse(
          response,
          constants.HTTP.unavailable,
          MEMORY_RETRY_MS * (1 + ctx.random()),
        );
    };
    if (!holding.reserve(constants.CALL_BYTES)) {
      refuseForMemory();
      return;
    }
    const finding = writableHeads.findUnwritableRequest(request);
    if (finding !== undefined) {
      const status = constants.HTTP.badRequest;
      log.info('call-refused', { call: formatCallId(callId), status, cause: finding });
      sendEmptyResponse(response, status);
      return;
    }
    const route = findRoute(request);
    if (typeof callId !== 'string' || !route) {
      rejectUnrouted(request, response, route);
      return;
    }
    const rejectAfterClose = (): void => {
      log.info('call-refused', {
        call: callId,
        status: constants.HTTP.unavailable,
        cause: 'stopping',
      });
      sendEmptyResponse(response, constants.HTTP.unavailable);
    };
    if (isClosed) {
      rejectAfterClose();
      return;
    }
    const isNestedCall = isNested(callId);
    const accounts = getRoutes()?.accounts;
    const version = getRoutes()?.config.version ?? 0;
    const runCall = (
      account: mesh.ClientAccount | undefined,
      body: requestBodies.RequestBody,
    ): void => {
      if (isClosed) {
        rejectAfterClose();
        return;
      }
      connections.markStarted(response);
      handleDisconnect = runner.run(
        {
          callId,
          account,
          route,
          version,
          method: request.method ?? 'GET',
          path: request.url ?? '/',
          headers: [
            ...meshHeaders.copyHeaders(
              request.rawHeaders,
              accounts ? droppedHeadersWithAccounts : droppedHeaders,
            ),
            protocol.callerServiceHeader,
            settings.service,
            ...(account ? [protocol.accountHeader, account.name] : []),
          ],
          body,
          isNested: isNestedCall,
          receivedAt,
          deadlineAt: Math.min(receivedAt + readDeadlineMs(request), respondBefore),
        },
        createResponder(callId, response, holding),
      );
      if (socket.destroyed) handleDisconnect();
    };
    const receiveCall = (account: mesh.ClientAccount | undefined): void => {
      requestBodies
        .receiveBody(request, holding, {
          mayStream: !route.isRepeatable,
          maxBytes: maxBodyBytes,
        })
        .then(guard.wrap((body: requestBodies.RequestBody) => runCall(account, body)))
        .catch(
          guard.wrap((error: Error) => {
            if (error instanceof errors.ByteBudgetExceededError) {
              refuseForMemory();
              return;
            }
            const status = statusByBodyError.get(error.constructor);
            log.info('call-refused', { call: callId, status, message: error.message });
            if (status !== undefined) sendEmptyResponse(response, status);
          }),
        );
    };
    const applyVerdict = guard.wrap((verdict: callerAdmissions.AdmissionVerdict): void => {
      if (verdict.type === 'admitted') receiveCall(verdict.account);
      else rejectUnadmitted(callId, response, version, verdict);
    });
    const verdict = admission.admit({
      headers: request.headers,
      route,
      accounts,
    });
    if (verdict instanceof Promise)
      verdict.then(applyVerdict).catch(
        guard.wrap((error: Error) => {
          throw error;
        }),
      );
    else applyVerdict(verdict);
  };

  server.on('request', (request, response) => {
    const callId = formatCallId(request.headers[protocol.callIdHeader]);
    const guard = callGuards.createCallGuard(ctx, callId, () => sendFailure(response));
    guard.wrap(handleRequest)(request, response, guard);
  });

  /** Rejects what cannot be parsed. */
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as net.Socket;
    if (!connections.handleInvalidRequest(socket)) return;
    if (error.code === 'ECONNRESET' || !socket.writable) return;
    const status = statusByParseError.get(error.code) ?? constants.HTTP.badRequest;
    log.info('request-refused', { status, message: error.message });
    socket.write(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
    socket.destroySoon();
  });

  return {
    async start() {
      const { address, port } = settings.callers;
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject).listen(port, address, resolve);
      });
    },
    setLimits(limits) {
      maxBodyBytes = limits.maxBodyBytes;
      server.headersTimeout = limits.headerTimeoutMs;
      server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    },
    drain(latestResponseAt) {
      connections.drain();
      respondBefore = latestResponseAt;
    },
    close() {
      isClosed = true;
      connections.close();
    },
    countOpenCalls: connections.countOpenCalls,
    countEndingConnections: connections.countEndingConnections,
    destroy: connections.destroy,
  };
}
