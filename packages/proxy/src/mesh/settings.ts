/** Schema of the settings of a mesh process. */
import * as z from 'zod';

const MAX_PORT = 65_535;
/** One stop lasts this long when the settings give no other bound, in milliseconds. */
const DEFAULT_GRACE_MS = 6_000;
/** Time in which a change is in force everywhere when the settings give no other, in milliseconds. */
const DEFAULT_APPLY_WITHIN_MS = 2_000;
const DEFAULT_LINK_MBPS = 1_000;
const DEFAULT_RETRY_RATIO = 0.2;
const DEFAULT_RETRY_RESERVE = 56;

const endpoint = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IP number and a port, such as 10.0.0.1:80')
  .transform((text) => {
    const [address = '', port = ''] = text.split(':');
    return { address, port: Number(port) };
  });
const port = z.number().int().positive().max(MAX_PORT);
const name = z.string().min(1);
const durationMs = z.number().positive();

/** The settings of one mesh process. */
export const meshSettingsSchema = z.object({
  /** Unique among the hosts; a restart keeps it. */
  id: name,
  dataCentre: name,
  region: name,
  /** Service of the target on this host. */
  service: name,
  address: z.ipv4(),
  /** Where callers on this host send their calls. */
  callers: endpoint,
  /** Where readiness is asked. */
  ready: endpoint,
  /** Where the target announces itself. */
  announcements: endpoint,
  /** The target on this host. */
  target: endpoint,
  /** Calls and configurations by TCP, gossip by UDP. */
  peerPort: port,
  /** Rate of the link of this host, in megabits a second. */
  linkMbps: z.number().positive().default(DEFAULT_LINK_MBPS),
  metricsPort: port,
  /** Longest time from SIGTERM to the end of the process, in milliseconds. */
  graceMs: durationMs.default(DEFAULT_GRACE_MS),
  /** Time in which a change of the configuration must be in force, in milliseconds. */
  applyWithinMs: durationMs.default(DEFAULT_APPLY_WITHIN_MS),
  /** Bound on second sends of all processes together, for each service and window. */
  retries: z
    .object({
      ratio: z.number().nonnegative().default(DEFAULT_RETRY_RATIO),
      reserve: z.number().nonnegative().default(DEFAULT_RETRY_RESERVE),
    })
    .prefault({}),
  log: z
    .object({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      /** Lines of ordinary calls a second at most; failures are always written. */
      callsPerSecond: z.number().positive().default(50),
    })
    .prefault({}),
});

/** Settings after defaults. */
export type MeshSettings = z.output<typeof meshSettingsSchema>;
