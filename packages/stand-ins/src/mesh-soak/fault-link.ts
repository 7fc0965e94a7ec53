import * as net from 'node:net';
import * as resetSocket from '../reset-socket.js';
import * as delayLine from './delay-line.js';

/** Faults of the connections through a link; all are off initially. */
export interface LinkFaults {
  /** Delay of data sent to the server, in milliseconds. */
  delayMs: number;
  /** Delay of data sent by the server, in milliseconds. */
  responseDelayMs: number;
  /** Drops data sent by the server. */
  shouldDropResponses: boolean;
  /** Drops data in both directions; connections stay open. */
  isBlackholed: boolean;
}

/** A TCP proxy on the loopback interface that injects faults into the connections through it. */
export interface FaultLink {
  faults: LinkFaults;
  /** Bytes dropped so far, in both directions. */
  getDroppedBytes(): number;
  /** Resets every open connection and returns how many there were. */
  resetConnections(): number;
  /** Drops all further data of the open connections and returns their number; new ones work. */
  blackholeOpenConnections(): number;
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
  const faults: LinkFaults = {
    delayMs: 0,
    responseDelayMs: 0,
    shouldDropResponses: false,
    isBlackholed: false,
  };
  const openConnections = new Map<net.Socket, net.Socket>();
  const blackholed = new Set<net.Socket>();
  let droppedBytes = 0;

  const server = net.createServer((client) => {
    const upstream = net.connect(to.port, to.address);
    openConnections.set(client, upstream);
    const requests = delayLine.createDelayLine(() => faults.delayMs);
    const responses = delayLine.createDelayLine(() => faults.responseDelayMs);
    const shouldDropData = (): boolean => faults.isBlackholed || blackholed.has(client);
    client.on('data', (chunk: Buffer) => {
      if (shouldDropData()) droppedBytes += chunk.byteLength;
      else requests.add(() => upstream.write(chunk));
    });
    upstream.on('data', (chunk: Buffer) => {
      if (shouldDropData() || faults.shouldDropResponses) droppedBytes += chunk.byteLength;
      else responses.add(() => client.write(chunk));
    });
    client.on('end', () => requests.add(() => upstream.end()));
    let isReset = false;
    upstream.on('end', () => {
      // A reset that is read together with the last bytes is reported as an end, without an address.
      isReset = upstream.remoteAddress === undefined;
      if (!isReset && !shouldDropData()) responses.add(() => client.end());
    });
    // Data in transit arrives before the end of its connection.
    client.on('error', () => undefined);
    client.on('close', () => {
      openConnections.delete(client);
      requests.add(() => upstream.destroy());
    });
    upstream.on('error', () => undefined);
    upstream.on('close', () =>
      responses.add(() => {
        if (upstream.errored || isReset) resetSocket.resetSocket(client);
        client.destroy();
      }),
    );
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(from.port, from.address, resolve);
  });

  return {
    faults,
    getDroppedBytes: () => droppedBytes,
    resetConnections() {
      const count = openConnections.size;
      [...openConnections].forEach(([client, upstream]) => {
        resetSocket.resetSocket(client);
        resetSocket.resetSocket(upstream);
      });
      return count;
    },
    blackholeOpenConnections() {
      [...openConnections.keys()].forEach((client) => blackholed.add(client));
      return openConnections.size;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        [...openConnections].forEach(([client, upstream]) => {
          client.destroy();
          upstream.destroy();
        });
      }),
  };
}
