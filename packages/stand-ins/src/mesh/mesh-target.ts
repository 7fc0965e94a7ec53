import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as resetSocket from '../reset-socket.js';
import * as requestBody from '../read-body.js';
import * as targetAnnouncement from './target-announcement.js';
import * as targetCrash from './target-crash.js';
import * as targetFaults from './target-faults.js';
import * as targetHealth from './target-health.js';
import type * as rawResponses from './raw-responses.js';

/** One execution of a call at a target. */
export interface CallRun {
  callId: string;
  method: string;
  path: string;
  callerService: string;
  /** Name of the caller's client account, as the proxy stated it; empty if it stated none. */
  account: string;
  /** True if the request carried an API key, which a target must not see. */
  hasApiKey: boolean;
  body: string;
  startedAt: number;
  /**
   * True when the connection closed before the HTTP server finished the response: after a
   * cancellation, but also for a lost, truncated or close-delimited response.
   */
  isCancelled: boolean;
}

export interface MeshTarget {
  /** Instance id of the current incarnation. */
  id: string;
  address: string;
  port: number;
  /** Version of its program, as in its announcements. */
  version: string;
  /** Unix time of its start in milliseconds, as in its announcements. */
  bornAt: number;
  /** Unix times in milliseconds at which it crashed. */
  crashes: number[];
  /** Decides after the service time of a call whether it crashes the target instead. */
  shouldCrash: ((run: CallRun) => boolean) | undefined;
  /** Time from a crash to the start of the next incarnation, which has another id. */
  downMs: number;
  faults: targetFaults.TargetFaults;
  /** Takes over all calls that arrive while it is set. */
  rawResponder: rawResponses.RawResponder | undefined;
  /**
   * Never responds to a call beyond its slots, nor to any later one on that connection, instead of
   * rejecting it.
   */
  isSilentWhenFull: boolean;
  health: targetHealth.HealthBehaviour;
  /** True once it has announced that it leaves, until the next start. */
  isLeaving: boolean;
  /** Number of requests that never get a response. */
  silentRequests: number;
  /** Headers of all its responses, in which it states a rate limit or that it is leaving. */
  noticeHeaders: Record<string, string>;
  serviceMs: number;
  runs: CallRun[];
  /** Number of requests received, rejected ones included, without those to the health path. */
  receivedRequests: number;
  /** Number of responses lost, truncated or sent unsolicited; each can make one call fail. */
  faultyResponses: number;
  /** Sends an announcement and returns the status of the response; 0 when there was none. */
  announce(state: 'ready' | 'draining'): Promise<number>;
  /** Deregisters without a start time, as the platform's targets do. */
  deregister(): Promise<number>;
  startHeartbeats(): void;
  stopHeartbeats(): void;
  close(): Promise<void>;
}

export interface MeshTargetOptions {
  id: string;
  service: string;
  /** Defaults to `v1`. */
  version?: string | undefined;
  address: string;
  port: number;
  /** Port in the announcements, if a link listens in front of the target; defaults to `port`. */
  announcedPort?: number;
  slots: number;
  /** Endpoint at which the proxy on the same host receives announcements. */
  announcements: { address: string; port: number };
  random: () => number;
}

const HTTP_OK = 200;
const HTTP_INTERNAL_ERROR = 500;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
const HEARTBEAT_INTERVAL_MS = 500;
const DEFAULT_SERVICE_MS = 20;
const DEFAULT_DOWN_MS = 2_000;
/** Delay of an unsolicited response, or of the reset of a close-delimited one. */
const FAULT_DELAY_MS = 5;

/**
 * Starts a target that runs calls in a fixed number of slots; a call beyond them gets 503.
 *
 * @example
 * const target = await startMeshTarget(options);
 * await target.announce('ready');
 */
