/** Schemas of published resources and of the records on the configuration stream. */
import * as zod from 'zod';

const { z } = zod;

const MAX_TIMEOUT_MS = 600_000;
const MAX_RESOURCES_PER_CHANGE = 200;

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits or hyphens');

const timeoutMsSchema = z.number().int().positive().max(MAX_TIMEOUT_MS);

/** The services and limits of one customer. Rates apply to the whole fleet. */
export const contractSchema = z.strictObject({
  kind: z.literal('contract'),
  name: nameSchema,
  /** SHA-256 digests, in hexadecimal, of the customer's API keys. */
  keyDigests: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal'),
  ),
  services: z.array(nameSchema).min(1),
  /** Calls per second. */
  ratePerSecond: z.number().positive().max(1_000_000),
  burst: z.number().int().positive().max(1_000_000),
  concurrency: z.number().int().positive().max(100_000),
  maxDeadlineMs: timeoutMsSchema,
  weight: z.number().positive().max(1_000).default(1),
  /** Factors of `weight` by request kind, with keys of the form `service/kind`. */
  kindWeights: z.record(z.string(), z.number().positive().max(1_000)).default({}),
});

/** One kind of request of a service. The first kind in the list that matches a request applies. */
export const requestKindSchema = z.strictObject({
  name: nameSchema,
  method: z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']),
  /** Path prefix relative to the route's prefix. */
  pathPrefix: z.string().startsWith('/').default('/'),
  idempotent: z.boolean(),
  timeoutMs: timeoutMsSchema,
});

export const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  name: nameSchema,
  requestKinds: z.array(requestKindSchema).min(1),
});

/** Routes the calls below a path prefix to a service. */
export const routeSchema = z.strictObject({
  kind: z.literal('route'),
  name: nameSchema,
  pathPrefix: z.string().regex(/^\/[^\s?#]*$/, 'must begin with / and hold no space, ? or #'),
  service: nameSchema,
});

/** The data centres among which the rate of every contract is divided. */
export const fleetSchema = z.strictObject({
  kind: z.literal('fleet'),
  name: z.literal('fleet'),
  dataCentres: z.array(z.strictObject({ name: nameSchema, region: nameSchema })).min(1),
});

export const resourceSchema = z.discriminatedUnion('kind', [
  contractSchema,
  serviceSchema,
  routeSchema,
  fleetSchema,
]);

const resourceIdSchema = z.string().regex(/^(contract|service|route|fleet)\/[a-z0-9-]+$/);

/** A change by one operator, which is applied atomically. */
export const changeSchema = z.strictObject({
  type: z.literal('change'),
  id: z.uuid(),
  author: z.string().max(200),
  /** Revision that each changed resource must have; 0 means that it must not exist. */
  base: z.record(resourceIdSchema, z.number().int().nonnegative()),
  put: z.array(resourceSchema).max(MAX_RESOURCES_PER_CHANGE),
  remove: z.array(resourceIdSchema).max(MAX_RESOURCES_PER_CHANGE),
});

/** A resource with the revision of its last change. */
export const storedResourceSchema = z.strictObject({
  revision: z.number().int(),
  resource: resourceSchema,
});

/** Whether one change was accepted, and the findings if it was not. */
export const decisionSchema = z.strictObject({
  id: z.string(),
  offset: z.number().int(),
  accepted: z.boolean(),
  findings: z.array(z.strictObject({ path: z.string(), message: z.string() })),
});

/** The configuration state, which is the same in all processes that have read up to `position`. */
export const stateSchema = z.strictObject({
  position: z.number().int(),
  version: z.number().int(),
  resources: z.record(z.string(), storedResourceSchema),
  decisions: z.array(decisionSchema),
});

/** A record on the log that holds the configuration state. */
export const snapshotSchema = z.strictObject({
  type: z.literal('snapshot'),
  digest: z.string(),
  state: stateSchema,
});

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
