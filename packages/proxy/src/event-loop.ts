import * as timers from 'node:timers/promises';

/**
 * Waits until the event loop has polled all sockets again. The close of a connection is read one
 * turn after the bytes before it, even if both have been pending for as long as the process was busy.
 *
 * @example
 * await waitForSocketPoll();
 * if (socket.readableEnded) return;
 */
export async function waitForSocketPoll(): Promise<void> {
  // The first of the two runs in the turn that is under way.
  await timers.setImmediate();
  await timers.setImmediate();
}
