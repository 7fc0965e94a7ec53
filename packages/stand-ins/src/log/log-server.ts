/** HTTP server of the stand-in for the platform's log, with fault injection. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as logStore from './log-store.js';
import * as requestBody from '../read-body.js';

/** Injected faults; all are off at the start. */
export interface LogFaults {
  /** Refuses every read and append with 503. */
  outage: boolean;
  /** Delay before every read and append is handled, in milliseconds. */
  slowMs: number;
  /** Share of appends whose connection is closed after the record is stored, without a response. */
  lostAnswers: number;
  /** Data centres whose requests get 503; a request names its own by the prefix `/from/NAME`. */
  cutOff: string[];
  /** Additional delay by data centre, in milliseconds. */
  delays: Record<string, number>;
}

/** Counters since the start. */
export interface LogCounts {
  appends: number;
  reads: number;
  refused: number;
  lost: number;
  readBytes: number;
  appendBytes: number;
}

export interface LogServer {
  port: number;
  close(): Promise<void>;
}

const HTTP_OK = 200;
const HTTP_CREATED = 201;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
const MAX_WAIT_MS = 30_000;
const RECORDS_PATH = /^(?:\/from\/([\w-]+))?\/streams\/([\w-]+)\/records$/;

function sendJson(response: http.ServerResponse, status: number, value: unknown): number {
  const body = JSON.stringify(value);
  response.writeHead(status, { 'content-type': 'application/json' }).end(body);
  return body.length;
}

/**
 * Starts the log service on the loopback address. `PUT /faults` sets faults, `/counts` returns the
 * counters.
 *
 * @example
 * const log = await startLogServer(0, { retentionMs: 60_000, appendsPerSecond: 400, maxPageRecords: 500 });
 */
export async function startLogServer(
  port: number,
  options: logStore.LogStoreOptions,
): Promise<LogServer> {
  const store = logStore.createLogStore(options);
  const counts: LogCounts = {
    appends: 0,
    reads: 0,
    refused: 0,
    lost: 0,
    readBytes: 0,
    appendBytes: 0,
  };
  let faults: LogFaults = { outage: false, slowMs: 0, lostAnswers: 0, cutOff: [], delays: {} };
  let lossAccumulator = 0;
  const waitersByStream = new Map<string, Set<() => void>>();

  const notifyReaders = (stream: string): void => {
    const waiters = waitersByStream.get(stream);
    waitersByStream.delete(stream);
    waiters?.forEach((notifyWaiter) => notifyWaiter());
  };

  const notifyAllReaders = (): void => [...waitersByStream.keys()].forEach(notifyReaders);

  const waitForRecord = (stream: string, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const waiters = waitersByStream.get(stream) ?? new Set();
      waitersByStream.set(stream, waiters);
      const timeout: { timer?: NodeJS.Timeout } = {};
      const finish = (): void => {
        clearTimeout(timeout.timer);
        waiters.delete(finish);
        resolve();
      };
      timeout.timer = setTimeout(finish, waitMs);
      waiters.add(finish);
    });

  const isRefused = (dataCentre: string | undefined): boolean =>
    faults.outage || (dataCentre !== undefined && faults.cutOff.includes(dataCentre));

  const handleAppend = async (
    stream: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const text = (await requestBody.readBody(request)).toString();
    let body: unknown;
    try {
      body = JSON.parse(text);
    } catch {
      sendJson(response, HTTP_BAD_REQUEST, { error: 'body is not JSON' });
      return;
    }
    const offset = store.append(stream, body, Date.now());
    if (offset === undefined) {
      counts.refused += 1;
      sendJson(response, HTTP_TOO_MANY_REQUESTS, { error: 'append rate exceeded' });
      return;
    }
    counts.appends += 1;
    counts.appendBytes += text.length;
    notifyReaders(stream);
    lossAccumulator += faults.lostAnswers;
    if (lossAccumulator >= 1) {
      lossAccumulator -= 1;
      counts.lost += 1;
      request.socket.destroy();
      return;
    }
    sendJson(response, HTTP_CREATED, { offset });
  };

  const handleRead = async (
    stream: string,
    query: URLSearchParams,
    dataCentre: string | undefined,
    response: http.ServerResponse,
  ): Promise<void> => {
    const from = Number(query.get('from') ?? 0);
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
    counts.reads += 1;
    if (store.read(stream, from, Date.now()).head <= from && waitMs > 0) {
      await waitForRecord(stream, waitMs);
    }
    if (isRefused(dataCentre)) {
      counts.refused += 1;
      sendJson(response, HTTP_UNAVAILABLE, { error: 'outage' });
      return;
    }
    counts.readBytes += sendJson(response, HTTP_OK, store.read(stream, from, Date.now()));
  };

  const handleControl = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    path: string,
  ): Promise<void> => {
    if (path === '/counts') {
      sendJson(response, HTTP_OK, counts);
    } else if (path === '/faults' && request.method === 'PUT') {
      faults = {
        ...faults,
        ...(JSON.parse((await requestBody.readBody(request)).toString()) as Partial<LogFaults>),
      };
      notifyAllReaders();
      sendJson(response, HTTP_OK, faults);
    } else {
      sendJson(response, HTTP_NOT_FOUND, { error: 'no such path' });
    }
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://log');
    const match = RECORDS_PATH.exec(url.pathname);
    if (!match) {
      await handleControl(request, response, url.pathname);
      return;
    }
    const [, dataCentre, stream = ''] = match;
    const delayMs = faults.slowMs + (faults.delays[dataCentre ?? ''] ?? 0);
    if (delayMs > 0) await timers.setTimeout(delayMs);
    if (isRefused(dataCentre)) {
      counts.refused += 1;
      request.resume();
      sendJson(response, HTTP_UNAVAILABLE, { error: 'outage' });
    } else if (request.method === 'POST') {
      await handleAppend(stream, request, response);
    } else {
      await handleRead(stream, url.searchParams, dataCentre, response);
    }
  };

  const server = http.createServer((request, response) => {
    handleRequest(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(port, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
