import type * as http from 'node:http';
import type * as net from 'node:net';
import * as resetSocket from '../reset-socket.js';

/** Crashes the server of a target, as the end of its process would, and starts it again. */
export interface TargetCrash {
  /** Resets all connections, refuses new ones and listens again after `downMs`. */
  crash(downMs: number): void;
  isDown(): boolean;
  /** Cancels a pending start. */
  stop(): void;
}

/**
 * Creates the crash control of a server; `onRestart` is called when it listens again.
 *
 * @example
 * const crash = createTargetCrash({ server, sockets, endpoint, onRestart });
 * crash.crash(2_000);
 */
export function createTargetCrash(input: {
  server: http.Server;
  sockets: ReadonlySet<net.Socket>;
  endpoint: { address: string; port: number };
  onRestart: () => void;
}): TargetCrash {
  const { server, sockets, endpoint, onRestart } = input;
  let isDown = false;
  let restartTimer: NodeJS.Timeout | undefined;

  const restart = (): void => {
    server.listen(endpoint.port, endpoint.address, () => {
      isDown = false;
      onRestart();
    });
  };

  return {
    crash(downMs) {
      if (isDown) return;
      isDown = true;
      server.close();
      sockets.forEach(resetSocket.resetSocket);
      restartTimer = setTimeout(restart, downMs);
    },
    isDown: () => isDown,
    stop: () => clearTimeout(restartTimer),
  };
}
