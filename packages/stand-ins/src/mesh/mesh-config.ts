/** Configurations as the operator of the platform writes them. */

/** Parts of a configuration that tests vary. */
export interface ConfigPlan {
  version: number;
  /** Service of the route that may be repeated. */
  reads?: string;
  /** Service of the route that must run once. */
  orders?: string;
  /** Prefixes of further routes to the service of the reads. */
  extraPrefixes?: readonly string[];
  timeoutMs?: number;
}

/**
 * Creates a configuration with one route that may be repeated, `/read/`, and one that must run
 * once, `/order/`.
 *
 * @example
 * createMeshConfig({ version: 1 });
 */
export function createMeshConfig(plan: ConfigPlan): object {
  const reads = plan.reads ?? 'catalogue';
  const base = {
    host: 'shop.example',
    timeoutMs: plan.timeoutMs ?? 1_500,
    targetLatencyMs: 600,
    maxAttempts: 2,
  };
  const read = { ...base, kind: 'safe', priority: 2, service: reads };
  return {
    version: plan.version,
    routes: [
      { ...read, name: 'read', pathPrefix: '/read/' },
      {
        ...base,
        name: 'order',
        kind: 'unsafe',
        priority: 1,
        pathPrefix: '/order/',
        service: plan.orders ?? 'bookings',
      },
      ...(plan.extraPrefixes ?? []).map((pathPrefix, index) => ({
        ...read,
        name: `extra-${index}`,
        pathPrefix,
      })),
    ],
    services: [...new Set([reads, plan.orders ?? 'bookings'])].map((name) => ({
      name,
      healthPath: '/health',
      maxConnections: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
