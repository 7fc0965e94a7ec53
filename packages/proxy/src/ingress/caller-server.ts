/** Owns the port on which callers reach this proxy. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as uuid from 'uuid';
import * as headers from '../calls/headers.js';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import type * as limitTask from '../tasks/limit-task.js';
import type * as orderTask from '../tasks/order-task.js';
import * as answerWriter from './answer-writer.js';
import type * as callRunner from './call-runner.js';
import * as orderGate from './order-gate.js';

const names = headers.headerNames;
const HTTP_TOO_LARGE = 413;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;
const HTTP_BAD_GATEWAY = 502;
const HTTP_GATEWAY_TIMEOUT = 504;
const KEEP_ALIVE_MS = 60_000;
/** How long written answers may take to reach their callers when the process stops. */
const FLUSH_MS = 5_000;
const FLUSH_POLL_MS = 20;
const FINGERPRINT_LENGTH = 16;
const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

/** The caller's side of this proxy. */
export interface CallerServer extends context.Task {
  inFlight(): number;
  /** Answers from now on tell callers to use another connection. */
  drain(): void;
  /** Takes no further connections; open ones go on. */
  close(): void;
}

/** What the server needs besides the context. */
export interface CallerServerParts {
  getConfig(): core.CompiledConfig | undefined;
  runner: callRunner.CallRunner;
  orders: orderTask.OrderTask;
  limits: limitTask.LimitTask;
  isQuarantined(fingerprint: string): boolean;
}

/** A call as it arrived, with what its contract allows. */
interface Arrival {
  callId: string;
  startedAt: number;
  allowed: core.AllowedCall;
  method: string;
  url: string;
  received: types.Headers;
  body: Buffer | undefined;
  writer: answerWriter.AnswerWriter;
}

function readTimeout(received: types.Headers): number | undefined {
  const value = Number(headers.readHeader(received, names.timeout));
  return value > 0 ? value : undefined;
}

function computeFingerprint(method: string, path: string, body: Buffer | undefined): string {
  const text = `${method} ${path} ${body?.toString('base64') ?? ''}`;
  return core.computeDigest(text).slice(0, FINGERPRINT_LENGTH);
}

/**
 * Creates the caller's side of a proxy.
 *
 * @example
 * const callers = createCallerServer(context, parts);
 * await callers.start();
 */
