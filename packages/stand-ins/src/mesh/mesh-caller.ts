import * as http from 'node:http';

export interface CallOptions {
  address: string;
  port: number;
  path: string;
  callId: string;
  host?: string;
  method?: string;
  body?: string;
  /** API key of the caller's account; none by default. */
  apiKey?: string;
  deadlineMs?: number;
  agent?: http.Agent;
  signal?: AbortSignal;
}

export interface CallResult {
  /** HTTP status; 0 when the call failed or timed out without a complete response. */
  status: number;
  body: string;
  callId: string | undefined;
  signature: string | undefined;
  retryAfterMs: number;
  tookMs: number;
}

const DEFAULT_DEADLINE_MS = 2_000;
/** Wait beyond the deadline, so that late responses are observed too. */
const LATE_RESPONSE_WAIT_MS = 1_500;
const MS_PER_SECOND = 1_000;

/**
 * Sends one call and resolves with its outcome; never rejects.
 *
 * @example
 * const { status } = await sendCall({ address, port, path: '/a/', callId: 'c1' });
 */
export function sendCall(options: CallOptions): Promise<CallResult> {
  const startedAt = Date.now();
  return new Promise((resolve) => {
    const finish = (result: Partial<CallResult>): void =>
      resolve({
        status: 0,
        body: '',
        callId: undefined,
        signature: undefined,
        retryAfterMs: 0,
        ...result,
        tookMs: Date.now() - startedAt,
      });
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const request = http.request(
      {
        host: options.address,
        port: options.port,
        method: options.method ?? 'GET',
        path: options.path,
        agent: options.agent ?? false,
        timeout: deadlineMs + LATE_RESPONSE_WAIT_MS,
        ...(options.signal ? { signal: options.signal } : {}),
        headers: {
          host: options.host ?? 'shop.example',
          'figshed-request-id': options.callId,
          'figshed-deadline-ms': String(deadlineMs),
          ...(options.apiKey === undefined ? {} : { authorization: `Token ${options.apiKey}` }),
          ...(options.body === undefined
            ? {}
            : { 'content-length': Buffer.byteLength(options.body) }),
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => finish({}));
        response.on('end', () =>
          finish({
            status: response.statusCode ?? 0,
            body: Buffer.concat(chunks).toString(),
            callId: response.headers['figshed-request-id'] as string | undefined,
            signature: response.headers['figshed-response-signature'] as string | undefined,
            retryAfterMs: Number(response.headers['retry-after'] ?? 0) * MS_PER_SECOND,
          }),
        );
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => finish({}));
    request.end(options.body);
  });
}
