/**
 * A target as a process of its own: slots, cold start, drain, shedding, deadlines, cancellation, a
 * lagging health endpoint, a request that crashes it, and a record of every order that it ran.
 */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

/** Settings of a target. */
export interface TargetOptions {
  port: number;
  service: string;
  /** Local port of the proxy on the same host. */
  proxyPort: number;
  proxyAddress: string;
  slots: number;
  connections: number;
  /** Time that one call takes when the query does not say, in milliseconds. */
  serviceMs: number;
  /** For this long after the start, calls take ten times as long. */
  coldMs: number;
  /** Age of what the health endpoint tells. */
  healthLagMs: number;
  /** Seed of the shares below, which make answers wrong on purpose. */
  announce: boolean;
}

export const targetDefaults: TargetOptions = {
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

/** Called for every run of an order and every other event worth a line. */
export type ReportRun = (line: string) => void;

const ANNOUNCE_INTERVAL_MS = 500;
const COLD_FACTOR = 10;
const CRASH_EXIT_CODE = 70;
const HTTP_OK = 200;
const HTTP_PARTIAL = 206;
const HTTP_UNAVAILABLE = 503;
const DEFAULT_BYTES = 500;
const CHUNK_BYTES = 65_536;
const ENTITY_TAG = '"figshed-stand-in"';

interface Range {
  start: number;
  end: number;
  isPartial: boolean;
}

function readRange(header: string | undefined, size: number): Range {
  const match = /^bytes=(\d+)-$/.exec(header ?? '');
  const start = match ? Number(match[1]) : 0;
  return { start, end: size, isPartial: match !== null };
}

/**
 * Computes the byte at a position of a download; equal at every target.
 *
 * @example
 * computeByte(0); // 97
 */
export function computeByte(position: number): number {
  const first = 'a'.charCodeAt(0);
  const letters = 23;
  return first + (Math.floor(position / 7) % letters);
}

function createChunk(start: number, end: number): Buffer {
  const chunk = Buffer.allocUnsafe(end - start);
  for (let at = start; at < end; at += 1) chunk[at - start] = computeByte(at);
  return chunk;
}

async function sendDownload(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  size: number,
  breakAt: number,
): Promise<void> {
  const { start, end, isPartial } = readRange(request.headers.range, size);
  response.writeHead(isPartial ? HTTP_PARTIAL : HTTP_OK, {
    'content-type': 'application/octet-stream',
    'content-length': end - start,
    'accept-ranges': 'bytes',
    etag: ENTITY_TAG,
    ...(isPartial ? { 'content-range': `bytes ${start}-${end - 1}/${size}` } : {}),
  });
  for (let at = start; at < end && !response.destroyed; at += CHUNK_BYTES) {
    if (breakAt > 0 && !isPartial && at >= breakAt) {
      request.socket.destroy();
      return;
    }
    const chunk = createChunk(at, Math.min(end, at + CHUNK_BYTES));
    if (!response.write(chunk)) {
      // Chunks are sent one after the other.
      // eslint-disable-next-line no-await-in-loop
      await new Promise((resolve) => {
        response.once('drain', resolve);
        response.once('close', resolve);
      });
    }
  }
  response.end();
}

/**
 * Starts a target and its announcements.
 *
 * @example
 * await startTarget({ ...targetDefaults, proxyPort: 7102 }, (line) => process.stdout.write(line));
 */
export async function startTarget(options: TargetOptions, report: ReportRun): Promise<number> {
  const startedAt = Date.now();
  let running = 0;
  let isDraining = false;
  const health: { at: number; running: number }[] = [];

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
    const entry = health.filter(({ at }) => at <= cutoff).at(-1);
    response.end(JSON.stringify({ running: entry?.running ?? 0, healthy: true }));
  };

  const runCall = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
  ): Promise<void> => {
    const query = new URL(request.url ?? '/', 'http://target').searchParams;
    const key = request.headers['idempotency-key'];
    if (key !== undefined) report(`run key=${String(key)}\n`);
    if (query.has('crash')) process.exit(CRASH_EXIT_CODE);
    const factor = Date.now() - startedAt < options.coldMs ? COLD_FACTOR : 1;
    const serviceMs = Number(query.get('ms') ?? options.serviceMs) * factor;
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    try {
      if (serviceMs > 0) await timers.setTimeout(serviceMs, undefined, { signal: abort.signal });
    } catch {
      report(`cancelled call=${String(request.headers['x-request-id'])}\n`);
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
    const bytes = Number(query.get('bytes') ?? DEFAULT_BYTES);
    const echo = JSON.stringify({ path: request.url, body, key: key ?? null });
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
    if (running >= options.slots || isDraining) {
      request.resume();
      response.writeHead(HTTP_UNAVAILABLE, { 'x-not-run': 'true' }).end();
      return;
    }
    running += 1;
    health.push({ at: Date.now(), running });
    if (health.length > CHUNK_BYTES) health.shift();
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      runCall(request, response, Buffer.concat(chunks).toString()).catch(() => response.destroy());
    });
    response.once('close', () => {
      running -= 1;
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
    report('draining\n');
    announce(port).catch(() => undefined);
  });
  return port;
}
