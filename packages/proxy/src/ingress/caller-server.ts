/** HTTP server for callers: authorizes, admits and runs their calls. */
import * as http from 'node:http';
import * as core from '@figshed/core';
import * as uuid from 'uuid';
import * as byteBudgets from '../byte-budget.js';
import * as headers from '../calls/headers.js';
import * as heldBody from '../calls/held-body.js';
import type * as types from '../calls/types.js';
import * as connectionTracker from '../connections/connection-tracker.js';
import * as drainConnections from '../connections/drain-connections.js';
import type * as context from '../context.js';
import * as writableHeads from '../writable-heads.js';
import type * as limitTask from '../tasks/limit-task.js';
import type * as orderTask from '../tasks/order-task.js';
import type * as callRunner from './call-runner.js';
import * as orderGate from './order-gate.js';
import * as responseWriter from './response-writer.js';

const names = headers.headerNames;
const HTTP_BAD_REQUEST = 400;
const HTTP_TOO_LARGE = 413;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;
const HTTP_BAD_GATEWAY = 502;
const HTTP_GATEWAY_TIMEOUT = 504;
const KEEP_ALIVE_MS = 60_000;
/** When a call that was refused for lack of memory may be repeated. */
const NO_ROOM_RETRY_MS = 1_000;
/** Time for written responses to reach their callers when the process stops. */
const FLUSH_TIMEOUT_MS = 5_000;
const FINGERPRINT_LENGTH = 16;
const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

export interface CallerServer extends context.Task {
  /** Counts the admitted calls that have not ended. */
  countInFlight(): number;
  /** Counts the connections with a response that has not been sent completely. */
  countUnsent(): number;
  /** Sends `connection: close` on responses from now on, so that callers use another connection. */
  drain(): void;
  /** Stops accepting connections and closes idle ones; the others end after their last response. */
  close(): void;
}

export interface CallerServerDependencies {
  getConfig(): core.CompiledConfig | undefined;
  runner: callRunner.CallRunner;
  orders: orderTask.OrderTask;
  limits: limitTask.LimitTask;
  isQuarantined(fingerprint: string): boolean;
}

/** A received call that its contract allows. */
interface ReceivedCall {
  callId: string;
  startedAt: number;
  allowed: core.AllowedCall;
  method: string;
  url: string;
  requestHeaders: types.Headers;
  body: Buffer | undefined;
  writer: responseWriter.ResponseWriter;
}

function readTimeoutMs(requestHeaders: types.Headers): number | undefined {
  const value = Number(headers.readHeader(requestHeaders, names.timeout));
  return value > 0 ? value : undefined;
}

function computeFingerprint(method: string, path: string, body: Buffer | undefined): string {
  const text = `${method} ${path} ${body?.toString('base64') ?? ''}`;
  return core.computeDigest(text).slice(0, FINGERPRINT_LENGTH);
}

/**
 * Creates the server for callers.
 *
 * @example
 * const callers = createCallerServer(context, dependencies);
 * await callers.start();
 */
