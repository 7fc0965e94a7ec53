import * as timers from 'node:timers/promises';
import * as runtime from '@figshed/runtime';
import * as zod from 'zod';
import * as errors from './errors.js';

const { z } = zod;

const REQUEST_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 100;
const MIN_FLEET_KEY_LENGTH = 16;

const statusSchema = z.looseObject({
  id: z.string(),
  dataCentre: z.string().optional(),
  ready: z.boolean().optional(),
  version: z.number().optional(),
  inFlight: z.number().optional(),
});

/** Status of one proxy; only `id` is set when it did not respond. */
export type ProxyStatus = zod.infer<typeof statusSchema>;

/** Progress of a configuration version through the fleet. */
export interface RolloutProgress {
  /** Number of proxies that apply the version. */
  inForce: number;
  total: number;
  /** IDs of the proxies that do not apply it yet. */
  pendingIds: string[];
}

/** Client of the fleet that sends its requests to the peer port of one proxy. */
export interface FleetClient {
  /** @throws UnknownResultError when the proxy does not respond. */
  request(method: string, params: unknown): Promise<unknown>;
  readStatus(): Promise<ProxyStatus[]>;
  /**
   * Waits until every proxy applies a version, and reports each change of the progress.
   *
   * @throws UnknownResultError when that takes longer than `timeoutMs`.
   */
  waitForVersion(
    version: number,
    timeoutMs: number,
    report: (progress: RolloutProgress) => void,
  ): Promise<RolloutProgress>;
  close(): Promise<void>;
}

function parseAddress(text: string): runtime.PeerEndpoint {
  const match = /^(.+):(\d+)$/.exec(text);
  if (!match) throw new errors.UsageError('--proxy must be ADDRESS:PORT, with the peer port');
  return { address: match[1] as string, port: Number(match[2]) };
}

/**
 * @throws UsageError when the address or the fleet key is missing or malformed.
 * @example
 * const fleet = createFleetClient('127.0.0.1:7101', process.env.FIGSHED_FLEET_KEY);
 */
export function createFleetClient(
  proxy: string | undefined,
  fleetKey: string | undefined,
): FleetClient {
  if (!proxy) throw new errors.UsageError('this command needs --proxy ADDRESS:PORT');
  if (!fleetKey || fleetKey.length < MIN_FLEET_KEY_LENGTH) {
    throw new errors.UsageError('set FIGSHED_FLEET_KEY to the fleet key');
  }
  const peer = parseAddress(proxy);
  const peerClient = runtime.createPeerClient(fleetKey);

  const request = async (method: string, params: unknown): Promise<unknown> => {
    try {
      return await peerClient.request(peer, method, params, REQUEST_TIMEOUT_MS);
    } catch (error) {
      throw new errors.UnknownResultError(
        `proxy ${proxy} does not respond: ${(error as Error).message}`,
      );
    }
  };

  const readStatus = async (): Promise<ProxyStatus[]> =>
    z.array(statusSchema).parse(await request('fleet.status', {}));

  return {
    request,
    readStatus,
    async waitForVersion(version, timeoutMs, report) {
      const deadline = Date.now() + timeoutMs;
      let lastText = '';
      for (;;) {
        /* eslint-disable no-await-in-loop -- polling */
        const statuses = await readStatus();
        const pendingIds = statuses
          .filter((status) => (status.version ?? -1) < version)
          .map(({ id }) => id);
        const progress = {
          inForce: statuses.length - pendingIds.length,
          total: statuses.length,
          pendingIds,
        };
        const text = JSON.stringify(progress);
        if (text !== lastText) report(progress);
        lastText = text;
        if (pendingIds.length === 0) return progress;
        if (Date.now() >= deadline) {
          throw new errors.UnknownResultError(
            `in force on ${progress.inForce} of ${progress.total} proxies; ` +
              `missing: ${pendingIds.join(', ')}`,
          );
        }
        await timers.setTimeout(POLL_INTERVAL_MS);
        /* eslint-enable no-await-in-loop */
      }
    },
    close: () => peerClient.close(),
  };
}
