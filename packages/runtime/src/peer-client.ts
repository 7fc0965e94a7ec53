/** JSON-RPC client for requests between figshed processes, encoded as MessagePack over HTTP. */
import * as msgpack from '@msgpack/msgpack';
import * as jsonRpc from 'json-rpc-2.0';
import * as undici from 'undici';
import * as constants from './constants.js';
import * as errors from './errors.js';
import * as messageCodec from './message-codec.js';
import * as responseBody from './response-body.js';

/** Address and peer port of another process. */
export interface PeerEndpoint {
  address: string;
  port: number;
}

export interface PeerClient {
  /**
   * Calls an idempotent method. If no response arrives within the hedge delay, a hedged request is
   * sent over a new connection. If its response is the first, the pooled connections to the peer
   * are closed, because they may be half-open.
   *
   * @throws PeerError when the peer does not respond within `timeoutMs`, refuses the request or
   * sends a response that is too long.
   */
  request(peer: PeerEndpoint, method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  /**
   * Calls a method over a new connection, for when the pooled connections may be half-open.
   *
   * @throws PeerError when the peer does not respond within `timeoutMs`, refuses the request or
   * sends a response that is too long.
   */
  requestOverNewConnection(
    peer: PeerEndpoint,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown>;
  /** Returns the bytes sent and received so far, and the sum of both by method. */
  getTraffic(): { sent: number; received: number; byMethod: Record<string, number> };
  /** Closes the connections; requests in flight fail. */
  close(): Promise<void>;
}

const CONNECTIONS_PER_PEER = 2;
const KEEP_ALIVE_MS = 10_000;
const HEDGE_DELAY_MS = 500;
const HTTP_OK = 200;
/** Estimated bytes of headers and framing, added to the body of each request and response. */
const MESSAGE_OVERHEAD_BYTES = 350;

/**
 * Creates a client that authenticates with the fleet key.
 *
 * @example
 * const peerClient = createPeerClient(fleetKey);
 * await peerClient.request({ address: '127.0.0.1', port: 7101 }, 'status.get', {}, 1000);
 */
export function createPeerClient(fleetKey: string): PeerClient {
  const pools = new Map<string, undici.Pool>();
  const traffic = { sent: 0, received: 0, byMethod: {} as Record<string, number> };

  const getPool = (origin: string): undici.Pool => {
    const existing = pools.get(origin);
    if (existing) return existing;
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
    const countBytes = (direction: 'sent' | 'received', bytes: number): void => {
      traffic[direction] += bytes;
      traffic.byMethod[method] = (traffic.byMethod[method] ?? 0) + bytes;
    };
    const body = msgpack.encode(payload, { ignoreUndefined: true });
    countBytes('sent', body.byteLength + MESSAGE_OVERHEAD_BYTES);
    const response = await dispatcher.request({
      method: 'POST',
      path: '/rpc',
      headers: { authorization: `Fleet ${fleetKey}`, 'content-type': 'application/msgpack' },
      body,
      origin: '',
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const bytes = await responseBody.readResponseBody(response.body, constants.MAX_RPC_BODY_BYTES);
    countBytes('received', bytes.byteLength + MESSAGE_OVERHEAD_BYTES);
    if (response.statusCode !== HTTP_OK)
      throw new errors.PeerError(`status ${response.statusCode}`);
    return messageCodec.decodeMessage(bytes);
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

  const formatOrigin = ({ address, port }: PeerEndpoint) => `http://${address}:${port}`;

  const requestOverNewConnection: PeerClient['requestOverNewConnection'] = async (
    peer,
    method,
    params,
    timeoutMs,
  ) => {
    const client = new undici.Client(formatOrigin(peer), { connect: { timeout: timeoutMs } });
    try {
      return await request(client, method, params, timeoutMs);
    } finally {
      client.destroy().catch(() => undefined);
    }
  };

  const closePool = (origin: string): void => {
    const pool = pools.get(origin);
    pools.delete(origin);
    pool?.destroy().catch(() => undefined);
  };

  const sendWithHedge: PeerClient['request'] = (peer, method, params, timeoutMs) => {
    const origin = formatOrigin(peer);
    const firstResponse = request(getPool(origin), method, params, timeoutMs);
    if (timeoutMs <= HEDGE_DELAY_MS) return firstResponse;
    return new Promise((resolve, reject) => {
      let isFirstSettled = false;
      const sendHedge = (): void => {
        requestOverNewConnection(peer, method, params, timeoutMs - HEDGE_DELAY_MS)
          .then((response) => {
            resolve(response);
            if (!isFirstSettled) closePool(origin);
          })
          .catch(() => undefined);
      };
      const timer = setTimeout(sendHedge, HEDGE_DELAY_MS);
      firstResponse.then(resolve, reject).finally(() => {
        isFirstSettled = true;
        clearTimeout(timer);
      });
    });
  };

  return {
    request: sendWithHedge,
    requestOverNewConnection,
    getTraffic: () => ({ ...traffic, byMethod: { ...traffic.byMethod } }),
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
      pools.clear();
    },
  };
}
