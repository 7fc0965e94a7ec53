/** JSON-RPC calls between the system's own processes, as MessagePack over HTTP. */
import * as msgpack from '@msgpack/msgpack';
import * as jsonRpc from 'json-rpc-2.0';
import * as undici from 'undici';
import * as errors from './errors.js';

/** Address of a peer's control port. */
export interface PeerAddress {
  address: string;
  port: number;
}

/** Calls methods at peers. */
export interface PeerClient {
  /**
   * Calls an idempotent method. When the answer is late, the call is made again over a new
   * connection; when that one answers first, the open connections are dropped as silent.
   *
   * @throws PeerError when the peer does not answer in time or refuses.
   */
  request(peer: PeerAddress, method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  /** The same over a connection of its own, for when open connections are in doubt. */
  requestFresh(
    peer: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown>;
  /** Bytes sent and received so far, and both by method. */
  traffic(): { sent: number; received: number; byMethod: Record<string, number> };
  close(): Promise<void>;
}

const CONNECTIONS_PER_PEER = 2;
const KEEP_ALIVE_MS = 10_000;
/** An answer that takes longer is asked for again over a new connection. */
const HEDGE_AFTER_MS = 500;
const HTTP_OK = 200;
/** Header and framing bytes of one exchange, counted with its body. */
const EXCHANGE_OVERHEAD_BYTES = 350;

/**
 * Creates a client that proves itself with the fleet key.
 *
 * @example
 * const peers = createPeerClient(fleetKey);
 * await peers.request({ address: '127.0.0.1', port: 7101 }, 'status.get', {}, 1000);
 */
export function createPeerClient(fleetKey: string): PeerClient {
  const pools = new Map<string, undici.Pool>();
  const traffic = { sent: 0, received: 0, byMethod: {} as Record<string, number> };

  const getPool = (origin: string): undici.Pool => {
    const known = pools.get(origin);
    if (known) return known;
    const pool = new undici.Pool(origin, {
      connections: CONNECTIONS_PER_PEER,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    pools.set(origin, pool);
    return pool;
  };

  const send = async (
    dispatcher: undici.Dispatcher,
    method: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<unknown> => {
    const count = (direction: 'sent' | 'received', bytes: number): void => {
      traffic[direction] += bytes;
      traffic.byMethod[method] = (traffic.byMethod[method] ?? 0) + bytes;
    };
    const body = msgpack.encode(payload, { ignoreUndefined: true });
    count('sent', body.byteLength + EXCHANGE_OVERHEAD_BYTES);
    const answer = await dispatcher.request({
      method: 'POST',
      path: '/rpc',
      headers: { authorization: `Fleet ${fleetKey}`, 'content-type': 'application/msgpack' },
      body,
      origin: '',
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const bytes = await answer.body.arrayBuffer();
    count('received', bytes.byteLength + EXCHANGE_OVERHEAD_BYTES);
    if (answer.statusCode !== HTTP_OK) throw new errors.PeerError(`status ${answer.statusCode}`);
    return msgpack.decode(new Uint8Array(bytes));
  };

  const request = async (
    dispatcher: undici.Dispatcher,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> => {
    const client = new jsonRpc.JSONRPCClient(async (payload) => {
      client.receive(
        (await send(dispatcher, method, payload, timeoutMs)) as jsonRpc.JSONRPCResponse,
      );
    });
    try {
      return await client.request(method, params);
    } catch (error) {
      if (error instanceof errors.PeerError) throw error;
      throw new errors.PeerError(`${method}: ${(error as Error).message}`);
    }
  };

  const formatOrigin = ({ address, port }: PeerAddress) => `http://${address}:${port}`;

  const requestFresh: PeerClient['requestFresh'] = async (peer, method, params, timeoutMs) => {
    const client = new undici.Client(formatOrigin(peer), { connect: { timeout: timeoutMs } });
    try {
      return await request(client, method, params, timeoutMs);
    } finally {
      client.destroy().catch(() => undefined);
    }
  };

  const dropPool = (origin: string): void => {
    const pool = pools.get(origin);
    pools.delete(origin);
    pool?.destroy().catch(() => undefined);
  };

  const requestHedged: PeerClient['request'] = (peer, method, params, timeoutMs) => {
    const origin = formatOrigin(peer);
    const first = request(getPool(origin), method, params, timeoutMs);
    if (timeoutMs <= HEDGE_AFTER_MS) return first;
    return new Promise((resolve, reject) => {
      let isOver = false;
      const hedge = (): void => {
        requestFresh(peer, method, params, timeoutMs - HEDGE_AFTER_MS)
          .then((answer) => {
            resolve(answer);
            if (!isOver) dropPool(origin);
          })
          .catch(() => undefined);
      };
      const timer = setTimeout(hedge, HEDGE_AFTER_MS);
      first.then(resolve, reject).finally(() => {
        isOver = true;
        clearTimeout(timer);
      });
    });
  };

  return {
    request: requestHedged,
    requestFresh,
    traffic: () => ({ ...traffic, byMethod: { ...traffic.byMethod } }),
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
      pools.clear();
    },
  };
}