export function createCallerServer(ctx: context.Context, parts: CallerServerParts): CallerServer {
  const { settings, clock, log, metrics, instance } = ctx;
  const gate = orderGate.createOrderGate(ctx, parts.orders);
  const prefix = instance.replaceAll('-', '').slice(-FINGERPRINT_LENGTH);
  let count = 0;
  let inFlight = 0;
  let isDraining = false;

  const sendRefusal = (
    writer: answerWriter.AnswerWriter,
    received: types.Headers,
    refusal: Pick<answerWriter.ErrorAnswer, 'status' | 'code' | 'message' | 'retryAfterMs'>,
  ): void => {
    metrics.increment(`ingress.refused.${refusal.code}`);
    // Whether an earlier request under the same key ran is not known at this point.
    const isOrder = headers.readHeader(received, names.idempotencyKey) !== undefined;
    const outcome = isOrder && refusal.code !== 'UNKNOWN_CALLER' ? 'unknown' : 'not-run';
    writer.sendError({ ...refusal, outcome, attemptOutcome: 'not-run' });
  };

  const sendResult = (writer: answerWriter.AnswerWriter, result: callRunner.CallResult): void => {
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

  const startCall = (
    call: callRunner.Call,
    writer: answerWriter.AnswerWriter,
    onEnd: (result: callRunner.CallResult) => void,
  ): void => {
    parts.runner.run(call, writer, (result) => {
      if (!call.order || result.outcome !== 'not-run') {
        sendResult(writer, result);
        onEnd(result);
        return;
      }
      // The key is free again before the caller hears that nothing was run.
      gate.release(call.order).finally(() => {
        sendResult(writer, result);
        onEnd(result);
      });
    });
  };

  const handleAdmitted = (arrival: Arrival): void => {
    const { callId, startedAt, allowed, method, url, received, body, writer } = arrival;
    const customer = allowed.contract.name;
    inFlight += 1;
    const onEnd = (result: callRunner.CallResult): void => {
      inFlight -= 1;
      parts.limits.release(customer);
      metrics.increment(`ingress.calls.${result.outcome}`);
      metrics.timing('ingress.call-ms', clock.monotonic() - startedAt);
      log.debug('call-ended', { call: callId, customer, ...result });
    };
    const fingerprint = computeFingerprint(method, url, body);
    if (parts.isQuarantined(fingerprint)) {
      log.warn('call-refused', { call: callId, code: 'QUARANTINED', fingerprint });
      sendRefusal(writer, received, {
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
      headers: headers.copyRequestHeaders(received),
      body,
      deadlineAt: startedAt + allowed.timeoutMs,
      fingerprint,
      order: undefined,
    };
    if (allowed.requestKind.idempotent) {
      startCall(call, writer, onEnd);
      return;
    }
    gate
      .open(call, headers.readHeader(received, names.idempotencyKey), writer)
      .then((order) => {
        if (order) startCall({ ...call, order }, writer, onEnd);
        else onEnd({ outcome: 'unknown', reason: 'order-gate', attempts: 0, target: undefined });
      })
      .catch((error: unknown) => {
        ctx.reportError('order-gate', error);
        writer.abort();
        onEnd({ outcome: 'unknown', reason: 'order-gate', attempts: 0, target: undefined });
      });
  };

  const handleAdmittance = (arrival: Arrival, admittance: limitTask.Admittance): void => {
    if (admittance.admitted) {
      handleAdmitted(arrival);
      return;
    }
    const { callId, allowed, received, writer } = arrival;
    log.info('call-refused', {
      call: callId,
      code: 'OVER_LIMIT',
      customer: allowed.contract.name,
    });
    sendRefusal(writer, received, {
      status: HTTP_TOO_MANY,
      code: 'OVER_LIMIT',
      message: 'the contract allows no more calls at this moment',
      retryAfterMs: admittance.retryAfterMs,
    });
  };

  const handleCall = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer | undefined,
  ): void => {
    const startedAt = clock.monotonic();
    count += 1;
    const callId = `${prefix}-${count}`;
    const config = parts.getConfig();
    const received = request.headers;
    const writer = answerWriter.createAnswerWriter(response, {
      callId,
      version: config?.version ?? -1,
    });
    if (!config) {
      sendRefusal(writer, received, {
        status: HTTP_UNAVAILABLE,
        code: 'NOT_READY',
        message: 'this proxy has no configuration yet',
      });
      return;
    }
    const url = request.url ?? '/';
    const [path = '/'] = url.split('?');
    const key = BEARER.exec(received.authorization ?? '')?.[1];
    const method = request.method ?? 'GET';
    const allowed = core.authorizeCall(config, {
      method,
      path,
      keyDigest: key === undefined ? undefined : core.computeDigest(key),
      requestedTimeoutMs: readTimeout(received),
    });
    if (allowed.type === 'refused') {
      log.info('call-refused', { call: callId, code: allowed.code, path });
      sendRefusal(writer, received, allowed);
      return;
    }
    const arrival: Arrival = { callId, startedAt, allowed, method, url, received, body, writer };
    const admittance = parts.limits.admit(allowed.contract);
    if (!(admittance instanceof Promise)) {
      handleAdmittance(arrival, admittance);
      return;
    }
    admittance
      .then((later) => handleAdmittance(arrival, later))
      .catch((error: unknown) => {
        ctx.reportError('admit', error);
        writer.abort();
      });
  };

  const receive = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    const { maxBodyBytes } = settings.routing;
    if (isDraining) response.setHeader('connection', 'close');
    response.on('error', () => undefined);
    const chunks: Buffer[] = [];
    let size = 0;
    let isRefused = false;
    request.on('error', () => response.destroy());
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= maxBodyBytes) {
        chunks.push(chunk);
      } else if (!isRefused) {
        isRefused = true;
        chunks.length = 0;
        response.setHeader('connection', 'close');
        const writer = answerWriter.createAnswerWriter(response, {
          callId: uuid.v4(),
          version: -1,
        });
        sendRefusal(writer, request.headers, {
          status: HTTP_TOO_LARGE,
          code: 'BODY_TOO_LARGE',
          message: `the body is longer than ${maxBodyBytes} bytes`,
        });
      }
    });
    request.on('end', () => {
      if (!isRefused) handleCall(request, response, size > 0 ? Buffer.concat(chunks) : undefined);
    });
  };

  const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, receive);

  const countConnections = (): Promise<number> =>
    new Promise((resolve) => {
      server.getConnections((error, open) => resolve(error ? 0 : open));
    });

  return {
    inFlight: () => inFlight,
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
      server.close();
      server.closeIdleConnections();
    },
    async stop() {
      // Answers that are written are still on their way to slow callers.
      const until = clock.monotonic() + FLUSH_MS;
      server.closeIdleConnections();
      // eslint-disable-next-line no-await-in-loop -- polls
      while ((await countConnections()) > 0 && clock.monotonic() < until) {
        // eslint-disable-next-line no-await-in-loop -- polls
        await timers.setTimeout(FLUSH_POLL_MS);
        server.closeIdleConnections();
      }
      server.closeAllConnections();
    },
  };
}
