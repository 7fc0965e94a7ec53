import type * as http from 'node:http';
import * as mesh from '@figshed/core/mesh';
import * as configurationCodec from './configuration-codec.js';
import * as constants from './constants.js';
import type * as context from './context.js';

/** Sends the configuration in force to peers that ask for it. */
export interface ConfigurationSender {
  send(request: http.IncomingMessage, response: http.ServerResponse): void;
}

const WHOLE_KEY = 'whole';

/**
 * Creates a sender. A peer whose configuration the history reaches back to receives the changes
 * since then, any other the whole configuration.
 *
 * @example
 * createConfigurationSender(ctx, history).send(request, response);
 */
export function createConfigurationSender(
  ctx: context.MeshContext,
  history: Pick<mesh.ConfigHistory, 'getSnapshot' | 'listDeltas'>,
): ConfigurationSender {
  const { log, metrics } = ctx;
  /** Bodies by the asker's base: many peers fetch a new version at the same time. */
  const bodies = new Map<string, Promise<configurationCodec.EncodedConfiguration>>();
  let encodedConfig: mesh.MeshConfig | undefined;

  const encode = (
    { config }: mesh.ConfigSnapshot,
    base: mesh.ConfigId | undefined,
  ): Promise<configurationCodec.EncodedConfiguration> => {
    if (encodedConfig !== config) bodies.clear();
    encodedConfig = config;
    const deltas = base && history.listDeltas(base);
    const key = deltas ? `${base.version} ${base.digest}` : WHOLE_KEY;
    const body =
      bodies.get(key) ??
      (deltas ? configurationCodec.encodeDeltas(deltas) : configurationCodec.encodeWhole(config));
    bodies.set(key, body);
    return body;
  };

  return {
    send(request, response) {
      const snapshot = history.getSnapshot();
      if (!snapshot) {
        response.writeHead(constants.HTTP.unavailable).end();
        return;
      }
      encode(snapshot, configurationCodec.parseBase(request.headers))
        .then(({ form, bytes }) => {
          metrics.count('configuration_sent_bytes_total', { form }, bytes.length);
          response
            .writeHead(constants.HTTP.ok, configurationCodec.formatForm(form, snapshot.id))
            .end(bytes);
        })
        .catch((error: Error) => {
          log.error('configuration-not-compressed', { message: error.message });
          response.writeHead(constants.HTTP.unavailable).end();
        });
    },
  };
}
