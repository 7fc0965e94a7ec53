import * as mesh from '@figshed/core/mesh';
import * as z from 'zod';

const MAX_PORT = 65_535;

const targetSchema = z.object({
  service: z.string(),
  slots: z.number().int().nonnegative(),
  state: z.enum(['up', 'draining', 'down']),
  id: z.string().optional(),
  isCold: z.boolean().optional(),
  version: z.string().optional(),
});

const countSchema = z.number().nonnegative();

/** Most orders and routes in a member record, and most roll-outs in a message. */
const MAX_MOVED_ORDERS = 32;
const MAX_COUNTED_ROUTES = 10;
const MAX_ROLLOUTS = 32;

const rolloutReportSchema = z.object({
  offset: countSchema.optional(),
  version: z.string(),
  moved: z.array(countSchema).max(MAX_MOVED_ORDERS),
  counts: z
    .array(
      z.object({
        route: z.string(),
        responses: countSchema,
        failures: countSchema,
        timed: countSchema,
        slow: countSchema,
        usualMs: countSchema,
      }),
    )
    .max(MAX_COUNTED_ROUTES),
});

const rolloutStampSchema = z.object({
  service: z.string(),
  targetVersion: z.string(),
  epoch: z.number().int(),
  offset: countSchema,
  durationMs: countSchema,
  remainingMs: countSchema,
  phase: z.enum(mesh.rolloutPhases),
  record: z.enum(mesh.rolloutRecords),
});

/**
 * Longest lists of crashes in a record, and of the requests or targets of each. Together they keep a
 * datagram of nine such records below 10 KB.
 */
export const MAX_CRASH_RECORDS = 2;
export const MAX_FINGERPRINTS_PER_CRASH = 20;
export const MAX_CLEARED_REQUESTS = 4;
export const MAX_DEATHS_PER_CLEARED_REQUEST = 3;

const crashSchema = z.object({
  target: z.string(),
  fingerprints: z.array(z.string()).max(MAX_FINGERPRINTS_PER_CRASH),
});

const clearedSchema = z.object({
  fingerprint: z.string(),
  deathIds: z.array(z.string()).max(MAX_DEATHS_PER_CLEARED_REQUEST),
});

/** Schema of a member record received from another process. */
export const memberSchema = z.object({
  id: z.string(),
  incarnation: z.number().int().nonnegative(),
  status: z.enum(['alive', 'suspect', 'dead', 'left']),
  info: z.object({
    instance: z.string(),
    dataCentre: z.string(),
    region: z.string(),
    address: z.union([z.ipv4(), z.ipv6()]),
    callerPort: z.number().int().nonnegative().max(MAX_PORT),
    peerPort: z.number().int().positive().max(MAX_PORT),
    ready: z.boolean(),
    target: targetSchema.nullable(),
    departedTarget: z.string().optional(),
    linkMbps: z.number().positive().optional(),
    crashes: z.array(crashSchema).max(MAX_CRASH_RECORDS).optional(),
    cleared: z.array(clearedSchema).max(MAX_CLEARED_REQUESTS).optional(),
    rollout: rolloutReportSchema.optional(),
  }),
});

/** Schema of the position, version and digest of another process's configuration. */
export const configWatermarkSchema = z.object({
  position: z.number().int(),
  version: z.number().int(),
  digest: z.string(),
  epoch: z.number().int().nonnegative().optional(),
});

const messageFields = {
  sequence: z.number().int(),
  from: z.string(),
  mark: configWatermarkSchema,
  members: z.array(memberSchema),
  rollouts: z.array(rolloutStampSchema).max(MAX_ROLLOUTS).optional(),
};

/** Schema of a gossip message received from another process. */
export const gossipMessageSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('ping'), isContact: z.boolean(), ...messageFields }),
  z.object({
    type: z.literal('ack'),
    ...messageFields,
    proof: z.object({ version: z.number().int(), ageMs: z.number().nonnegative() }).optional(),
  }),
  z.object({ type: z.literal('ping-request'), subject: z.string(), ...messageFields }),
  z.object({
    type: z.literal('mark'),
    ageMs: z.number().nonnegative().nullable(),
    ...messageFields,
  }),
]);
