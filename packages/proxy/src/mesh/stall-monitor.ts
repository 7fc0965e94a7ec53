/** Reports stalls of the event loop, during which a process neither reads sockets nor runs timers. */
import type * as context from './context.js';

export interface StallMonitor {
  start(): void;
  stop(): void;
}

const CHECK_INTERVAL_MS = 250;
/** Above the acknowledgement delay, so that each reported stall may delay an acknowledgement. */
const MIN_REPORTED_STALL_MS = 150;

/**
 * Creates a monitor that logs `event-loop-stalled` when a periodic check runs late.
 *
 * @example
 * const stallMonitor = createStallMonitor(ctx);
 * stallMonitor.start();
 */
export function createStallMonitor({ clock, log, metrics }: context.MeshContext): StallMonitor {
  let timer: NodeJS.Timeout | undefined;
  let expectedAt = 0;

  const check = (): void => {
    const now = clock.monotonic();
    const stalledMs = now - expectedAt;
    expectedAt = now + CHECK_INTERVAL_MS;
    if (stalledMs < MIN_REPORTED_STALL_MS) return;
    metrics.observe('event_loop_stall_ms', stalledMs);
    log.info('event-loop-stalled', { stalledMs: Math.round(stalledMs) });
  };

  return {
    start() {
      expectedAt = clock.monotonic() + CHECK_INTERVAL_MS;
      timer = setInterval(check, CHECK_INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
}
