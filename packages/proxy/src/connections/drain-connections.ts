import * as timers from 'node:timers/promises';
import type * as core from '@figshed/core';
import type * as connectionTracker from './connection-tracker.js';

export interface DrainOptions {
  clock: core.Clock;
  /** Time after which the connections that remain are closed. */
  timeoutMs: number;
  /** Whether the server still has to wait, given the state of its connections. */
  isBusy(counts: connectionTracker.ConnectionCounts): boolean;
}

const POLL_INTERVAL_MS = 20;

/**
 * Closes a server: idle connections at once, and the others when it is no longer busy or the time is
 * over.
 *
 * @example
 * await drainConnections(connections, {
 *   clock,
 *   timeoutMs: 5_000,
 *   isBusy: ({ pending }) => pending > 0,
 * });
 */
export async function drainConnections(
  connections: connectionTracker.ConnectionTracker,
  { clock, timeoutMs, isBusy }: DrainOptions,
): Promise<void> {
  const until = clock.monotonic() + timeoutMs;
  connections.close();
  while (isBusy(connections.countConnections()) && clock.monotonic() < until) {
    // eslint-disable-next-line no-await-in-loop -- polls
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
  connections.destroy();
}
