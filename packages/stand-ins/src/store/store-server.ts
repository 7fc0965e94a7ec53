/** Stand-in for the platform's store: its documented HTTP protocol, with fault injection. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as topicStore from './topic-store.js';
import * as resetSocket from '../reset-socket.js';
import * as requestBody from '../read-body.js';

/** Injected faults; all are off at the start. */
export interface StoreFaults {
  /** Whether requests are neither carried out nor answered. */
  isSilent: boolean;
  /** Whether every request gets 503. */
  isUnavailable: boolean;
  /** Whether a connection is reset once it has sent a request. */
  shouldResetConnections: boolean;
  /** Delay before a request is handled, in milliseconds. */
  delayMs: number;
  /** Whether appends and trims are carried out without a response. */
  shouldDropResponses: boolean;
  /** Replaces the era in the response header; the header is left out for undefined. */
  formatEra: ((era: number) => string | undefined) | undefined;
  /** Takes over all requests. */
  responder: http.RequestListener | undefined;
}

export interface StoreServer {
  port: number;
  faults: StoreFaults;
  topics: topicStore.TopicStore;
  /** Number of handled requests by path; includes those whose response is dropped. */
  requestCounts: Map<string, number>;
  /** Bytes of the response bodies by path. */
  sentBytes: Map<string, number>;
  /** Resets all connections, continues from the copy and raises the era by one. */
  restore(copy: topicStore.TopicCopy, options?: { shouldKeepConnections?: boolean }): void;
  close(): Promise<void>;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;
const HTTP_FORBIDDEN = 403;
const HTTP_UNAVAILABLE = 503;
const MAX_WAIT_MS = 30_000;
const DEFAULT_MAX_KB = 1_024;
const BYTES_PER_KB = 1_024;
/** Page size of `log-newest`. */
const MAX_PAGE_RECORDS = 500;
const READ_HEADER_BYTES = 16;
const OFFSET_BYTES = 8;
const LENGTH_PREFIX_BYTES = 4;
const operatorTopics: ReadonlySet<string> = new Set(['keyed.op', 'keyed.servers']);

interface StoreRequest {
  query: URLSearchParams;
  body: Buffer;
}

interface StoreResponse {
  status: number;
  body: Buffer | object;
}

function encodeReadResponse(
  endOffset: number,
  firstOffset: number,
  records: readonly Buffer[],
): Buffer {
  const header = Buffer.alloc(READ_HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(endOffset));
  header.writeBigUInt64BE(BigInt(firstOffset), OFFSET_BYTES);
  const parts = records.flatMap((record) => {
    const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
    length.writeUInt32BE(record.length);
    return [length, record];
  });
  return Buffer.concat([header, ...parts]);
}

/**
 * Starts a store on a free port of the loopback address.
 *
 * @example
 * const store = await startStoreServer();
 * store.faults.isUnavailable = true;
 */
export async function startStoreServer(): Promise<StoreServer> {
  const topics = topicStore.createTopicStore();
  const faults: StoreFaults = {
    isSilent: false,
    isUnavailable: false,
    shouldResetConnections: false,
    delayMs: 0,
    shouldDropResponses: false,
    formatEra: undefined,
    responder: undefined,
  };
  let era = 1;
  const requestCounts = new Map<string, number>();
  const sentBytes = new Map<string, number>();
  const sockets = new Set<net.Socket>();

  const waitForAppend = async (topic: string, waitMs: number): Promise<void> => {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      topics.onNextAppend(topic, () => {
        clearTimeout(timer);
        resolve();
      });
    });
  };

  const handlers: Record<
    string,
    (request: StoreRequest) => Promise<StoreResponse> | StoreResponse
  > = {
    'POST /api/log-append': ({ query, body }) => {
      const topic = query.get('topic') ?? '';
      if (operatorTopics.has(topic)) return { status: HTTP_FORBIDDEN, body: {} };
      return { status: HTTP_OK, body: topics.append(topic, topicStore.splitRecords(body)) };
    },
    'GET /api/log-read': async ({ query }) => {
      const topic = query.get('topic') ?? '';
      const from = Number(query.get('from'));
      const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
      if (topics.getBounds(topic).endOffset === from) await waitForAppend(topic, waitMs);
      const maxBytes = Number(query.get('maxKb') ?? DEFAULT_MAX_KB) * BYTES_PER_KB;
      const records = topics.read(topic, from, maxBytes);
      const { firstOffset, endOffset } = topics.getBounds(topic);
      if (!records) return { status: HTTP_GONE, body: { firstOffset } };
      return { status: HTTP_OK, body: encodeReadResponse(endOffset, firstOffset, records) };
    },
    'GET /api/log-newest': ({ query }) => {
      const topic = query.get('topic') ?? '';
      const newestRecords = topics.listNewest(topic);
      const after = query.get('after');
      const start = after === null ? 0 : newestRecords.findIndex(({ key }) => key === after) + 1;
      const items = newestRecords.slice(start, start + MAX_PAGE_RECORDS);
      const hasMore = start + MAX_PAGE_RECORDS < newestRecords.length;
      const { endOffset } = topics.getBounds(topic);
      return { status: HTTP_OK, body: { items, hasMore, endOffset } };
    },
    'POST /api/log-trim': ({ query, body }) => {
      const { beforeOffset } = JSON.parse(body.toString()) as { beforeOffset: number };
      topics.trim(query.get('topic') ?? '', beforeOffset);
      return { status: HTTP_OK, body: {} };
    },
  };

  const createHeaders = (): http.OutgoingHttpHeaders => {
    const value = faults.formatEra ? faults.formatEra(era) : String(era);
    return value === undefined ? {} : { 'store-era': value };
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    if (faults.responder) {
      faults.responder(request, response);
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await requestBody.readBody(request);
    if (faults.isSilent) return;
    if (faults.shouldResetConnections) {
      resetSocket.resetSocket(request.socket);
      return;
    }
    if (faults.delayMs > 0) await timers.setTimeout(faults.delayMs);
    if (faults.isUnavailable) {
      response.writeHead(HTTP_UNAVAILABLE, createHeaders()).end();
      return;
    }
    const handler = handlers[`${request.method} ${url.pathname}`];
    const result = handler
      ? await handler({ query: url.searchParams, body })
      : { status: HTTP_NOT_FOUND, body: {} };
    requestCounts.set(url.pathname, (requestCounts.get(url.pathname) ?? 0) + 1);
    if (faults.shouldDropResponses && request.method === 'POST') return;
    const bytes = Buffer.isBuffer(result.body) ? result.body : JSON.stringify(result.body);
    sentBytes.set(url.pathname, (sentBytes.get(url.pathname) ?? 0) + Buffer.byteLength(bytes));
    response.writeHead(result.status, createHeaders()).end(bytes);
  };

  const server = http.createServer((request, response) => {
    handleRequest(request, response).catch(() => response.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    faults,
    topics,
    requestCounts,
    sentBytes,
    restore(copy, options = {}) {
      topics.restore(copy);
      era += 1;
      if (options.shouldKeepConnections !== true) sockets.forEach(resetSocket.resetSocket);
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
}
