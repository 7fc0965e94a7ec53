import * as http from 'node:http';
import type * as net from 'node:net';
import * as constants from './constants.js';

interface PooledSocket extends net.Socket {
  figshedDiscard?: () => void;
}

export interface KeepAliveAgentOptions {
  maxIdleSockets: number;
  idleTimeoutMs: number;
}

/**
 * Keep-alive agent that closes an idle connection as soon as it receives data: unsolicited bytes
 * would be parsed as the response to the next request.
 */
export class KeepAliveAgent extends http.Agent {
  public constructor(options: KeepAliveAgentOptions) {
    // FIFO reuses the connection that was idle longest, which leaves most time for a late response
    // to arrive before the next request.
    super({
      keepAlive: true,
      maxFreeSockets: options.maxIdleSockets,
      timeout: options.idleTimeoutMs,
      scheduling: 'fifo',
    });
  }

  public override keepSocketAlive(socket: PooledSocket): boolean {
    // The base class applies the time-out of the peer's Keep-Alive header.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    if (socket.readableLength > 0) return false;
    const discard = (): void => {
      socket.destroy();
    };
    socket.figshedDiscard = discard;
    socket.on('data', discard);
    socket.on('end', discard);
    return true;
  }

  public override reuseSocket(socket: PooledSocket, request: http.ClientRequest): void {
    if (socket.figshedDiscard) {
      socket.off('data', socket.figshedDiscard);
      socket.off('end', socket.figshedDiscard);
      delete socket.figshedDiscard;
    }
    super.reuseSocket(socket, request);
  }
}

/**
 * Creates an agent that keeps up to MAX_IDLE_SOCKETS idle connections per endpoint.
 *
 * @example
 * const agent = createAgent(PEER_CLIENT_IDLE_TIMEOUT_MS);
 */
export function createAgent(idleTimeoutMs: number): KeepAliveAgent {
  return new KeepAliveAgent({ maxIdleSockets: constants.MAX_IDLE_SOCKETS, idleTimeoutMs });
}

/**
 * Calls `onConnected` once a request has a connection, or `onTimeout` if it has none after
 * `timeoutMs`.
 *
 * @example
 * watchConnect(request, 250, () => log.debug('connected'), () => request.destroy());
 */
export function watchConnect(
  request: http.ClientRequest,
  timeoutMs: number,
  onConnected: () => void,
  onTimeout: () => void,
): void {
  const timer = setTimeout(onTimeout, timeoutMs);
  const clearTimer = (): void => clearTimeout(timer);
  request.once('close', clearTimer);
  request.once('socket', (socket) => {
    if (!socket.connecting) {
      clearTimer();
      onConnected();
      return;
    }
    socket.once('connect', () => {
      clearTimer();
      onConnected();
    });
  });
}
