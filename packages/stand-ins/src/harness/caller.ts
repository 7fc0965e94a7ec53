/** HTTP client of a customer that calls proxies. */
import * as undici from 'undici';

export interface CallOptions {
  address: string;
  port: number;
  path: string;
  apiKey: string;
  method?: string;
  body?: string;
  orderKey?: string;
  timeoutMs?: number;
}

export interface CallResponse {
  /** HTTP status; 0 when the call failed or timed out without a complete response. */
  status: number;
  outcome: string;
  attemptOutcome: string;
  body: string;
  /** Configuration version that the proxy reported; -1 when it reported none. */
  version: number;
  isReplayed: boolean;
  latencyMs: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_CONNECTIONS_PER_PROXY = 64;

/** Makes calls over keep-alive connections. */
export interface Caller {
  call(options: CallOptions): Promise<CallResponse>;
  close(): Promise<void>;
}

function readHeader(headers: Record<string, unknown>, name: string): string {
  return String(headers[name] ?? '');
}

/**
 * Creates a caller.
 *
 * @example
 * const response = await createCaller().call({ address, port, path: '/catalogue/7', apiKey });
 */
export function createCaller(): Caller {
  const agent = new undici.Agent({
    connections: MAX_CONNECTIONS_PER_PROXY,
    keepAliveTimeout: 10_000,
  });
  return {
    async call(options) {
      const { address, port, path, apiKey, method = 'GET', body, orderKey } = options;
      const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
      const startedAt = performance.now();
      try {
        const response = await undici.request(`http://${address}:${port}${path}`, {
          dispatcher: agent,
          method,
          headers: {
            ...(apiKey ? { authorization: `Bearer ${apiKey}` } : {}),
            ...(orderKey ? { 'idempotency-key': orderKey } : {}),
          },
          ...(body === undefined ? {} : { body }),
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await response.body.text();
        return {
          status: response.statusCode,
          outcome: readHeader(response.headers, 'x-figshed-outcome'),
          attemptOutcome: readHeader(response.headers, 'x-figshed-attempt-outcome'),
          body: text,
          version: Number(response.headers['x-figshed-version'] ?? -1),
          isReplayed: response.headers['x-figshed-replayed'] !== undefined,
          latencyMs: performance.now() - startedAt,
        };
      } catch (error) {
        return {
          status: 0,
          outcome: 'unknown',
          attemptOutcome: 'unknown',
          body: String(error),
          version: -1,
          isReplayed: false,
          latencyMs: performance.now() - startedAt,
        };
      }
    },
    close: () => agent.destroy(),
  };
}
