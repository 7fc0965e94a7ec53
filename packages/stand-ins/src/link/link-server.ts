/**
 * Network link between data centres with fault injection: forwards TCP and UDP with a delay, and
 * can be cut, drop a share of the datagrams, or drop all data of its open connections while new
 * ones work.
 */
import * as dgram from 'node:dgram';
import * as net from 'node:net';

/** One direction of a link: traffic to `listenAddress` goes to the same port of `toAddress`. */
export interface LinkOptions {
  from: string;
  to: string;
  listenAddress: string;
  toAddress: string;
  ports: number[];
  delayMs: number;
}

/** Counters since the start; `bytes` is by pair of data centres, `silenced` counts connections. */
export interface LinkCounts {
  connections: number;
  bytes: Record<string, number>;
  datagrams: number;
  dropped: number;
  refused: number;
  silenced: number;
}

/** Running links and the controls of their faults. */
export interface LinkServer {
  /** Cuts the links of the given pairs of data centres and restores all others. */
  setCuts(pairs: readonly (readonly [string, string])[]): void;
  /** Sets the share of datagrams that are dropped. */
  setLoss(share: number): void;
  /** Drops all further data of the open connections and returns their number; new ones work. */
  blackholeOpenConnections(): number;
  getCounts(): LinkCounts;
}

interface Connection {
  pair: string;
  isBlackholed: boolean;
}

const UPSTREAM_SOCKET_TTL_MS = 30_000;

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
  let lossAccumulator = 0;
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
      // A stream is unusable once bytes are missing, so its data is dropped even after the cut ends.
      if (cuts.has(connection.pair)) connection.isBlackholed = true;
      if (connection.isBlackholed) {
        counts.dropped += 1;
        return;
      }
      countBytes(connection.pair, chunk.byteLength);
      setTimeout(() => {
        if (connection.isBlackholed || sink.destroyed) return;
        if (!sink.write(chunk)) {
          source.pause();
          sink.once('drain', () => source.resume());
        }
      }, delayMs);
    });
    const propagateClose = (): void => {
      if (connection.isBlackholed || cuts.has(connection.pair)) return;
      connections.delete(connection);
      setTimeout(() => sink.destroy(), delayMs);
    };
    source.on('error', () => undefined);
    source.on('close', propagateClose);
  };

  const listenTcp = (link: LinkOptions, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      const pair = formatPair(link.from, link.to);
      const server = net.createServer((client) => {
        counts.connections += 1;
        if (cuts.has(pair)) {
          counts.refused += 1;
          client.on('error', () => undefined);
          return;
        }
        const connection = { pair, isBlackholed: false };
        connections.add(connection);
        const upstream = net.connect({ host: link.toAddress, port });
        forward(connection, client, upstream, link.delayMs);
        forward(connection, upstream, client, link.delayMs);
      });
      server.once('error', reject);
      server.listen(port, link.listenAddress, resolve);
    });

  const decideDrop = (pair: string): boolean => {
    lossAccumulator += loss;
    const isLost = lossAccumulator >= 1;
    if (isLost) lossAccumulator -= 1;
    const isDropped = isLost || cuts.has(pair);
    if (isDropped) counts.dropped += 1;
    else counts.datagrams += 1;
    return isDropped;
  };

  const listenUdp = (link: LinkOptions, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      const pair = formatPair(link.from, link.to);
      const server = dgram.createSocket('udp4');
      const upstreamSockets = new Map<string, dgram.Socket>();
      const getUpstreamSocket = (address: string, clientPort: number): dgram.Socket => {
        const key = `${address}:${clientPort}`;
        const existing = upstreamSockets.get(key);
        if (existing) return existing;
        const socket = dgram.createSocket('udp4');
        upstreamSockets.set(key, socket);
        socket.on('message', (bytes) => {
          if (decideDrop(pair)) return;
          countBytes(pair, bytes.byteLength);
          setTimeout(() => server.send(bytes, clientPort, address, () => undefined), link.delayMs);
        });
        socket.on('error', () => undefined);
        setTimeout(() => {
          upstreamSockets.delete(key);
          socket.close();
        }, UPSTREAM_SOCKET_TTL_MS).unref();
        return socket;
      };
      server.on('message', (bytes, client) => {
        if (decideDrop(pair)) return;
        countBytes(pair, bytes.byteLength);
        const socket = getUpstreamSocket(client.address, client.port);
        setTimeout(() => {
          if (upstreamSockets.get(`${client.address}:${client.port}`) !== socket) return;
          socket.send(bytes, port, link.toAddress, () => undefined);
        }, link.delayMs);
      });
      server.once('error', reject);
      server.bind(port, link.listenAddress, resolve);
    });

  await Promise.all(
    options.flatMap((link) =>
      link.ports.flatMap((port) => [listenTcp(link, port), listenUdp(link, port)]),
    ),
  );
  return {
    setCuts(pairs) {
      cuts = new Set(pairs.map(([left, right]) => formatPair(left, right)));
    },
    setLoss(share) {
      loss = share;
    },
    blackholeOpenConnections() {
      const open = [...connections].filter(({ isBlackholed }) => !isBlackholed);
      open.forEach((connection) => Object.assign(connection, { isBlackholed: true }));
      counts.silenced += open.length;
      return open.length;
    },
    getCounts: () => counts,
  };
}
