import * as http from 'node:http';
import * as prom from 'prom-client';
import * as auxiliaryConnections from './auxiliary-connections.js';
import * as bodyReader from './body-reader.js';
import * as constants from './constants.js';

/** Counters and latency histograms of one process, served in the Prometheus text format. */
export interface MeshMetrics {
  /** Adds `amount`, by default 1, to a counter. */
  count(name: string, labels?: Readonly<Record<string, string>>, amount?: number): void;
  observe(name: string, milliseconds: number): void;
  start(address: string, port: number): Promise<void>;
  stop(): void;
}

/** Histogram buckets, from the latency of one hop on a host to the longest usual deadline. */
const BUCKETS_MS = [1, 2, 5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000];

/**
 * Creates the metrics of one process.
 *
 * @example
 * const metrics = createMeshMetrics();
 * metrics.count('calls_total', { outcome: 'delivered' });
 */
export function createMeshMetrics(): MeshMetrics {
  const registry = new prom.Registry();
  const counters = new Map<string, prom.Counter>();
  const histograms = new Map<string, prom.Histogram>();

  const getCounter = (name: string, labelNames: string[]): prom.Counter => {
    const existing = counters.get(name);
    if (existing) return existing;
    const counter = new prom.Counter({
      name: `figshed_${name}`,
      help: name.replaceAll('_', ' '),
      labelNames,
      registers: [registry],
    });
    counters.set(name, counter);
    return counter;
  };

  const getHistogram = (name: string): prom.Histogram => {
    const existing = histograms.get(name);
    if (existing) return existing;
    const histogram = new prom.Histogram({
      name: `figshed_${name}`,
      help: name.replaceAll('_', ' '),
      buckets: BUCKETS_MS,
      registers: [registry],
    });
    histograms.set(name, histogram);
    return histogram;
  };

  const server = http.createServer((request, response) => {
    bodyReader.drainBody(request);
    registry
      .metrics()
      .then((text) => response.writeHead(constants.HTTP.ok).end(text))
      .catch((error: Error) => response.writeHead(constants.HTTP.unavailable).end(error.message));
  });

  const count: MeshMetrics['count'] = (name, labels = {}, amount = 1) => {
    getCounter(name, Object.keys(labels)).inc(labels, amount);
  };
  auxiliaryConnections.limitAuxiliaryConnections(server, () =>
    count('caller_limits_total', { action: 'connection-closed', cause: 'metrics-connections' }),
  );

  return {
    count,
    observe(name, milliseconds) {
      getHistogram(name).observe(milliseconds);
    },
    async start(address, port) {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject).listen(port, address, resolve);
      });
    },
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}
