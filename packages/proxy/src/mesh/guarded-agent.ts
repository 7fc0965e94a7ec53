/** Connection pools that never hand out a connection on which unasked bytes have arrived. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as constants from './constants.js';

interface GuardedSocket extends net.Socket {
  figshedGuard?: () => void;
}

/** Options of a pool. */
export interface GuardedAgentOptions {
  maxIdle: number;
  idleMs: number;
}

/**
 * Keeps idle connections as `http.Agent` does, and closes one that receives anything while no
 * request is open on it: those bytes would be taken for the answer to the next request.
 */
export class GuardedAgent extends http.Agent {
  public constructor(options: GuardedAgentOptions) {
    // First in, first out: a late answer has the longest time to show before the next request.
    super({
      keepAlive: true,
      maxFreeSockets: options.maxIdle,
      timeout: options.idleMs,
      scheduling: 'fifo',
    });
  }

  public override keepSocketAlive(socket: GuardedSocket): boolean {
    // Node takes the time that the peer gives in Keep-Alive into account.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    if (socket.readableLength > 0) return false;
    const guard = (): void => {
      socket.destroy();
    };
    socket.figshedGuard = guard;
    socket.on('data', guard);
    socket.on('end', guard);
    return true;
  }

  public override reuseSocket(socket: GuardedSocket, request: http.ClientRequest): void {
    if (socket.figshedGuard) {
      socket.off('data', socket.figshedGuard);
      socket.off('end', socket.figshedGuard);
      delete socket.figshedGuard;
    }
    super.reuseSocket(socket, request);
  }
}

/**
 * Creates a pool with the usual bounds.
 *
 * @example
 * const agent = createAgent(PEER_IDLE_MS);
 */
export function createAgent(idleMs: number): GuardedAgent {
  return new GuardedAgent({ maxIdle: constants.MAX_IDLE_SOCKETS, idleMs });
}

/**
 * Watches how long a request takes to get a connection and calls back when it takes too long.
 *
 * @example
 * watchConnect(request, 250, () => request.destroy());
 */
export function watchConnect(
  request: http.ClientRequest,
  timeoutMs: number,
  onConnected: () => void,
  onTimeout: () => void,
): void {
  const timer = setTimeout(onTimeout, timeoutMs);
  const settle = (): void => clearTimeout(timer);
  request.once('close', settle);
  request.once('socket', (socket) => {
    if (!socket.connecting) {
      settle();
      onConnected();
      return;
    }
    socket.once('connect', () => {
      settle();
      onConnected();
    });
  });
}