export function createCallerServer(
  ctx: context.Context,
  dependencies: CallerServerDependencies,
): CallerServer {
  const { settings, clock, log, metrics, instance } = ctx;
  const byteBudget = byteBudgets.createByteBudget(settings.routing.maxHeldBytes, [], clock);
  const gate = orderGate.createOrderGate(ctx, dependencies.orders);
  const callIdPrefix = instance.replaceAll('-', '').slice(-FINGERPRINT_LENGTH);
  let callCount = 0;
  let inFlight = 0;
  let isDraining = false;

  const sendRefusal = (
    writer: responseWriter.ResponseWriter,
    requestHeaders: types.Headers,
    refusal: Pick<responseWriter.ErrorResponse, 'status' | 'code' | 'message' | 'retryAfterMs'>,
  ): void => {
    metrics.increment(`ingress.refused.${refusal.code}`);
    // An earlier request with the same key may have run; that has not been checked at this point.
    const isOrder = headers.readHeader(requestHeaders, names.idempotencyKey) !== undefined;
    const outcome = isOrder && refusal.code !== 'UNKNOWN_CALLER' ? 'unknown' : 'not-run';
    writer.sendError({ ...refusal, outcome, attemptOutcome: 'not-run' });
  };

  const sendResult = (
    writer: responseWriter.ResponseWriter,
    result: callRunner.CallResult,
  ): void => {
    if (result.outcome === 'done' || result.reason === 'cancelled') return;
    const isTimeout = result.reason.includes('timeout') || result.reason === 'deadline';
    const failedStatus = isTimeout ? HTTP_GATEWAY_TIMEOUT : HTTP_BAD_GATEWAY;
    const isNotRun = result.outcome === 'not-run';
    writer.sendError({
      status: isNotRun ? HTTP_UNAVAILABLE : failedStatus,
      code: isNotRun ? 'NOT_RUN' : 'OUTCOME_UNKNOWN',
      message: isNotRun
        ? `the call was not run: ${result.reason}`
        : `the call may have run: ${result.reason}`,
      outcome: result.outcome,
      attemptOutcome: result.outcome,
      ...(isNotRun ? { retryAfterMs: 1_000 } : {}),
    });
  };

  const runCall = (
    call: callRunner.Call,
    writer: responseWriter.ResponseWriter,
    onEnd: (result: callRunner.CallResult) => void,
  ): void => {
    dependencies.runner.run(call, writer, (result) => {
      if (!call.order || result.outcome !== 'not-run') {
        sendResult(writer, result);
        onEnd(result);
        return;
      }
      // Releases the key before responding that the call was not run, so that a retry can claim it.
      gate.release(call.order).finally(() => {
        sendResult(writer, result);
        onEnd(result);
      });
    });
  };

  const handleAdmittedCall = (receivedCall: ReceivedCall): void => {
    const { callId, startedAt, allowed, method, url, requestHeaders, body, writer } = receivedCall;
    const customer = allowed.contract.name;
    inFlight += 1;
    const onEnd = (result: callRunner.CallResult): void => {
      inFlight -= 1;
      dependencies.limits.release(customer);
      metrics.increment(`ingress.calls.${result.outcome}`);
      metrics.recordTiming('ingress.call-ms', clock.monotonic() - startedAt);
      log.debug('call-ended', { call: callId, customer, ...result });
    };
    const fingerprint = computeFingerprint(method, url, body);
    if (dependencies.isQuarantined(fingerprint)) {
      log.warn('call-refused', { call: callId, code: 'QUARANTINED', fingerprint });
      sendRefusal(writer, requestHeaders, {
        status: HTTP_UNAVAILABLE,
        code: 'QUARANTINED',
        message: 'requests like this one crashed targets and are refused for a while',
      });
      onEnd({ outcome: 'not-run', reason: 'quarantined', attempts: 0, target: undefined });
      return;
    }
    const call: callRunner.Call = {
      callId,
      allowed,
      method,
      path: url,
      headers: headers.copyRequestHeaders(requestHeaders),
      body,
      deadlineAt: startedAt + allowed.timeoutMs,
      fingerprint,
      order: undefined,
    };
    if (allowed.requestKind.idempotent) {
      runCall(call, writer, onEnd);
      return;
    }
    gate
      .claimOrRespond(call, headers.readHeader(requestHeaders, names.idempotencyKey), writer)
      .then((order) => {
        if (order) runCall({ ...call, order }, writer, onEnd);
        else onEnd({ outcome: 'unknown', reason: 'order-gate', attempts: 0, target: undefined });
      })
      .catch((error: unknown) => {
        ctx.reportError('order-gate', error);
        writer.abort();
        onEnd({ outcome: 'unknown', reason: 'order-gate', attempts: 0, target: undefined });
      });
  };

  const handleAdmission = (receivedCall: ReceivedCall, admission: limitTask.Admission): void => {
    if (admission.isAdmitted) {
      handleAdmittedCall(receivedCall);
      return;
    }
    const { callId, allowed, requestHeaders, writer } = receivedCall;
    log.info('call-refused', {
      call: callId,
      code: 'OVER_LIMIT',
      customer: allowed.contract.name,
    });
    sendRefusal(writer, requestHeaders, {
      status: HTTP_TOO_MANY,
      code: 'OVER_LIMIT',
      message: 'the contract allows no more calls at this moment',
      retryAfterMs: admission.retryAfterMs,
    });
  };

  const handleCall = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer | undefined,
  ): void => {
    const startedAt = clock.monotonic();
    callCount += 1;
    const callId = `${callIdPrefix}-${callCount}`;
    const config = dependencies.getConfig();
    const requestHeaders = request.headers;
    const writer = responseWriter.createResponseWriter(response, {
      callId,
      version: config?.version ?? -1,
    });
    if (!config) {
      sendRefusal(writer, requestHeaders, {
        status: HTTP_UNAVAILABLE,
        code: 'NOT_READY',
        message: 'this proxy has no configuration yet',
      });
      return;
    }
    const finding = writableHeads.findUnwritableRequest(request);
    if (finding !== undefined) {
      log.info('call-refused', { call: callId, code: 'INVALID_HEAD', finding });
      sendRefusal(writer, requestHeaders, {
        status: HTTP_BAD_REQUEST,
        code: 'INVALID_HEAD',
        message: `the request cannot be sent on: ${finding}`,
      });
      return;
    }
    const url = request.url ?? '/';
    const [path = '/'] = url.split('?');
    const key = BEARER.exec(requestHeaders.authorization ?? '')?.[1];
    const method = request.method ?? 'GET';
    const allowed = core.authorizeCall(config, {
      method,
      path,
      keyDigest: key === undefined ? undefined : core.computeDigest(key),
      requestedTimeoutMs: readTimeoutMs(requestHeaders),
    });
    if (allowed.type === 'refused') {
      log.info('call-refused', { call: callId, code: allowed.code, path });
      sendRefusal(writer, requestHeaders, allowed);
      return;
    }
    const receivedCall: ReceivedCall = {
      callId,
      startedAt,
      allowed,
      method,
      url,
      requestHeaders,
      body,
      writer,
    };
    const admission = dependencies.limits.admit(allowed.contract);
    if (!(admission instanceof Promise)) {
      handleAdmission(receivedCall, admission);
      return;
    }
    admission
      .then((awaited) => handleAdmission(receivedCall, awaited))
      .catch((error: unknown) => {
        ctx.reportError('admit', error);
        writer.abort();
      });
  };

  const handleRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    const { maxBodyBytes } = settings.routing;
    if (isDraining) response.setHeader('connection', 'close');
    response.on('error', () => undefined);
    request.on('error', () => response.destroy());
    const refuseBody = (
      refusal: Pick<responseWriter.ErrorResponse, 'status' | 'code' | 'message' | 'retryAfterMs'>,
    ): void => {
      if (response.destroyed) return;
      response.setHeader('connection', 'close');
      const callId = uuid.v4();
      const writer = responseWriter.createResponseWriter(response, { callId, version: -1 });
      sendRefusal(writer, request.headers, refusal);
    };
    heldBody.readHeldBody(
      request,
      response,
      { byteBudget, maxBytes: maxBodyBytes },
      {
        onBody: (body) => handleCall(request, response, body),
        onTooLarge: () =>
          refuseBody({
            status: HTTP_TOO_LARGE,
            code: 'BODY_TOO_LARGE',
            message: `the body is longer than ${maxBodyBytes} bytes`,
          }),
        onNoRoom: () =>
          refuseBody({
            status: HTTP_UNAVAILABLE,
            code: 'NO_ROOM',
            message: 'this proxy holds as many bytes of requests as it may',
            retryAfterMs: NO_ROOM_RETRY_MS,
          }),
      },
    );
  };

  const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
  const connections = connectionTracker.trackConnections(server, {
    onCut: ({ responses, cause }) =>
      log.info('response-cut', { server: 'callers', cause, responses: responses.length }),
  });
  server.on('request', (request, response) => {
    connections.trackResponse(response);
    handleRequest(request, response);
  });

  return {
    countInFlight: () => inFlight,
    countUnsent: () => connections.countConnections().pending,
    drain() {
      isDraining = true;
    },
    async start() {
      const { listen } = settings;
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(listen.callerPort, listen.address, resolve);
      });
    },
    close() {
      connections.close();
    },
    stop: () =>
      drainConnections.drainConnections(connections, {
        clock,
        timeoutMs: FLUSH_TIMEOUT_MS,
        isBusy: ({ pending, receiving, ending }) => pending + receiving + ending > 0,
      }),
  };
}
