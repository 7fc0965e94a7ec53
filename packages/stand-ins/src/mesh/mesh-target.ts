/** A target of the route mesh: runs calls in slots, announces itself, and can misbehave. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as resetSocket from '../reset-socket.js';
import * as bodies from '../read-body.js';

/** How a target misbehaves; shares are of the calls that it runs. */
export interface TargetFaults {
  /** Runs the call and closes the connection without an answer. */
  lostAnswerShare: number;
  /** Sends a second answer, of another call, after the first. */
  extraAnswerShare: number;
  /** Breaks the answer off in its middle. */
  cutAnswerShare: number;
  /** Gives the answer no length, so that it ends with the connection. */
  unframedShare: number;
  /** Resets the connection in the middle of an answer without a length. */
  unframedCutShare: number;
  /** Answers 500. */
  failureShare: number;
}

/** One run of a call. */
export interface Run {
  callId: string;
  method: string;
  path: string;
  callerService: string;
  body: string;
  at: number;
  /** True when the connection closed before the run ended. */
  isCancelled: boolean;
}

/** A running target. */
export interface MeshTarget {
  id: string;
  address: string;
  port: number;
  faults: TargetFaults;
  workMs: number;
  runs: Run[];
  /** Requests of any kind that arrived, also those that were rejected. */
  arrivals: number;
  /** Answers that were lost, cut or sent without being asked for; each can spoil one call. */
  spoiled: number;
  /** Sends an announcement and returns the status of its answer; 0 when there was none. */
  announce(state: 'ready' | 'draining'): Promise<number>;
  deregister(): Promise<number>;
  startBeats(): void;
  stopBeats(): void;
  close(): Promise<void>;
}

/** What a target needs to start. */
export interface MeshTargetOptions {
  id: string;
  service: string;
  address: string;
  port: number;
  /** The port that it announces, where a link stands between; its own by default. */
  announcedPort?: number;
  slots: number;
  /** Where the proxy beside it takes announcements. */
  announcements: { address: string; port: number };
  random: () => number;
}

const HTTP_OK = 200;
const HTTP_FAILED = 500;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
const BEAT_MS = 500;
const ANNOUNCE_TIMEOUT_MS = 1_000;
const DEFAULT_WORK_MS = 20;
/** Time after an answer at which an extra one is sent. */
const EXTRA_DELAY_MS = 5;

/**
 * Starts a target.
 *
 * @example
 * const target = await startMeshTarget(options);
 * await target.announce('ready');
 */
