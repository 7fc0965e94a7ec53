import type * as http from 'node:http';
import * as mesh from '@figshed/core/mesh';
import * as configurationCodec from './configuration-codec.js';
import * as constants from './constants.js';
import type * as context from './context.js';

/** Sends the configuration in force to peers that ask for it. */
export interface ConfigurationSender {
  send(request: http.IncomingMessage, response: http.ServerResponse): void;
}

/** Body of a response; `base` is undefined if it contains the whole configuration. */
interface Reply {
  base: mesh.ConfigId | undefined;
  body: Promise<configurationCodec.EncodedConfiguration>;
}

const WHOLE_KEY = 'whole';

/**
 * Creates a sender. A peer that holds a configuration within reach of the history receives the
 * changes since then, any other the whole configuration.
 *
 * @example
 * createConfigurationSender(ctx, history).send(request, response);
 */
export function createConfigurationSender(
  ctx: context.MeshContext,
  history: Pick<mesh.ConfigHistory, 'getSnapshot' | 'listDeltas'>,
): ConfigurationSender {
  const { log, metrics } = ctx;
  /** By the digest of the base: many peers fetch a new version at the same time. */
  const replies = new Map<string, Reply>();
  let repliedConfig: mesh.MeshConfig | undefined;

  const encode = (config: mesh.MeshConfig, bases: readonly mesh.ConfigId[]): Reply => {
    if (repliedConfig !== config) replies.clear();
    repliedConfig = config;
    const base = bases.find((id) => history.listDeltas(id) !== undefined);
    const key = base?.digest ?? WHOLE_KEY;
    const deltas = base && history.listDeltas(base);
    const reply = replies.get(key) ?? {
      base,
      body: deltas
        ? configurationCodec.encodeDeltas(deltas)
        : configurationCodec.encodeWhole(config),
    };
    replies.set(key, reply);
    return reply;
  };

  return {
    send(request, response) {
      const snapshot = history.getSnapshot();
      if (!snapshot) {
        response.writeHead(constants.HTTP.unavailable).end();
        return;
      }
      const { base, body } = encode(
        snapshot.config,
        configurationCodec.parseBases(request.headers),
      );
      body
        .then(({ form, bytes }) => {
          metrics.count('configuration_sent_bytes_total', { form }, bytes.length);
          response
            .writeHead(constants.HTTP.ok, configurationCodec.formatForm(snapshot.id, base))
            .end(bytes);
        })
        .catch((error: Error) => {
          log.error('configuration-not-compressed', { message: error.message });
          response.writeHead(constants.HTTP.unavailable).end();
        });
    },
  };
}
