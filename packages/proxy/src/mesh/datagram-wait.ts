import type * as core from '@figshed/core';

/** Bounds the time for which a datagram has waited in the socket before it was read. */
export interface DatagramWait {
  /** Starts a turn of the event loop; called from a timer, at least every few hundred ms. */
  startTurn(): void;
  /** Records that a datagram has been read. */
  recordDatagram(): void;
  /** Returns the longest time for which a datagram read now can have waited, in milliseconds. */
  computeMaxWaitMs(): number;
}

/** Datagrams that Node.js reads at most from a socket in one turn of the event loop. */
const MAX_DATAGRAMS_PER_TURN = 32;

/**
 * Creates the bound for a socket that is empty now. The kernel does not tell when a datagram
 * arrived, but one that is read later than a turn that emptied the socket arrived after its start.
 *
 * @example
 * const wait = createDatagramWait(clock);
 * setInterval(wait.startTurn, 100);
 * socket.on('message', wait.recordDatagram);
 */
export function createDatagramWait(clock: Pick<core.Clock, 'monotonic'>): DatagramWait {
  let readInTurn = 0;
  let emptiedAt = clock.monotonic();

  const finishTurn = (startedAt: number): void => {
    if (readInTurn < MAX_DATAGRAMS_PER_TURN) emptiedAt = startedAt;
  };

  return {
    startTurn() {
      readInTurn = 0;
      // Runs after the sockets have been read, which follows the timers.
      setImmediate(finishTurn, clock.monotonic());
    },
    recordDatagram() {
      readInTurn += 1;
    },
    computeMaxWaitMs: () => clock.monotonic() - emptiedAt,
  };
}