export async function startMeshTarget(options: MeshTargetOptions): Promise<MeshTarget> {
  const { id, service, address, port, slots, announcements, random } = options;
  const bornAt = Date.now();
  const sockets = new Set<net.Socket>();
  let running = 0;
  let sequence = 0;
  let beats: NodeJS.Timeout | undefined;

  const target: MeshTarget = {
    id,
    address,
    port,
    faults: {
      lostAnswerShare: 0,
      extraAnswerShare: 0,
      cutAnswerShare: 0,
      unframedShare: 0,
      unframedCutShare: 0,
      failureShare: 0,
    },
    workMs: DEFAULT_WORK_MS,
    runs: [],
    arrivals: 0,
    spoiled: 0,
    announce: () => Promise.resolve(0),
    deregister: () => Promise.resolve(0),
    startBeats: () => undefined,
    stopBeats: () => clearInterval(beats),
    close: () => Promise.resolve(),
  };

  const send = (path: string, body: object): Promise<number> =>
    new Promise((resolve) => {
      const request = http.request(
        {
          host: announcements.address,
          port: announcements.port,
          method: 'POST',
          path,
          timeout: ANNOUNCE_TIMEOUT_MS,
          agent: false,
        },
        (response) => {
          response.resume();
          resolve(response.statusCode ?? 0);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(0));
      request.end(JSON.stringify(body));
    });

  target.announce = (state) => {
    sequence += 1;
    return send(`/api/Instances.Heartbeat/${id}`, {
      addr: `${address}:${options.announcedPort ?? port}`,
      born: bornAt,
      info: { service, version: 'v1', zone: 'z', maxConcurrency: slots },
      status: { state, sequence, coldRemainingMs: 0 },
    });
  };
  target.deregister = () => send(`/api/Instances.Deregister/${id}`, { born: bornAt });
  target.startBeats = () => {
    target.announce('ready').catch(() => undefined);
    beats = setInterval(() => {
      target.announce('ready').catch(() => undefined);
    }, BEAT_MS);
  };

  const answer = (request: http.IncomingMessage, response: http.ServerResponse, run: Run): void => {
    const { faults } = target;
    const body = `${run.path}|${run.body}|${id}`;
    const headers = {
      'figshed-request-id': run.callId,
      'figshed-response-signature': `${id}.${run.callId}`,
      'content-length': Buffer.byteLength(body),
    };
    if (random() < faults.lostAnswerShare) {
      target.spoiled += 1;
      resetSocket.resetSocket(request.socket);
      return;
    }
    if (random() < faults.cutAnswerShare) {
      target.spoiled += 1;
      response.writeHead(HTTP_OK, headers);
      response.write(body.slice(0, 2), () => resetSocket.resetSocket(request.socket));
      return;
    }
    const isCut = random() < faults.unframedCutShare;
    if (isCut) target.spoiled += 1;
    if (isCut || random() < faults.unframedShare) {
      const head =
        `HTTP/1.1 200 OK\r\nfigshed-request-id: ${run.callId}\r\n` +
        `figshed-response-signature: ${id}.${run.callId}\r\nconnection: close\r\n\r\n`;
      request.socket.write(head + (isCut ? body.slice(0, 2) : body), () => {
        if (isCut) setTimeout(() => resetSocket.resetSocket(request.socket), EXTRA_DELAY_MS);
        else request.socket.end();
      });
      return;
    }
    const status = random() < faults.failureShare ? HTTP_FAILED : HTTP_OK;
    const { socket } = request;
    response.writeHead(status, headers).end(body, () => {
      if (random() >= faults.extraAnswerShare) return;
      setTimeout(() => {
        if (socket.destroyed) return;
        target.spoiled += 1;
        socket.write(
          'HTTP/1.1 200 OK\r\nfigshed-request-id: other\r\n' +
            'figshed-response-signature: other\r\ncontent-length: 5\r\n\r\nother',
        );
      }, EXTRA_DELAY_MS);
    });
  };

  const handle = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    target.arrivals += 1;
    const expected = request.headers['figshed-expect-instance'];
    if (expected !== undefined && expected !== id) {
      request.resume();
      response.writeHead(HTTP_MISDIRECTED, { 'figshed-not-executed': '1' }).end();
      return;
    }
    if (running >= slots) {
      request.resume();
      response.writeHead(HTTP_UNAVAILABLE, { 'figshed-not-executed': '1' }).end();
      return;
    }
    running += 1;
    const run: Run = {
      callId: String(request.headers['figshed-request-id']),
      method: request.method ?? '',
      path: request.url ?? '',
      callerService: String(request.headers['figshed-caller-service']),
      body: '',
      at: Date.now(),
      isCancelled: false,
    };
    target.runs.push(run);
    response.on('close', () => {
      if (!response.writableFinished) run.isCancelled = true;
    });
    try {
      run.body = (await bodies.readBody(request)).toString();
      await timers.setTimeout(target.workMs);
      if (!response.destroyed) answer(request, response, run);
    } finally {
      running -= 1;
    }
  };

  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(port, address, resolve);
  });
  target.close = () =>
    new Promise((resolve) => {
      clearInterval(beats);
      server.close(() => resolve());
      sockets.forEach((socket) => socket.destroy());
    });
  return target;
}