export async function startMeshTarget(options: MeshTargetOptions): Promise<MeshTarget> {
  const { service, address, port, slots, announcements, random } = options;
  const sockets = new Set<net.Socket>();
  const silentSockets = new WeakSet<net.Socket>();
  let runningCalls = 0;
  let sequence = 0;
  let isSendingHeartbeats = false;
  let heartbeatTimer: NodeJS.Timeout | undefined;

  const target: MeshTarget = {
    id: options.id,
    version: options.version ?? 'v1',
    address,
    port,
    bornAt: Date.now(),
    crashes: [],
    shouldCrash: undefined,
    downMs: DEFAULT_DOWN_MS,
    faults: targetFaults.createNoFaults(),
    rawResponder: undefined,
    isSilentWhenFull: false,
    health: 'platform',
    isLeaving: false,
    silentRequests: 0,
    noticeHeaders: {},
    serviceMs: DEFAULT_SERVICE_MS,
    runs: [],
    receivedRequests: 0,
    faultyResponses: 0,
    announce: () => Promise.resolve(0),
    deregister: () => Promise.resolve(0),
    startHeartbeats: () => undefined,
    stopHeartbeats() {
      isSendingHeartbeats = false;
      clearInterval(heartbeatTimer);
    },
    close: () => Promise.resolve(),
  };

  const server = http.createServer((request, response) => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a crash closes the server
    handleRequest(request, response).catch(() => response.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const crash = targetCrash.createTargetCrash({
    server,
    sockets,
    endpoint: { address, port },
    onRestart() {
      target.id = `${options.id}-${target.crashes.length + 1}`;
      target.bornAt = Date.now();
      target.isLeaving = false;
      sequence = 0;
      if (isSendingHeartbeats) target.announce('ready').catch(() => undefined);
    },
  });

  const postAnnouncement = (path: string, body?: object): Promise<number> =>
    crash.isDown() ? Promise.resolve(0) : targetAnnouncement.post(announcements, path, body);

  target.announce = (state) => {
    sequence += 1;
    if (state === 'draining') target.isLeaving = true;
    return postAnnouncement(`/api/Instances.Heartbeat/${target.id}`, {
      addr: `${address}:${options.announcedPort ?? port}`,
      born: target.bornAt,
      info: { service, version: target.version, zone: 'z', maxConcurrency: slots },
      status: { state, sequence, coldRemainingMs: 0 },
    });
  };
  target.deregister = () => {
    target.isLeaving = true;
    return postAnnouncement(`/api/Instances.Deregister/${target.id}`);
  };
  target.startHeartbeats = () => {
    isSendingHeartbeats = true;
    target.announce('ready').catch(() => undefined);
    heartbeatTimer = setInterval(() => {
      target.announce('ready').catch(() => undefined);
    }, HEARTBEAT_INTERVAL_MS);
  };

  const sendResponse = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    run: CallRun,
  ): void => {
    const { faults } = target;
    const body = `${run.path}|${run.body}|${target.id}`;
    const headers = {
      'figshed-request-id': run.callId,
      'figshed-response-signature': `${target.id}.${run.callId}`,
      'content-length': Buffer.byteLength(body),
      ...target.noticeHeaders,
    };
    if (random() < faults.lostResponseShare) {
      target.faultyResponses += 1;
      resetSocket.resetSocket(request.socket);
      return;
    }
    if (random() < faults.truncatedResponseShare) {
      target.faultyResponses += 1;
      response.writeHead(HTTP_OK, headers);
      response.write(body.slice(0, 2), () => resetSocket.resetSocket(request.socket));
      return;
    }
    const shouldReset = random() < faults.truncatedCloseDelimitedShare;
    if (shouldReset) target.faultyResponses += 1;
    if (shouldReset || random() < faults.closeDelimitedShare) {
      const head =
        `HTTP/1.1 200 OK\r\nfigshed-request-id: ${run.callId}\r\n` +
        `figshed-response-signature: ${target.id}.${run.callId}\r\nconnection: close\r\n\r\n`;
      request.socket.write(head + (shouldReset ? body.slice(0, 2) : body), () => {
        if (shouldReset) setTimeout(() => resetSocket.resetSocket(request.socket), FAULT_DELAY_MS);
        else request.socket.end();
      });
      return;
    }
    if (random() < faults.unwritableHeadShare) {
      target.faultyResponses += 1;
      request.socket.end(
        `HTTP/1.1 200 OK\r\nfigshed-request-id: ${run.callId}\r\n` +
          `figshed-response-signature: ${target.id}.${run.callId}\r\nContent Type: text/plain\r\n` +
          `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
      );
      return;
    }
    const status = random() < faults.errorResponseShare ? HTTP_INTERNAL_ERROR : HTTP_OK;
    const { socket } = request;
    response.writeHead(status, headers).end(body, () => {
      if (random() >= faults.unsolicitedResponseShare) return;
      setTimeout(() => {
        if (socket.destroyed) return;
        target.faultyResponses += 1;
        socket.write(
          'HTTP/1.1 200 OK\r\nfigshed-request-id: other\r\n' +
            'figshed-response-signature: other\r\ncontent-length: 5\r\n\r\nother',
        );
      }, FAULT_DELAY_MS);
    });
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const { health: behaviour, id, isLeaving } = target;
    if (targetHealth.handleHealth(request, response, { behaviour, id, isLeaving })) return;
    target.receivedRequests += 1;
    const callId = String(request.headers['figshed-request-id']);
    const refusalHeaders = {
      'figshed-request-id': callId,
      'figshed-not-executed': '1',
      ...target.noticeHeaders,
    };
    const expected = request.headers['figshed-expect-instance'];
    if (expected !== undefined && expected !== target.id) {
      request.resume();
      response.writeHead(HTTP_MISDIRECTED, refusalHeaders).end();
      return;
    }
    const run: CallRun = {
      callId,
      method: request.method ?? '',
      path: request.url ?? '',
      callerService: String(request.headers['figshed-caller-service']),
      account: String(request.headers['figshed-tenant-id'] ?? ''),
      hasApiKey: request.headers.authorization !== undefined,
      body: '',
      startedAt: Date.now(),
      isCancelled: false,
    };
    if (target.rawResponder) {
      run.body = (await requestBody.readBody(request)).toString();
      target.rawResponder({
        socket: request.socket,
        callId,
        signature: `${target.id}.${callId}`,
        recordRun: () => target.runs.push(run),
      });
      return;
    }
    const isFull = runningCalls >= slots;
    if (silentSockets.has(request.socket) || (isFull && target.isSilentWhenFull)) {
      silentSockets.add(request.socket);
      target.silentRequests += 1;
      return;
    }
    if (isFull) {
      request.resume();
      response.writeHead(HTTP_UNAVAILABLE, refusalHeaders).end();
      return;
    }
    runningCalls += 1;
    target.runs.push(run);
    response.on('close', () => {
      if (!response.writableFinished) run.isCancelled = true;
    });
    try {
      run.body = (await requestBody.readBody(request)).toString();
      await timers.setTimeout(target.serviceMs);
      if (response.destroyed) return;
      if (target.shouldCrash?.(run)) {
        target.crashes.push(Date.now());
        crash.crash(target.downMs);
      } else sendResponse(request, response, run);
    } finally {
      runningCalls -= 1;
    }
  };

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(port, address, resolve);
  });
  target.close = () =>
    new Promise((resolve) => {
      clearInterval(heartbeatTimer);
      crash.stop();
      server.close(() => resolve());
      sockets.forEach((socket) => socket.destroy());
    });
  return target;
}
