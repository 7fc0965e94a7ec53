import * as http from 'node:http';
import * as runtime from '@figshed/runtime';
import type * as core from '@figshed/core';
import type * as mesh from '@figshed/core/mesh';
import * as configurationCodec from './configuration-codec.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as errors from './errors.js';
import type * as types from './types.js';

/** Path at which peers fetch the configuration that a process holds. */
export const CONFIGURATION_PATH = '/figshed/configuration';

const FETCH_TIMEOUT_MS = 1_000;

async function readBytes(message: http.IncomingMessage): Promise<Buffer> {
  const collector = runtime.createByteCollector();
  for await (const chunk of message as AsyncIterable<Buffer>) {
    collector.append(chunk);
    if (collector.getSizeBytes() > configurationCodec.MAX_CONFIGURATION_BYTES)
      throw new Error('too large');
  }
  return collector.concat();
}

function requestConfiguration(
  agent: http.Agent,
  endpoint: core.Endpoint,
  bases: readonly mesh.ConfigId[],
): Promise<{ headers: http.IncomingHttpHeaders; bytes: Buffer }> {
  return new Promise((resolve, reject) => {
    const request = http.get({
      agent,
      host: endpoint.address,
      port: endpoint.port,
      path: CONFIGURATION_PATH,
      headers: configurationCodec.formatBases(bases),
    });
    const timer = setTimeout(() => request.destroy(new Error('timeout')), FETCH_TIMEOUT_MS);
    request.once('close', () => clearTimeout(timer));
    request.once('error', reject);
    request.once('response', (message) => {
      if (message.statusCode === constants.HTTP.ok) {
        readBytes(message).then((bytes) => resolve({ headers: message.headers, bytes }), reject);
        return;
      }
      message.resume();
      reject(new Error(`status ${message.statusCode}`));
    });
  });
}

/**
 * Fetches the configuration that a peer holds, as changes to one of `bases` if the peer
 * knows one. If the changes are refused, the whole configuration is fetched once.
 *
 * @throws Error if the request fails, times out or has a response status other than 200, or if the
 * whole configuration is malformed.
 * @example
 * const { config, form } = await fetchConfiguration(ctx, agent, endpoint, history.listSnapshots());
 */
export async function fetchConfiguration(
  ctx: Pick<context.MeshContext, 'log' | 'metrics'>,
  agent: http.Agent,
  endpoint: core.Endpoint,
  bases: readonly mesh.ConfigSnapshot[],
): Promise<types.FetchedConfiguration> {
  const { headers, bytes } = await requestConfiguration(
    agent,
    endpoint,
    bases.map(({ id }) => id),
  );
  try {
    const decoded = await configurationCodec.decodeConfiguration(headers, bytes, bases);
    const { form } = decoded;
    ctx.metrics.count('configuration_fetched_bytes_total', { form }, bytes.length);
    return { ...decoded, bytes: bytes.length };
  } catch (error) {
    if (bases.length === 0 || !(error instanceof errors.DeltaRefusedError)) throw error;
    ctx.log.warn('configuration-delta-refused', {
      from: endpoint.address,
      held: bases[0]?.id.version,
      message: error.message,
    });
    return fetchConfiguration(ctx, agent, endpoint, []);
  }
}
