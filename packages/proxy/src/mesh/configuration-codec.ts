/** Encoding of configurations and their deltas between processes: compressed JSON with headers. */
import type * as http from 'node:http';
import * as util from 'node:util';
import * as zlib from 'node:zlib';
import * as mesh from '@figshed/core/mesh';
import * as z from 'zod';
import * as forwardingHeaders from '../forwarding-headers.js';
import * as errors from './errors.js';

/** Lists the configurations that the asker holds; processes that do not know it send the whole. */
export const BASES_HEADER = `${forwardingHeaders.PROXY_HEADER_PREFIX}configuration-bases`;
/** Tells the form of the body, the configuration that it leads to and, for changes, their base. */
const FORM_HEADER = `${forwardingHeaders.PROXY_HEADER_PREFIX}configuration`;
/** Largest body, before and after decompression. */
export const MAX_CONFIGURATION_BYTES = 33_554_432;

export type ConfigurationForm = 'whole' | 'delta';

export interface EncodedConfiguration {
  form: ConfigurationForm;
  bytes: Buffer;
}

const gzip: (text: string, options: zlib.ZlibOptions) => Promise<Buffer> = util.promisify(
  zlib.gzip,
);
const gunzip: (bytes: Buffer, options: zlib.ZlibOptions) => Promise<Buffer> = util.promisify(
  zlib.gunzip,
);

// The schemas only check: the received objects are kept as they are, since the digest covers the
// order of their fields and any that a newer process has added.
const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  parts: z.array(z.object({ service: z.string(), weight: z.number() })),
  isRepeatable: z.boolean(),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  rank: z.number(),
  maxAttempts: z.number(),
  isPublic: z.boolean().optional(),
});
const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  maxConnections: z.number(),
});
const limitsSchema = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});
const accountSchema = z.object({
  name: z.string(),
  keyDigests: z.array(z.string()),
  rank: z.number().optional(),
  ratePerSecond: z.number(),
  burst: z.number(),
});
const configSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
  accounts: z.array(accountSchema).optional(),
});
const indexSchema = z.number().int().nonnegative();

function createListDeltaSchema<T extends z.ZodType>(itemSchema: T) {
  return z.object({
    removed: z.array(indexSchema),
    placed: z.array(z.tuple([indexSchema, itemSchema])),
  });
}
const deltasSchema = z
  .array(
    z.object({
      version: z.number(),
      routes: createListDeltaSchema(routeSchema),
      services: createListDeltaSchema(serviceSchema),
      limits: limitsSchema.nullable(),
      accounts: createListDeltaSchema(accountSchema).nullable().optional(),
    }),
  )
  .max(mesh.configHistoryDefaults.maxDeltas);

const MAX_BASES = mesh.configHistoryDefaults.maxSnapshots;

const formatId = ({ version, digest }: mesh.ConfigId): string => `${version}:${digest}`;

/**
 * Formats the headers of a request from a process that holds `bases`.
 *
 * @example
 * formatBases([{ version: 7, digest }]); // { 'x-figshed-configuration-bases': '7:5f...' }
 */
export function formatBases(bases: readonly mesh.ConfigId[]): Record<string, string> {
  return bases.length > 0 ? { [BASES_HEADER]: bases.map(formatId).join(' ') } : {};
}

/**
 * Parses the bases of a request, without those that are invalid.
 *
 * @example
 * parseBases(request.headers).map(({ version }) => version);
 */
export function parseBases(headers: http.IncomingHttpHeaders): mesh.ConfigId[] {
  return String(headers[BASES_HEADER] ?? '')
    .split(' ')
    .slice(0, MAX_BASES)
    .flatMap((text) => {
      const [version, digest] = text.split(':');
      return digest ? [{ version: Number(version), digest }] : [];
    });
}

/**
 * Formats the headers of a response that leads to the configuration `id`, from `base` if its body
 * contains changes.
 *
 * @example
 * response.writeHead(200, formatForm(id, base));
 */
export function formatForm(
  id: mesh.ConfigId,
  base: mesh.ConfigId | undefined,
): Record<string, string> {
  const form = base ? `delta ${formatId(id)} ${formatId(base)}` : `whole ${formatId(id)}`;
  return { 'content-encoding': 'gzip', [FORM_HEADER]: form };
}

/** Encodes a whole configuration. */
export async function encodeWhole(config: mesh.MeshConfig): Promise<EncodedConfiguration> {
  const bytes = await gzip(JSON.stringify(config), { level: zlib.constants.Z_BEST_SPEED });
  return { form: 'whole', bytes };
}

/** Encodes the changes since a configuration that the asker holds. */
export async function encodeDeltas(
  deltas: readonly mesh.ConfigDelta[],
): Promise<EncodedConfiguration> {
  return { form: 'delta', bytes: await gzip(JSON.stringify(deltas), {}) };
}

async function decodeJson<T>(bytes: Buffer, schema: z.ZodType<T>): Promise<T> {
  const text = await gunzip(bytes, { maxOutputLength: MAX_CONFIGURATION_BYTES });
  const value = JSON.parse(text.toString()) as T;
  schema.parse(value);
  return value;
}

async function applyDeltas(
  bytes: Buffer,
  bases: readonly mesh.ConfigSnapshot[],
  ids: { expected: string | undefined; base: string | undefined },
): Promise<mesh.MeshConfig> {
  const base = bases.find(({ id }) => formatId(id) === ids.base);
  if (!base) throw new errors.DeltaRefusedError('the base is unknown');
  let config;
  try {
    const deltas = await decodeJson(bytes, deltasSchema);
    config = deltas.reduce(mesh.applyDelta, base.config);
  } catch (error) {
    throw new errors.DeltaRefusedError((error as Error).message);
  }
  const digest = mesh.computeConfigDigest(config);
  if (formatId({ version: config.version, digest }) !== ids.expected)
    throw new errors.DeltaRefusedError('the digests differ');
  return config;
}

/**
 * Decodes a response to a request with the given bases. A response without a form comes from an
 * older process, which sends whole configurations.
 *
 * @throws DeltaRefusedError if a delta is malformed or does not lead to the sender's configuration.
 * @throws Error if a whole configuration cannot be decoded.
 * @example
 * const { form, config } = await decodeConfiguration(message.headers, bytes, bases);
 */
export async function decodeConfiguration(
  headers: http.IncomingHttpHeaders,
  bytes: Buffer,
  bases: readonly mesh.ConfigSnapshot[],
): Promise<{ form: ConfigurationForm; config: mesh.MeshConfig }> {
  const [form, expected, base] = String(headers[FORM_HEADER] ?? 'whole').split(' ');
  if (form === 'delta')
    return { form, config: await applyDeltas(bytes, bases, { expected, base }) };
  return { form: 'whole', config: await decodeJson(bytes, configSchema) };
}
