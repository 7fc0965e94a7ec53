/**
 * Stand-in for a target: limits concurrency by slots and refuses calls beyond them, is slow after a
 * cold start, drains on SIGUSR2, aborts cancelled calls, reports its health with a lag, can be
 * crashed by a request, and prints a line for every order that it runs.
 */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

export interface TargetOptions {
  port: number;
  service: string;
  /** Local port of the proxy on the same host. */
  proxyPort: number;
  proxyAddress: string;
  slots: number;
  connections: number;
  /** Service time of a call without the query parameter `ms`, in milliseconds. */
  serviceMs: number;
  /** Time after the start during which calls take ten times as long, in milliseconds. */
  coldMs: number;
  /** Age of the state that the health endpoint reports, in milliseconds. */
  healthLagMs: number;
  /** Whether the target announces itself to its proxy. */
  announce: boolean;
}

export const defaultTargetOptions: TargetOptions = {
  port: 0,
  service: 'catalogue',
  proxyPort: 0,
  proxyAddress: '127.0.0.1',
  slots: 20,
  connections: 100,
  serviceMs: 2,
  coldMs: 0,
  healthLagMs: 5_000,
  announce: true,
};

/** Receives an output line for every run of an order, cancellation and drain. */
export type ReportLine = (line: string) => void;

const ANNOUNCE_INTERVAL_MS = 500;
const COLD_START_FACTOR = 10;
const CRASH_EXIT_CODE = 70;
const HTTP_OK = 200;
const HTTP_PARTIAL = 206;
const HTTP_UNAVAILABLE = 503;
const DEFAULT_RESPONSE_BYTES = 500;
const CHUNK_BYTES = 65_536;
const ENTITY_TAG = '"figshed-stand-in"';

interface ByteRange {
  start: number;
  end: number;
  isPartial: boolean;
}

function parseRange(header: string | undefined, size: number): ByteRange {
  const match = /^bytes=(\d+)-$/.exec(header ?? '');
  const start = match ? Number(match[1]) : 0;
  return { start, end: size, isPartial: match !== null };
}

/**
 * Computes the byte at a position of a download. Every target serves the same bytes, so a download
 * can resume at another one.
 *
 * @example
 * computeDownloadByte(0); // 97
 */
export function computeDownloadByte(position: number): number {
  const firstCharCode = 'a'.charCodeAt(0);
  const letterCount = 23;
  return firstCharCode + (Math.floor(position / 7) % letterCount);
}

function createChunk(start: number, end: number): Buffer {
  const chunk = Buffer.allocUnsafe(end - start);
  for (let position = start; position < end; position += 1)
    chunk[position - start] = computeDownloadByte(position);
  return chunk;
}

async function sendDownload(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  size: number,
  breakAtByte: number,
): Promise<void> {
  const { start, end, isPartial } = parseRange(request.headers.range, size);
  response.writeHead(isPartial ? HTTP_PARTIAL : HTTP_OK, {
    'content-type': 'application/octet-stream',
    'content-length': end - start,
    'accept-ranges': 'bytes',
    etag: ENTITY_TAG,
    ...(isPartial ? { 'content-range': `bytes ${start}-${end - 1}/${size}` } : {}),
  });
  for (let position = start; position < end && !response.destroyed; position += CHUNK_BYTES) {
    if (breakAtByte > 0 && !isPartial && position >= breakAtByte) {
      request.socket.destroy();
      return;
    }
    const chunk = createChunk(position, Math.min(end, position + CHUNK_BYTES));
    if (!response.write(chunk)) {
      // eslint-disable-next-line no-await-in-loop -- waits for the socket buffer to drain
      await new Promise((resolve) => {
        response.once('drain', resolve);
        response.once('close', resolve);
      });
    }
  }
  response.end();
}

/**
 * Starts a target that announces itself periodically, and returns its port.
 *
 * @example
 * await startTarget({ ...defaultTargetOptions, proxyPort: 7102 }, (line) => process.stdout.write(line));
 */
export async function startTarget(options: TargetOptions, reportLine: ReportLine): Promise<number> {
  const startedAt = Date.now();
  let runningCalls = 0;
  let isDraining = false;
  const healthSamples: { sampledAt: number; running: number }[] = [];

  const announce = async (port: number): Promise<void> => {
    const body = JSON.stringify({
      service: options.service,
      address: '127.0.0.1',
      port,
      slots: options.slots,
      connections: options.connections,
      state: isDraining ? 'draining' : 'up',
    });
    await fetch(`http://${options.proxyAddress}:${options.proxyPort}/target`, {
      method: 'PUT',
      body,
    }).catch(() => undefined);
  };

  const handleHealth = (response: http.ServerResponse): void => {
    const cutoff = Date.now() - options.healthLagMs;
    const sample = healthSamples.filter(({ sampledAt }) => sampledAt <= cutoff).at(-1);
    response.end(JSON.stringify({ running: sample?.running ?? 0, healthy: true }));
  };

  const handleCall = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
  ): Promise<void> => {
    const query = new URL(request.url ?? '/', 'http://target').searchParams;
    const idempotencyKey = request.headers['idempotency-key'];
    if (idempotencyKey !== undefined) reportLine(`run key=${String(idempotencyKey)}\n`);
    if (query.has('crash')) process.exit(CRASH_EXIT_CODE);
    const slowdownFactor = Date.now() - startedAt < options.coldMs ? COLD_START_FACTOR : 1;
    const serviceMs = Number(query.get('ms') ?? options.serviceMs) * slowdownFactor;
    const abortController = new AbortController();
    response.once('close', () => abortController.abort());
    try {
      if (serviceMs > 0)
        await timers.setTimeout(serviceMs, undefined, { signal: abortController.signal });
    } catch {
      reportLine(`cancelled call=${String(request.headers['x-request-id'])}\n`);
      return;
    }
    if (query.has('silent')) return;
    if (query.has('download')) {
      await sendDownload(
        request,
        response,
        Number(query.get('download')),
        Number(query.get('breakAt') ?? 0),
      );
      return;
    }
    const bytes = Number(query.get('bytes') ?? DEFAULT_RESPONSE_BYTES);
    const echo = JSON.stringify({ path: request.url, body, key: idempotencyKey ?? null });
    response.writeHead(HTTP_OK, {
      'content-type': 'application/json',
      'x-request-id': String(request.headers['x-request-id'] ?? ''),
      'content-length': Math.max(bytes, Buffer.byteLength(echo)),
    });
    response.end(echo.padEnd(bytes, ' '));
  };

  const server = http.createServer((request, response) => {
    if (request.url === '/health') {
      handleHealth(response);
      return;
    }
    if (runningCalls >= options.slots || isDraining) {
      request.resume();
      response.writeHead(HTTP_UNAVAILABLE, { 'x-not-run': 'true' }).end();
      return;
    }
    runningCalls += 1;
    healthSamples.push({ sampledAt: Date.now(), running: runningCalls });
    if (healthSamples.length > CHUNK_BYTES) healthSamples.shift();
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      handleCall(request, response, Buffer.concat(chunks).toString()).catch(() =>
        response.destroy(),
      );
    });
    response.once('close', () => {
      runningCalls -= 1;
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(options.port, '127.0.0.1', resolve);
  });
  const { port } = server.address() as { port: number };
  if (options.announce) {
    await announce(port);
    setInterval(() => announce(port), ANNOUNCE_INTERVAL_MS);
  }
  process.on('SIGUSR2', () => {
    isDraining = true;
    reportLine('draining\n');
    announce(port).catch(() => undefined);
  });
  return port;
}
