/** Reports how busy a process is, since calls wait unread while its event loop is. */
import * as perfHooks from 'node:perf_hooks';
import type * as context from './context.js';

export interface LoadMonitor {
  start(): void;
  stop(): void;
}

const INTERVAL_MS = 1_000;
/** Share of busy time above which calls wait noticeably for the event loop. */
const MIN_REPORTED_SHARE = 0.6;
const MICROSECONDS_PER_MS = 1_000;

/**
 * Creates a monitor that counts processor time and logs `process-busy` for each interval in which the
 * event loop was mostly busy.
 *
 * @example
 * const loadMonitor = createLoadMonitor(ctx);
 * loadMonitor.start();
 */
export function createLoadMonitor({
  log,
  metrics,
}: Pick<context.MeshContext, 'log' | 'metrics'>): LoadMonitor {
  let timer: NodeJS.Timeout | undefined;
  let processorUsage = process.cpuUsage();
  let loopUsage = perfHooks.performance.eventLoopUtilization();

  const report = (): void => {
    const { user, system } = process.cpuUsage(processorUsage);
    processorUsage = process.cpuUsage();
    const { utilization } = perfHooks.performance.eventLoopUtilization(loopUsage);
    loopUsage = perfHooks.performance.eventLoopUtilization();
    const processorMs = (user + system) / MICROSECONDS_PER_MS;
    metrics.count('processor_ms_total', {}, processorMs);
    if (utilization < MIN_REPORTED_SHARE) return;
    log.info('process-busy', {
      busyShare: Number(utilization.toFixed(2)),
      processorMs: Math.round(processorMs),
    });
  };

  return {
    start() {
      timer = setInterval(report, INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
}
