import * as zod from 'zod';
import * as defaults from './defaults.js';

const { z } = zod;
const { settingsDefaults } = defaults;

const MAX_PORT = 65_535;
const MIN_FLEET_KEY_LENGTH = 16;

const id = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits or hyphens');
const address = z.union([z.ipv4(), z.ipv6()], 'must be an IPv4 or IPv6 address');
const port = z.number().int().min(0).max(MAX_PORT);
const durationMs = z.number().int().positive();
const count = z.number().int().positive();

const membership = z.strictObject({
  pingIntervalMs: durationMs.default(settingsDefaults.membership.pingIntervalMs),
  pingTimeoutMs: durationMs.default(settingsDefaults.membership.pingTimeoutMs),
  suspicionMs: durationMs.default(settingsDefaults.membership.suspicionMs),
  forgetMs: durationMs.default(settingsDefaults.membership.forgetMs),
  indirectPings: count.default(settingsDefaults.membership.indirectPings),
  maxPiggyback: count.default(settingsDefaults.membership.maxPiggyback),
  retransmitFactor: count.default(settingsDefaults.membership.retransmitFactor),
});

const orders = z.strictObject({
  minAppendIntervalMs: durationMs.default(settingsDefaults.orders.minAppendIntervalMs),
  requestTimeoutMs: durationMs.default(settingsDefaults.orders.requestTimeoutMs),
  maxBatchEntries: count.default(settingsDefaults.orders.maxBatchEntries),
  windowMs: durationMs.default(settingsDefaults.orders.windowMs),
});

const routing = z.strictObject({
  hedgeAfterMs: durationMs.default(settingsDefaults.hedgeAfterMs),
  maxAttempts: count.default(settingsDefaults.maxAttempts),
  maxBodyBytes: count.default(settingsDefaults.maxBodyBytes),
  maxHeldBytes: count.default(settingsDefaults.maxHeldBytes),
  queuePerSlot: count.default(settingsDefaults.queuePerSlot),
  slowStartMs: durationMs.default(settingsDefaults.targetChoice.slowStartMs),
  spillLoad: z.number().positive().default(settingsDefaults.targetChoice.spillLoad),
  retryRatio: z.number().nonnegative().default(settingsDefaults.retryBudget.ratio),
  circuitOpenMs: durationMs.default(settingsDefaults.circuitBreaker.openMs),
  quarantineMs: durationMs.default(settingsDefaults.quarantine.ttlMs),
});

const stop = z.strictObject({
  /** Time in which the process still accepts calls after it announced that it stops. */
  announceMs: durationMs.default(settingsDefaults.announceMs),
  /** Time in which calls in flight may finish after that. */
  graceMs: durationMs.default(settingsDefaults.graceMs),
});

/** Schema of a proxy's settings file; durations in milliseconds. */
export const settingsSchema = z
  .strictObject({
    id,
    dataCentre: id,
    region: id,
    listen: z.strictObject({
      address: address.default(settingsDefaults.address),
      callerPort: port,
      peerPort: port,
      localPort: port,
    }),
    fleetKey: z.string().min(MIN_FLEET_KEY_LENGTH, 'must have at least 16 characters'),
    platform: z.strictObject({
      logUrl: z.url({ protocol: /^http$/, hostname: /^[\d.]+$|^\[[\da-f:]+\]$/ }),
      timeoutMs: durationMs.default(settingsDefaults.platformTimeoutMs),
      retentionMs: durationMs.default(settingsDefaults.retentionMs),
      readWaitMs: durationMs.default(settingsDefaults.readWaitMs),
    }),
    peers: z.array(z.strictObject({ address, port: port.min(1) })).default([]),
    /** Gateway by data centre; its address replaces those of all members of that data centre. */
    gateways: z.record(id, z.strictObject({ address })).default({}),
    startTimeoutMs: durationMs.default(settingsDefaults.startTimeoutMs),
    targetLeaseMs: durationMs.default(settingsDefaults.targetLeaseMs),
    membership: membership.prefault({}),
    orders: orders.prefault({}),
    routing: routing.prefault({}),
    stop: stop.prefault({}),
    metrics: z
      .strictObject({ address, port: port.min(1) })
      .nullable()
      .default(null),
    log: z
      .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
      .prefault({}),
  })
  .refine(({ orders: { windowMs }, platform }) => windowMs * 2 <= platform.retentionMs, {
    path: ['orders', 'windowMs'],
    message: 'must be at most half of platform.retentionMs, or claims could expire too early',
  });

export type Settings = zod.infer<typeof settingsSchema>;
