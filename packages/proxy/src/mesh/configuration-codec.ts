/** Encoding of configurations and their deltas between processes: compressed JSON with headers. */
import type * as http from 'node:http';
import * as util from 'node:util';
import * as zlib from 'node:zlib';
import * as mesh from '@figshed/core/mesh';
import * as z from 'zod';
import * as forwardingHeaders from '../forwarding-headers.js';
import * as errors from './errors.js';

/** Names the configuration that the asker holds; processes that do not know it send the whole. */
export const BASE_HEADER = `${forwardingHeaders.PROXY_HEADER_PREFIX}configuration-base`;
/** Tells the form of the body and the configuration that it leads to. */
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
const configSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
});
const indexSchema = z.number().int().nonnegative();
const deltasSchema = z
  .array(
    z.object({
      version: z.number(),
      routes: z.object({
        removed: z.array(indexSchema),
        placed: z.array(z.tuple([indexSchema, routeSchema])),
      }),
      services: z.object({
        removed: z.array(indexSchema),
        placed: z.array(z.tuple([indexSchema, serviceSchema])),
      }),
      limits: limitsSchema.nullable(),
    }),
  )
  .max(mesh.configHistoryDefaults.maxDeltas);

const formatId = ({ version, digest }: mesh.ConfigId): string => `${version} ${digest}`;

/**
 * Formats the headers of a request from a process that holds `base`.
 *
 * @example
 * formatBase({ version: 7, digest }); // { 'x-figshed-configuration-base': '7 5f...' }
 */
export function formatBase(base: mesh.ConfigId | undefined): Record<string, string> {
  return base ? { [BASE_HEADER]: formatId(base) } : {};
}

/**
 * Parses the base of a request; undefined if it is missing or invalid.
 *
 * @example
 * parseBase(request.headers)?.version;
 */
export function parseBase(headers: http.IncomingHttpHeaders): mesh.ConfigId | undefined {
  const [version, digest, ...rest] = String(headers[BASE_HEADER] ?? '').split(' ');
  if (!version || !digest || rest.length > 0 || !Number.isFinite(Number(version))) return undefined;
  return { version: Number(version), digest };
}

/**
 * Formats the headers of a response that leads to the configuration `id`.
 *
 * @example
 * response.writeHead(200, formatForm('delta', id));
 */
export function formatForm(form: ConfigurationForm, id: mesh.ConfigId): Record<string, string> {
  return { 'content-encoding': 'gzip', [FORM_HEADER]: `${form} ${formatId(id)}` };
}

/** Encodes a whole configuration. */
export async function encodeWhole(config: mesh.MeshConfig): Promise<EncodedConfiguration> {
  const bytes = await gzip(JSON.stringify(config), { level: zlib.constants.Z_BEST_SPEED });
  return { form: 'whole', bytes };
}

/** Encodes the changes since the configuration that the asker holds. */
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
  base: mesh.ConfigSnapshot | undefined,
  expectedId: string,
): Promise<mesh.MeshConfig> {
  if (!base) throw new errors.DeltaRefusedError('the base is unknown');
  let config;
  try {
    const deltas = await decodeJson(bytes, deltasSchema);
    config = deltas.reduce(mesh.applyDelta, base.config);
  } catch (error) {
    throw new errors.DeltaRefusedError((error as Error).message);
  }
  const digest = mesh.computeConfigDigest(config);
  if (formatId({ version: config.version, digest }) !== expectedId)
    throw new errors.DeltaRefusedError('the digests differ');
  return config;
}

/**
 * Decodes a response to a request with the given base. A response without a form comes from an
 * older process, which sends whole configurations.
 *
 * @throws DeltaRefusedError if a delta is malformed or does not lead to the sender's configuration.
 * @throws Error if a whole configuration cannot be decoded.
 */
export async function decodeConfiguration(
  headers: http.IncomingHttpHeaders,
  bytes: Buffer,
  base: mesh.ConfigSnapshot | undefined,
): Promise<{ form: ConfigurationForm; config: mesh.MeshConfig }> {
  const [form, ...id] = String(headers[FORM_HEADER] ?? 'whole').split(' ');
  if (form === 'delta') return { form, config: await applyDeltas(bytes, base, id.join(' ')) };
  return { form: 'whole', config: await decodeJson(bytes, configSchema) };
}
