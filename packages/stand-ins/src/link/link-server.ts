/**
 * A faulty link between data centres: forwards TCP and UDP with a delay, and can be cut, made
 * lossy, or made to forget its open connections while new ones work.
 */
import * as dgram from 'node:dgram';
import * as net from 'node:net';

/** One direction of forwarding: what arrives at `listen` goes to `to`, on the same port. */
export interface LinkOptions {
  from: string;
  to: string;
  listenAddress: string;
  toAddress: string;
  ports: number[];
  delayMs: number;
}

/** Counts since the start. */
export interface LinkCounts {
  connections: number;
  bytes: Record<string, number>;
  datagrams: number;
  dropped: number;
  refused: number;
  silenced: number;
}

/** Links and their switches. */
export interface LinkServer {
  /** Cuts the given pairs of data centres and heals all others. */
  setCuts(pairs: readonly (readonly [string, string])[]): void;
  /** Share of datagrams that are lost. */
  setLoss(share: number): void;
  /** Makes every open TCP connection silent for good; new ones work. */
  silenceOpen(): number;
  counts(): LinkCounts;
}

interface Connection {
  pair: string;
  isSilent: boolean;
}

const CLIENT_TTL_MS = 30_000;

function formatPair(left: string, right: string): string {
  return [left, right].sort().join('|');
}

/**
 * Starts links.
 *
 * @example
 * const links = await startLinks([{ from: 'khomas-1', to: 'erongo-1', ... }]);
 */
export async function startLinks(options: readonly LinkOptions[]): Promise<LinkServer> {
  const counts: LinkCounts = {
    connections: 0,
    bytes: {},
    datagrams: 0,
    dropped: 0,
    refused: 0,
    silenced: 0,
  };
  let cuts = new Set<string>();
  let loss = 0;
  let lossCredit = 0;
  const connections = new Set<Connection>();

  const countBytes = (pair: string, bytes: number): void => {
    counts.bytes[pair] = (counts.bytes[pair] ?? 0) + bytes;
  };

  const forward = (
    connection: Connection,
    source: net.Socket,
    sink: net.Socket,
    delayMs: number,
  ): void => {
    source.on('data', (chunk: Buffer) => {
      // Bytes lost once make the rest of the stream useless, so the connection stays silent.
      if (cuts.has(connection.pair)) connection.isSilent = true;
      if (connection.isSilent) {
        counts.dropped += 1;
        return;
      }
      countBytes(connection.pair, chunk.byteLength);
      setTimeout(() => {
        if (connection.isSilent || sink.destroyed) return;
        if (!sink.write(chunk)) {
          source.pause();
          sink.once('drain', () => source.resume());
        }
      }, delayMs);
    });
    const close = (): void => {
      if (connection.isSilent || cuts.has(connection.pair)) return;
      connections.delete(connection);
      setTimeout(() => sink.destroy(), delayMs);
    };
    source.on('error', () => undefined);
    source.on('close', close);
  };

  const startTcp = (link: LinkOptions, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      const pair = formatPair(link.from, link.to);
      const server = net.createServer((client) => {
        counts.connections += 1;
        if (cuts.has(pair)) {
          counts.refused += 1;
          client.on('error', () => undefined);
          return;
        }
        const connection = { pair, isSilent: false };
        connections.add(connection);
        const upstream = net.connect({ host: link.toAddress, port });
        forward(connection, client, upstream, link.delayMs);
        forward(connection, upstream, client, link.delayMs);
      });
      server.once('error', reject);
      server.listen(port, link.listenAddress, resolve);
    });

  const isDropped = (pair: string): boolean => {
    lossCredit += loss;
    const isLost = lossCredit >= 1;
    if (isLost) lossCredit -= 1;
    const isDrop = isLost || cuts.has(pair);
    if (isDrop) counts.dropped += 1;
    else counts.datagrams += 1;
    return isDrop;
  };

  const startUdp = (link: LinkOptions, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      const pair = formatPair(link.from, link.to);
      const server = dgram.createSocket('udp4');
      const clients = new Map<string, dgram.Socket>();
      const getClient = (address: string, clientPort: number): dgram.Socket => {
        const key = `${address}:${clientPort}`;
        const known = clients.get(key);
        if (known) return known;
        const socket = dgram.createSocket('udp4');
        clients.set(key, socket);
        socket.on('message', (bytes) => {
          if (isDropped(pair)) return;
          countBytes(pair, bytes.byteLength);
          setTimeout(() => server.send(bytes, clientPort, address, () => undefined), link.delayMs);
        });
        socket.on('error', () => undefined);
        setTimeout(() => {
          clients.delete(key);
          socket.close();
        }, CLIENT_TTL_MS).unref();
        return socket;
      };
      server.on('message', (bytes, remote) => {
        if (isDropped(pair)) return;
        countBytes(pair, bytes.byteLength);
        const socket = getClient(remote.address, remote.port);
        setTimeout(() => {
          if (clients.get(`${remote.address}:${remote.port}`) !== socket) return;
          socket.send(bytes, port, link.toAddress, () => undefined);
        }, link.delayMs);
      });
      server.once('error', reject);
      server.bind(port, link.listenAddress, resolve);
    });

  await Promise.all(
    options.flatMap((link) =>
      link.ports.flatMap((port) => [startTcp(link, port), startUdp(link, port)]),
    ),
  );
  return {
    setCuts(pairs) {
      cuts = new Set(pairs.map(([left, right]) => formatPair(left, right)));
    },
    setLoss(share) {
      loss = share;
    },
    silenceOpen() {
      const open = [...connections].filter(({ isSilent }) => !isSilent);
      open.forEach((connection) => Object.assign(connection, { isSilent: true }));
      counts.silenced += open.length;
      return open.length;
    },
    counts: () => counts,
  };
}
