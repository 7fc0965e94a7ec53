import * as targetHealth from './target-health.js';

/** Fields of the operator's configuration that differ between tests. */
export interface MeshConfigOptions {
  version: number;
  /** Service of the repeatable route `/read/`. */
  readService?: string;
  /** Service of the non-repeatable route `/order/`. */
  orderService?: string;
  /** Path prefixes of additional repeatable routes to `readService`. */
  extraPrefixes?: readonly string[];
  timeoutMs?: number;
  targetLatencyMs?: number;
  maxAttempts?: number;
  maxBodyBytes?: number;
  /** Client accounts, as the operator writes them; without them, calls need no keys. */
  tenants?: readonly object[];
  /** Whether the repeatable routes need no key. */
  isReadPublic?: boolean;
}

/**
 * Creates a configuration with a repeatable route, `/read/`, and a route whose calls must run at
 * most once, `/order/`.
 *
 * @example
 * createMeshConfig({ version: 1 });
 */
export function createMeshConfig(options: MeshConfigOptions): object {
  const readService = options.readService ?? 'catalogue';
  const baseRoute = {
    host: 'shop.example',
    timeoutMs: options.timeoutMs ?? 1_500,
    targetLatencyMs: options.targetLatencyMs ?? 600,
    maxAttempts: options.maxAttempts ?? 2,
  };
  const readRoute = {
    ...baseRoute,
    kind: 'safe',
    priority: 2,
    service: readService,
    public: options.isReadPublic ?? false,
  };
  return {
    version: options.version,
    routes: [
      { ...readRoute, name: 'read', pathPrefix: '/read/' },
      {
        ...baseRoute,
        name: 'order',
        kind: 'unsafe',
        priority: 1,
        pathPrefix: '/order/',
        service: options.orderService ?? 'bookings',
      },
      ...(options.extraPrefixes ?? []).map((pathPrefix, index) => ({
        ...readRoute,
        name: `extra-${index}`,
        pathPrefix,
      })),
    ],
    services: [...new Set([readService, options.orderService ?? 'bookings'])].map((name) => ({
      name,
      healthPath: targetHealth.HEALTH_PATH,
      maxConnections: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: options.maxBodyBytes ?? 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...(options.tenants ? { tenants: options.tenants } : {}),
  };
}
