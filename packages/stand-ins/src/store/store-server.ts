/** A stand-in for the platform's store, written from its protocol page, with faults to switch on. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as topicStore from './topic-store.js';
import * as resetSocket from '../reset-socket.js';
import * as bodies from '../read-body.js';

/** What goes wrong; every switch is off at the start. */
export interface StoreFaults {
  /** Gives no answer at all. */
  isSilent: boolean;
  /** Refuses every call with 503. */
  isBusy: boolean;
  /** Resets every connection that sends a call. */
  isResetting: boolean;
  /** Delays every answer, in milliseconds. */
  slowMs: number;
  /** Carries appends out without answering them. */
  losesAnswers: boolean;
}

/** A running stand-in. */
export interface StoreServer {
  port: number;
  faults: StoreFaults;
  topics: topicStore.TopicStore;
  /** Calls that were answered, by path. */
  calls: Map<string, number>;
  close(): Promise<void>;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;
const HTTP_FORBIDDEN = 403;
const HTTP_UNAVAILABLE = 503;
const MAX_WAIT_MS = 30_000;
/** Records of one page of `log-newest`. */
const PAGE_RECORDS = 500;
const READ_HEADER_BYTES = 16;
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const operatorTopics: ReadonlySet<string> = new Set(['keyed.op', 'keyed.servers']);

interface Call {
  query: URLSearchParams;
  body: Buffer;
}

interface Answer {
  status: number;
  body: Buffer | object;
}

function formatRead(endOffset: number, firstOffset: number, records: readonly Buffer[]): Buffer {
  const header = Buffer.alloc(READ_HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(endOffset));
  header.writeBigUInt64BE(BigInt(firstOffset), OFFSET_BYTES);
  const parts = records.flatMap((record) => {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(record.length);
    return [length, record];
  });
  return Buffer.concat([header, ...parts]);
}

/**
 * Starts a stand-in on a free port of the loopback address.
 *
 * @example
 * const store = await startStoreServer();
 * store.faults.isBusy = true;
 */
export async function startStoreServer(): Promise<StoreServer> {
  const topics = topicStore.createTopicStore();
  const faults: StoreFaults = {
    isSilent: false,
    isBusy: false,
    isResetting: false,
    slowMs: 0,
    losesAnswers: false,
  };
  const calls = new Map<string, number>();
  const sockets = new Set<net.Socket>();

  const waitForGrowth = async (topic: string, waitMs: number): Promise<void> => {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      topics.onGrowth(topic, () => {
        clearTimeout(timer);
        resolve();
      });
    });
  };

  const handlers: Record<string, (call: Call) => Promise<Answer> | Answer> = {
    'POST /api/log-append': ({ query, body }) => {
      const topic = query.get('topic') ?? '';
      if (operatorTopics.has(topic)) return { status: HTTP_FORBIDDEN, body: {} };
      return { status: HTTP_OK, body: topics.append(topic, topicStore.splitRecords(body)) };
    },
    'GET /api/log-read': async ({ query }) => {
      const topic = query.get('topic') ?? '';
      const from = Number(query.get('from'));
      const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
      if (topics.bounds(topic).endOffset <= from) await waitForGrowth(topic, waitMs);
      const records = topics.read(topic, from);
      const { firstOffset, endOffset } = topics.bounds(topic);
      if (!records) return { status: HTTP_GONE, body: { firstOffset } };
      return { status: HTTP_OK, body: formatRead(endOffset, firstOffset, records) };
    },
    'GET /api/log-newest': ({ query }) => {
      const topic = query.get('topic') ?? '';
      const all = topics.newest(topic);
      const after = query.get('after');
      const start = after === null ? 0 : all.findIndex(({ key }) => key === after) + 1;
      const items = all.slice(start, start + PAGE_RECORDS);
      const hasMore = start + PAGE_RECORDS < all.length;
      const { endOffset } = topics.bounds(topic);
      return { status: HTTP_OK, body: { items, hasMore, endOffset } };
    },
    'POST /api/log-trim': ({ query, body }) => {
      const { beforeOffset } = JSON.parse(body.toString()) as { beforeOffset: number };
      topics.trim(query.get('topic') ?? '', beforeOffset);
      return { status: HTTP_OK, body: {} };
    },
  };

  const answer = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await bodies.readBody(request);
    if (faults.isSilent) return;
    if (faults.isResetting) {
      resetSocket.resetSocket(request.socket);
      return;
    }
    if (faults.slowMs > 0) await timers.setTimeout(faults.slowMs);
    if (faults.isBusy) {
      response.writeHead(HTTP_UNAVAILABLE).end();
      return;
    }
    const handler = handlers[`${request.method} ${url.pathname}`];
    const result = handler
      ? await handler({ query: url.searchParams, body })
      : { status: HTTP_NOT_FOUND, body: {} };
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
    if (faults.losesAnswers && request.method === 'POST') return;
    const bytes = Buffer.isBuffer(result.body) ? result.body : JSON.stringify(result.body);
    response.writeHead(result.status).end(bytes);
  };

  const server = http.createServer((request, response) => {
    answer(request, response).catch(() => response.destroy());
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
    calls,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
}
