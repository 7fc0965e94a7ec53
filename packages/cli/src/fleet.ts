/** Asks a proxy about itself and the fleet. */
import * as timers from 'node:timers/promises';
import * as runtime from '@figshed/runtime';
import * as zod from 'zod';
import * as errors from './errors.js';

const { z } = zod;

const TIMEOUT_MS = 5_000;
const POLL_MS = 100;
const MIN_FLEET_KEY_LENGTH = 16;

const statusSchema = z.looseObject({
  id: z.string(),
  dataCentre: z.string().optional(),
  ready: z.boolean().optional(),
  version: z.number().optional(),
  inFlight: z.number().optional(),
});

/** One proxy's status; fields are missing when it did not answer. */
export type ProxyStatus = zod.infer<typeof statusSchema>;

/** Progress of a version through the fleet. */
export interface Progress {
  inForce: number;
  total: number;
  stragglers: string[];
}

/** A proxy as the operator's commands use it. */
export interface FleetClient {
  request(method: string, params: unknown): Promise<unknown>;
  readStatus(): Promise<ProxyStatus[]>;
  /**
   * Waits until every proxy has a version, and reports each step.
   *
   * @throws UnknownResultError when the time is over before that.
   */
  waitForVersion(
    version: number,
    timeoutMs: number,
    report: (progress: Progress) => void,
  ): Promise<Progress>;
  close(): Promise<void>;
}

function parseAddress(text: string): runtime.PeerAddress {
  const match = /^(.+):(\d+)$/.exec(text);
  if (!match) throw new errors.UsageError('--proxy must be ADDRESS:PORT, with the peer port');
  return { address: match[1] as string, port: Number(match[2]) };
}

/**
 * Creates a client of the fleet through one proxy.
 *
 * @throws UsageError when the address or the fleet key is missing.
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
  const peers = runtime.createPeerClient(fleetKey);

  const request = async (method: string, params: unknown): Promise<unknown> => {
    try {
      return await peers.request(peer, method, params, TIMEOUT_MS);
    } catch (error) {
      throw new errors.UnknownResultError(
        `proxy ${proxy} does not answer: ${(error as Error).message}`,
      );
    }
  };

  const readStatus = async (): Promise<ProxyStatus[]> =>
    z.array(statusSchema).parse(await request('fleet.status', {}));

  return {
    request,
    readStatus,
    async waitForVersion(version, timeoutMs, report) {
      const until = Date.now() + timeoutMs;
      let last = '';
      for (;;) {
        /* eslint-disable no-await-in-loop -- one question after the other */
        const statuses = await readStatus();
        const stragglers = statuses
          .filter((status) => (status.version ?? -1) < version)
          .map(({ id }) => id);
        const progress = {
          inForce: statuses.length - stragglers.length,
          total: statuses.length,
          stragglers,
        };
        const text = JSON.stringify(progress);
        if (text !== last) report(progress);
        last = text;
        if (stragglers.length === 0) return progress;
        if (Date.now() >= until) {
          throw new errors.UnknownResultError(
            `in force on ${progress.inForce} of ${progress.total} proxies; ` +
              `missing: ${stragglers.join(', ')}`,
          );
        }
        await timers.setTimeout(POLL_MS);
        /* eslint-enable no-await-in-loop */
      }
    },
    close: () => peers.close(),
  };
}
