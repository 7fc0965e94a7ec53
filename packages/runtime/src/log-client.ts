/** HTTP client of the platform's append-only log; docs/platform-log.md describes the protocol. */
import type * as stream from 'node:stream';
import * as undici from 'undici';
import * as zod from 'zod';
import * as connectFailure from './connect-failure.js';
import * as constants from './constants.js';
import * as errors from './errors.js';
import * as responseBody from './response-body.js';

const { z } = zod;

const appendResponseSchema = z.object({ offset: z.number().int() });
const readResponseSchema = z.object({
  /** Oldest retained offset. */
  first: z.number().int(),
  /** Offset of the next record to be appended. */
  head: z.number().int(),
  records: z.array(z.object({ offset: z.number().int(), body: z.unknown() })),
});

/** Response to a read: the records, and the range of offsets that the log retains. */
export type ReadResponse = zod.infer<typeof readResponseSchema>;

export interface LogClient {
  /**
   * Appends a record and returns its offset.
   *
   * @throws LogUnavailableError when nothing was appended.
   * @throws LogResultUnknownError when the record may have been appended.
   */
  append(stream: string, body: unknown): Promise<number>;
  /**
   * Reads records from offset `from` on. When there are none, the log waits up to `waitMs`
   * milliseconds for the first one.
   *
   * @throws LogUnavailableError when the log does not respond or refuses the request, or on abort.
   */
  read(stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<ReadResponse>;
  /** Closes the connections; requests in flight fail. */
  close(): Promise<void>;
}

export interface LogClientOptions {
  url: string;
  /** Time-out of one request, in milliseconds; `waitMs` of a read is added to it. */
  timeoutMs: number;
}

const MAX_CONNECTIONS = 16;
const HTTP_OK = 200;
const HTTP_CREATED = 201;

async function readJson(body: stream.Readable): Promise<unknown> {
  const bytes = await responseBody.readResponseBody(body, constants.MAX_LOG_BODY_BYTES);
  return JSON.parse(bytes.toString());
}

/**
 * Creates a client of the log.
 *
 * @example
 * const log = createLogClient({ url: 'http://127.0.0.1:7000', timeoutMs: 1000 });
 * const offset = await log.append('config', change);
 */
export function createLogClient(options: LogClientOptions): LogClient {
  const { origin, pathname } = new URL(options.url);
  const basePath = pathname.replace(/\/$/, '');
  const pool = new undici.Pool(origin, {
    connections: MAX_CONNECTIONS,
    connect: { timeout: options.timeoutMs },
  });
  const formatPath = (stream: string) =>
    `${basePath}/streams/${encodeURIComponent(stream)}/records`;
  return {
    async append(stream, body) {
      try {
        const response = await pool.request({
          method: 'POST',
          path: formatPath(stream),
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
          headersTimeout: options.timeoutMs,
          bodyTimeout: options.timeoutMs,
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        if (response.statusCode !== HTTP_CREATED) {
          await response.body.dump();
          throw new errors.LogUnavailableError(`log refused the append: ${response.statusCode}`);
        }
        return appendResponseSchema.parse(await readJson(response.body)).offset;
      } catch (error) {
        if (error instanceof errors.LogUnavailableError) throw error;
        const code = connectFailure.getErrorCode(error);
        if (connectFailure.isConnectFailure(error))
          throw new errors.LogUnavailableError(`log: ${code}`);
        throw new errors.LogResultUnknownError(`answer of the append was lost: ${code}`);
      }
    },
    async read(stream, from, waitMs, signal) {
      const timeoutMs = waitMs + options.timeoutMs;
      const timeout = AbortSignal.timeout(timeoutMs);
      try {
        const response = await pool.request({
          method: 'GET',
          path: `${formatPath(stream)}?from=${from}&waitMs=${waitMs}`,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
          signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
        });
        if (response.statusCode !== HTTP_OK) {
          await response.body.dump();
          throw new errors.LogUnavailableError(`log refused the read: ${response.statusCode}`);
        }
        return readResponseSchema.parse(await readJson(response.body));
      } catch (error) {
        if (error instanceof errors.LogUnavailableError) throw error;
        throw new errors.LogUnavailableError(`log: ${connectFailure.getErrorCode(error)}`);
      }
    },
    close: () => pool.destroy(),
  };
}

/**
 * Reads all retained records of a stream from offset `from` on, one page at a time.
 *
 * @throws LogUnavailableError when the log does not respond or refuses a request.
 *
 * @example
 * const { records } = await readAllRecords(log, 'config', 0);
 */
export async function readAllRecords(
  log: LogClient,
  stream: string,
  from: number,
): Promise<ReadResponse> {
  let response = await log.read(stream, from, 0);
  const records = [...response.records];
  while (response.records.length > 0) {
    const last = response.records.at(-1);
    if (!last || last.offset + 1 >= response.head) break;
    // Each page starts after the last record of the previous one.
    // eslint-disable-next-line no-await-in-loop
    response = await log.read(stream, last.offset + 1, 0);
    records.push(...response.records);
  }
  return { ...response, records };
}
