/** A loopback proxy that delays, resets, cuts one way or silences the connections through it. */
import * as net from 'node:net';
import * as resetSocket from '../reset-socket.js';

/** What the link does to connections; every switch is off at the start. */
export interface LinkFaults {
  /** Delays what is sent towards the server, in milliseconds. */
  delayMs: number;
  /** Drops what the server sends. */
  dropsAnswers: boolean;
  /** Drops what is sent either way; connections stay open. */
  isSilent: boolean;
}

/** A running link. */
export interface FaultLink {
  faults: LinkFaults;
  /** Resets every open connection and returns how many there were. */
  resetAll(): number;
  /** Silences for good the connections that are open now; new ones work. */
  silenceOpen(): number;
  close(): Promise<void>;
}

interface Endpoint {
  address: string;
  port: number;
}

/**
 * Starts a link from one endpoint to another.
 *
 * @example
 * const link = await startFaultLink({ address: '127.0.0.2', port: 1 }, { address: '127.0.0.2', port: 2 });
 * link.faults.delayMs = 50;
 */
export async function startFaultLink(from: Endpoint, to: Endpoint): Promise<FaultLink> {
  const faults: LinkFaults = { delayMs: 0, dropsAnswers: false, isSilent: false };
  const open = new Map<net.Socket, net.Socket>();
  const silenced = new Set<net.Socket>();

  const server = net.createServer((client) => {
    const upstream = net.connect(to.port, to.address);
    open.set(client, upstream);
    const isDropped = (): boolean => faults.isSilent || silenced.has(client);
    client.on('data', (chunk: Buffer) => {
      if (isDropped()) return;
      if (faults.delayMs > 0) setTimeout(() => upstream.write(chunk), faults.delayMs);
      else upstream.write(chunk);
    });
    upstream.on('data', (chunk: Buffer) => {
      if (!isDropped() && !faults.dropsAnswers) client.write(chunk);
    });
    client.on('end', () => upstream.end());
    upstream.on('end', () => {
      if (!isDropped()) client.end();
    });
    const endBoth = (): void => {
      open.delete(client);
      if (upstream.errored) resetSocket.resetSocket(client);
      client.destroy();
      upstream.destroy();
    };
    client.on('error', () => undefined).on('close', endBoth);
    upstream.on('error', () => undefined).on('close', endBoth);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(from.port, from.address, resolve);
  });

  return {
    faults,
    resetAll() {
      const count = open.size;
      [...open].forEach(([client, upstream]) => {
        resetSocket.resetSocket(client);
        resetSocket.resetSocket(upstream);
      });
      return count;
    },
    silenceOpen() {
      [...open.keys()].forEach((client) => silenced.add(client));
      return open.size;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        [...open.keys()].forEach((client) => client.destroy());
      }),
  };
}
