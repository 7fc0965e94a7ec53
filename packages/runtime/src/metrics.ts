/** Metrics, sent to a StatsD server; counters and gauges are also kept for status pages. */
import * as hotShots from 'hot-shots';

export interface Metrics {
  increment(name: string, amount?: number): void;
  setGauge(name: string, value: number): void;
  recordTiming(name: string, milliseconds: number): void;
  /** Returns the counters since the start and the latest gauges. */
  getValues(): Record<string, number>;
  close(): void;
}

export interface StatsdAddress {
  address: string;
  port: number;
}

const MAX_BUFFER_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

/**
 * Creates the metrics of a process. Without an address nothing is sent, and timings are discarded.
 *
 * @example
 * const metrics = createMetrics({ address: '127.0.0.1', port: 8125 });
 */
export function createMetrics(statsdAddress: StatsdAddress | null): Metrics {
  const values = new Map<string, number>();
  const client = statsdAddress
    ? new hotShots.StatsD({
        host: statsdAddress.address,
        port: statsdAddress.port,
        prefix: 'figshed.',
        maxBufferSize: MAX_BUFFER_BYTES,
        bufferFlushInterval: FLUSH_INTERVAL_MS,
        errorHandler: () => values.set('metrics.errors', (values.get('metrics.errors') ?? 0) + 1),
      })
    : undefined;
  return {
    increment(name, amount = 1) {
      values.set(name, (values.get(name) ?? 0) + amount);
      client?.increment(name, amount);
    },
    setGauge(name, value) {
      values.set(name, value);
      client?.gauge(name, value);
    },
    recordTiming(name, milliseconds) {
      client?.timing(name, milliseconds);
    },
    getValues: () => Object.fromEntries(values),
    close() {
      client?.close(() => undefined);
    },
  };
}
