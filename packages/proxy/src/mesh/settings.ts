import * as z from 'zod';

const MAX_PORT = 65_535;
const DEFAULT_GRACE_MS = 6_000;
const DEFAULT_APPLY_WITHIN_MS = 2_000;
/** Memory of the smallest host in use. */
const DEFAULT_MEMORY_MB = 250;
/** Descriptors of the smallest host in use. */
const DEFAULT_MAX_DESCRIPTORS = 4_096;
/** Far more than callers pipeline; each pending call keeps its head and its response. */
const DEFAULT_PENDING_CALLS = 100;
const DEFAULT_LINK_MBPS = 1_000;
const DEFAULT_RETRY_RATIO = 0.2;
const DEFAULT_RETRY_RESERVE = 56;

const endpointSchema = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'must be an IPv4 address and a port, such as 10.0.0.1:80',
  )
  .transform((text) => {
    const [address = '', port = ''] = text.split(':');
    return { address, port: Number(port) };
  });
const portSchema = z.number().int().positive().max(MAX_PORT);
const nameSchema = z.string().min(1);
const durationMsSchema = z.number().positive();

/** Schema of the settings of one mesh process. */
export const meshSettingsSchema = z.object({
  /** Unique per host and stable across restarts. */
  id: nameSchema,
  dataCentre: nameSchema,
  region: nameSchema,
  /** Service of the target on this host. */
  service: nameSchema,
  address: z.ipv4(),
  /** Address and port at which callers on this host send their calls. */
  callers: endpointSchema,
  /** Address and port of the readiness endpoint. */
  ready: endpointSchema,
  /** Address and port at which the target announces itself. */
  announcements: endpointSchema,
  /** Address and port of the target on this host. */
  target: endpointSchema,
  /** TCP port for calls and configurations from peers, and UDP port for gossip. */
  peerPort: portSchema,
  /** Bandwidth of this host's link, in megabits per second. */
  linkMbps: z.number().positive().default(DEFAULT_LINK_MBPS),
  metricsPort: portSchema,
  /** Longest time from SIGTERM to the end of the process, in milliseconds. */
  graceMs: durationMsSchema.default(DEFAULT_GRACE_MS),
  /**
   * Time within which a change of the configuration must be in force on all hosts, in milliseconds.
   */
  applyWithinMs: durationMsSchema.default(DEFAULT_APPLY_WITHIN_MS),
  /**
   * Time within which a withdrawn API key must stop working on every host, whether or not it is
   * connected, in milliseconds; undefined if `applyWithinMs` on connected hosts is enough.
   */
  revokeWithinMs: durationMsSchema.optional(),
  /** What may run beyond the limits of the accounts in a sliding window; undefined without quotas. */
  quota: z
    .object({
      windowMs: durationMsSchema,
      /** Share of the limit that may be exceeded. */
      overage: z.number().nonnegative(),
      /** Calls by which the limit may be exceeded besides. */
      slack: z.number().nonnegative(),
    })
    .optional(),
  /** Bounds on the calls that a new version of a target gets before it is trusted. */
  rollout: z
    .object({
      /** Share of the calls of its service. */
      maxShare: z.number().positive().max(1),
      /** Calls that it may get besides. */
      slack: z.number().nonnegative(),
      /**
       * Time from the 50th bad response until it must get no calls any more, in milliseconds. Nothing
       * is timed by it: a verdict takes effect as soon as a host knows it.
       */
      rollBackWithinMs: durationMsSchema,
    })
    .optional(),
  /** Memory of the host that the process may use, in megabytes. */
  memoryMb: z.number().positive().default(DEFAULT_MEMORY_MB),
  /** File descriptors that the process may have open. */
  maxDescriptors: z.number().int().positive().default(DEFAULT_MAX_DESCRIPTORS),
  /** Bytes that may be held for callers and peers at once; by default derived from `memoryMb`. */
  maxHeldBytes: z.number().positive().optional(),
  /** Open connections of callers; by default derived from `memoryMb` and the limit on descriptors. */
  maxCallerConnections: z.number().int().positive().optional(),
  /** Open connections of other processes; by default derived from the limit on descriptors. */
  maxPeerConnections: z.number().int().positive().optional(),
  /** Calls that may be pending on one connection of a caller. */
  maxPendingCalls: z.number().int().positive().default(DEFAULT_PENDING_CALLS),
  /** Retry budget of all processes together, per service and window. */
  retries: z
    .object({
      ratio: z.number().nonnegative().default(DEFAULT_RETRY_RATIO),
      reserve: z.number().nonnegative().default(DEFAULT_RETRY_RESERVE),
    })
    .prefault({}),
  log: z
    .object({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      /** Maximum log lines per second for successful calls; failures are always logged. */
      callsPerSecond: z.number().positive().default(50),
    })
    .prefault({}),
});

/** Parsed settings, with defaults applied. */
export type MeshSettings = z.output<typeof meshSettingsSchema>;
