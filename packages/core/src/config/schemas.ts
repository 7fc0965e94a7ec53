/** Schemas of the resources that operators publish, and of the records that carry them. */
import * as zod from 'zod';

const { z } = zod;

const MAX_TIMEOUT_MS = 600_000;
const MAX_RESOURCES_PER_CHANGE = 200;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits or hyphens');

const timeoutMs = z.number().int().positive().max(MAX_TIMEOUT_MS);

/** Terms of one customer. Rates are calls per second for the whole fleet. */
export const contractSchema = z.strictObject({
  kind: z.literal('contract'),
  name,
  /** SHA-256 digests, in hexadecimal, of the customer's API keys. */
  keyDigests: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal'),
  ),
  services: z.array(name).min(1),
  ratePerSecond: z.number().positive().max(1_000_000),
  burst: z.number().int().positive().max(1_000_000),
  concurrency: z.number().int().positive().max(100_000),
  maxDeadlineMs: timeoutMs,
  weight: z.number().positive().max(1_000).default(1),
  /** Factors per request kind, written as `service/kind`. */
  kindWeights: z.record(z.string(), z.number().positive().max(1_000)).default({}),
});

/** One kind of request that a service answers. The first match in the list applies. */
export const requestKindSchema = z.strictObject({
  name,
  method: z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']),
  /** Path below the route's prefix. */
  pathPrefix: z.string().startsWith('/').default('/'),
  idempotent: z.boolean(),
  timeoutMs,
});

/** A service and the kinds of request that it answers. */
export const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  name,
  requestKinds: z.array(requestKindSchema).min(1),
});

/** Sends the calls below a path prefix to a service. */
export const routeSchema = z.strictObject({
  kind: z.literal('route'),
  name,
  pathPrefix: z.string().regex(/^\/[^\s?#]*$/, 'must begin with / and hold no space, ? or #'),
  service: name,
});

/** The data centres among which every contract's rate is divided. */
export const fleetSchema = z.strictObject({
  kind: z.literal('fleet'),
  name: z.literal('fleet'),
  dataCentres: z.array(z.strictObject({ name, region: name })).min(1),
});

/** Any resource. */
export const resourceSchema = z.discriminatedUnion('kind', [
  contractSchema,
  serviceSchema,
  routeSchema,
  fleetSchema,
]);

const resourceId = z.string().regex(/^(contract|service|route|fleet)\/[a-z0-9-]+$/);

/** One operator's change: applied whole or not at all. */
export const changeSchema = z.strictObject({
  type: z.literal('change'),
  id: z.uuid(),
  author: z.string().max(200),
  /** Revision that each touched resource must have; 0 means that it must not exist. */
  base: z.record(resourceId, z.number().int().nonnegative()),
  put: z.array(resourceSchema).max(MAX_RESOURCES_PER_CHANGE),
  remove: z.array(resourceId).max(MAX_RESOURCES_PER_CHANGE),
});

/** A resource with the revision at which it was last changed. */
export const storedResourceSchema = z.strictObject({
  revision: z.number().int(),
  resource: resourceSchema,
});

/** The fold's verdict on one change. */
export const decisionSchema = z.strictObject({
  id: z.string(),
  offset: z.number().int(),
  accepted: z.boolean(),
  findings: z.array(z.strictObject({ path: z.string(), message: z.string() })),
});

/** The folded state, equal at every process that has read as far as `position`. */
export const stateSchema = z.strictObject({
  position: z.number().int(),
  version: z.number().int(),
  resources: z.record(z.string(), storedResourceSchema),
  decisions: z.array(decisionSchema),
});

/** The folded state as a record on the log. */
export const snapshotSchema = z.strictObject({
  type: z.literal('snapshot'),
  digest: z.string(),
  state: stateSchema,
});

/** Any record of the configuration stream. */
export const recordSchema = z.discriminatedUnion('type', [changeSchema, snapshotSchema]);

export type Contract = zod.infer<typeof contractSchema>;
export type RequestKind = zod.infer<typeof requestKindSchema>;
export type Service = zod.infer<typeof serviceSchema>;
export type Route = zod.infer<typeof routeSchema>;
export type Fleet = zod.infer<typeof fleetSchema>;
export type Resource = zod.infer<typeof resourceSchema>;
export type Change = zod.infer<typeof changeSchema>;
export type Decision = zod.infer<typeof decisionSchema>;
export type State = zod.infer<typeof stateSchema>;
export type Snapshot = zod.infer<typeof snapshotSchema>;
export type ConfigRecord = zod.infer<typeof recordSchema>;
