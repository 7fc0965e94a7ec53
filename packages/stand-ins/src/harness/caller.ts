/** A customer's client: makes calls to proxies and keeps what it was told. */
import * as undici from 'undici';

/** A call to make. */
export interface CallOptions {
  address: string;
  port: number;
  path: string;
  key: string;
  method?: string;
  body?: string;
  orderKey?: string;
  timeoutMs?: number;
}

/** What the caller was told. */
export interface CallAnswer {
  /** 0 when the connection broke before an answer. */
  status: number;
  outcome: string;
  attemptOutcome: string;
  body: string;
  version: number;
  isReplay: boolean;
  ms: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const CONNECTIONS = 64;

/** Makes calls over kept connections. */
export interface Caller {
  call(options: CallOptions): Promise<CallAnswer>;
  close(): Promise<void>;
}

function readHeader(headers: Record<string, unknown>, name: string): string {
  return String(headers[name] ?? '');
}

/**
 * Creates a caller.
 *
 * @example
 * const answer = await createCaller().call({ address, port, path: '/catalogue/7', key });
 */
export function createCaller(): Caller {
  const agent = new undici.Agent({ connections: CONNECTIONS, keepAliveTimeout: 10_000 });
  return {
    async call(options) {
      const { address, port, path, key, method = 'GET', body, orderKey } = options;
      const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
      const startedAt = performance.now();
      try {
        const answer = await undici.request(`http://${address}:${port}${path}`, {
          dispatcher: agent,
          method,
          headers: {
            ...(key ? { authorization: `Bearer ${key}` } : {}),
            ...(orderKey ? { 'idempotency-key': orderKey } : {}),
          },
          ...(body === undefined ? {} : { body }),
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await answer.body.text();
        return {
          status: answer.statusCode,
          outcome: readHeader(answer.headers, 'x-figshed-outcome'),
          attemptOutcome: readHeader(answer.headers, 'x-figshed-attempt-outcome'),
          body: text,
          version: Number(answer.headers['x-figshed-version'] ?? -1),
          isReplay: answer.headers['x-figshed-replayed'] !== undefined,
          ms: performance.now() - startedAt,
        };
      } catch (error) {
        return {
          status: 0,
          outcome: 'unknown',
          attemptOutcome: 'unknown',
          body: String(error),
          version: -1,
          isReplay: false,
          ms: performance.now() - startedAt,
        };
      }
    },
    close: () => agent.destroy(),
  };
}
