import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type * as core from '@figshed/core';
import type * as mesh from '@figshed/core/mesh';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as keepAliveAgent from './keep-alive-agent.js';
import * as responseBytes from './response-bytes.js';

/** Asks the target on this host whether an incarnation is alive; it never rejects. */
export type TargetProbe = (incarnation: mesh.Incarnation) => Promise<mesh.ProbeResult>;

export interface TargetProbeInput {
  ctx: Pick<context.MeshContext, 'clock' | 'log' | 'metrics' | 'protocol'>;
  agent: http.Agent;
  endpoint: core.Endpoint;
  /** Returns the health path of the target's service; undefined while it is not known. */
  getHealthPath: () => string | undefined;
}

/** Time-out of a probe, which includes the wait for the configuration after a start. */
const PROBE_TIMEOUT_MS = 1_000;
const POLL_MS = 20;

interface ProbeResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
}

/**
 * Creates a probe. A target that is full may reject it as not run; as little as no response, that tells
 * nothing.
 *
 * @example
 * const probe = createTargetProbe({ ctx, agent, endpoint, getHealthPath });
 * await probe({ id: 'i-1', bornAt: 1_000 }); // 'alive'
 */
export function createTargetProbe(input: TargetProbeInput): TargetProbe {
  const { ctx, agent, endpoint, getHealthPath } = input;
  const { clock, log, metrics, protocol } = ctx;

  const waitForHealthPath = async (deadlineAt: number): Promise<string | undefined> => {
    while (getHealthPath() === undefined && clock.monotonic() < deadlineAt) {
      // eslint-disable-next-line no-await-in-loop -- a poll
      await timers.setTimeout(POLL_MS);
    }
    return getHealthPath();
  };

  const requestHealth = (path: string, timeoutMs: number): Promise<ProbeResponse> =>
    new Promise((resolve, reject) => {
      const request = http.get({ agent, host: endpoint.address, port: endpoint.port, path });
      const timer = setTimeout(() => request.destroy(new Error('time-out')), timeoutMs);
      keepAliveAgent.watchConnect(
        request,
        constants.TARGET_CONNECT_TIMEOUT_MS,
        () => undefined,
        () => request.destroy(new Error('connect-timeout')),
      );
      responseBytes.watchHeadBytes(request, () => request.destroy(new Error('head-too-large')));
      request.once('close', () => {
        clearTimeout(timer);
        reject(new Error('closed'));
      });
      request.on('error', reject);
      request.once('response', (message) => {
        message.on('error', () => undefined);
        responseBytes.discardBody(message);
        resolve({ status: message.statusCode ?? 0, headers: message.headers });
      });
    });

  const classifyResponse = (
    { status, headers }: ProbeResponse,
    incarnation: mesh.Incarnation,
  ): mesh.ProbeResult => {
    if (headers[protocol.notExecutedHeader] !== undefined) return 'inconclusive';
    const instanceId = headers[protocol.instanceIdHeader];
    const isOther = instanceId !== undefined && instanceId !== incarnation.id;
    if (isOther || protocol.readTargetNotice(headers).isLeaving) return 'leaving';
    if (status === constants.HTTP.unavailable) return 'leaving';
    return status === constants.HTTP.ok && instanceId !== undefined ? 'alive' : 'inconclusive';
  };

  const requestResult = async (
    incarnation: mesh.Incarnation,
    deadlineAt: number,
  ): Promise<{ result: mesh.ProbeResult; finding: string }> => {
    try {
      const path = await waitForHealthPath(deadlineAt);
      if (path === undefined) return { result: 'inconclusive', finding: 'health path unknown' };
      const response = await requestHealth(path, Math.max(0, deadlineAt - clock.monotonic()));
      const result = classifyResponse(response, incarnation);
      return { result, finding: `status ${response.status}` };
    } catch (error) {
      return { result: 'inconclusive', finding: (error as Error).message };
    }
  };

  return async (incarnation) => {
    const startedAt = clock.monotonic();
    const { result, finding } = await requestResult(incarnation, startedAt + PROBE_TIMEOUT_MS);
    metrics.count('target_probes_total', { result });
    log.info('target-probe', {
      target: incarnation.id,
      bornAt: incarnation.bornAt,
      result,
      finding,
      tookMs: Math.round(clock.monotonic() - startedAt),
    });
    return result;
  };
}
