/** Measures what a process sends over the link of its host. */
import type * as net from 'node:net';
import type * as context from './context.js';

/** Who receives the bytes: callers, peers that sent attempts, or hosts that attempts are sent to. */
export type Receiver = 'callers' | 'peers' | 'hosts';

export interface LinkUsage {
  /** Returns a function that counts the bytes written to a socket from then on, each socket once. */
  createTracker(receiver: Receiver): (socket: net.Socket) => void;
  /** Sets the function that receives the bytes of each interval and its length. */
  onTraffic(listener: (bytes: number, elapsedMs: number) => void): void;
  start(): void;
  stop(): void;
}

interface Usage {
  receiver: Receiver;
  reportedBytes: number;
}

const INTERVAL_MS = 250;
const LOG_INTERVAL_MS = 1_000;
/** Share of the link above which its use is logged. */
const MIN_LOGGED_SHARE = 0.5;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1_000;

/**
 * Creates a measurement without sockets, which logs `link-usage` while the link is mostly used.
 * Connections to the target on the same host and datagrams are not tracked.
 *
 * @example
 * const linkUsage = createLinkUsage(ctx);
 * server.on('connection', linkUsage.createTracker('callers'));
 */
export function createLinkUsage({
  clock,
  log,
  settings,
}: Pick<context.MeshContext, 'clock' | 'log'> & {
  settings: Pick<context.MeshContext['settings'], 'linkMbps'>;
}): LinkUsage {
  const linkBytesPerMs = (settings.linkMbps * BITS_PER_MS_PER_MBPS) / BITS_PER_BYTE;
  const usages = new Map<net.Socket, Usage>();
  let closedBytes = 0;
  let lastAt = 0;
  let loggedAt = 0;
  let bytesByReceiver: Record<Receiver, number> = { callers: 0, peers: 0, hosts: 0 };
  let timer: NodeJS.Timeout | undefined;
  let receiveTraffic: (bytes: number, elapsedMs: number) => void = () => undefined;

  const takeBytes = (socket: net.Socket, usage: Usage): number => {
    const bytes = socket.bytesWritten - usage.reportedBytes;
    usage.reportedBytes = socket.bytesWritten;
    bytesByReceiver[usage.receiver] += bytes;
    return bytes;
  };

  const logUsage = (now: number): void => {
    const overMs = now - loggedAt;
    if (overMs < LOG_INTERVAL_MS) return;
    const { callers, peers, hosts } = bytesByReceiver;
    const usedShare = (callers + peers + hosts) / (linkBytesPerMs * overMs);
    if (usedShare >= MIN_LOGGED_SHARE)
      log.info('link-usage', {
        usedShare: Number(usedShare.toFixed(2)),
        callers,
        peers,
        hosts,
        overMs: Math.round(overMs),
      });
    bytesByReceiver = { callers: 0, peers: 0, hosts: 0 };
    loggedAt = now;
  };

  const report = (): void => {
    const openBytes = [...usages].reduce(
      (sum, [socket, usage]) => sum + takeBytes(socket, usage),
      0,
    );
    const now = clock.monotonic();
    receiveTraffic(openBytes + closedBytes, now - lastAt);
    closedBytes = 0;
    lastAt = now;
    logUsage(now);
  };

  return {
    createTracker: (receiver) => (socket) => {
      if (usages.has(socket)) return;
      const usage = { receiver, reportedBytes: socket.bytesWritten };
      usages.set(socket, usage);
      socket.once('close', () => {
        closedBytes += takeBytes(socket, usage);
        usages.delete(socket);
      });
    },
    onTraffic(listener) {
      receiveTraffic = listener;
    },
    start() {
      lastAt = clock.monotonic();
      loggedAt = lastAt;
      timer = setInterval(report, INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
}
