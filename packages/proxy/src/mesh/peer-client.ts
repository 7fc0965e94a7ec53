/** Sends attempts to the proxies beside other targets. */
import * as http from 'node:http';
import * as consumers from 'node:stream/consumers';
import * as util from 'node:util';
import * as zlib from 'node:zlib';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as answerModule from './answer.js';
import * as constants from './constants.js';
import type * as contextModule from './context.js';
import * as guardedAgent from './guarded-agent.js';
import * as headersModule from './headers.js';
import * as peerServer from './peer-server.js';
import type * as types from './types.js';

/** What an attempt at another host tells besides its end. */
export interface PeerAttemptHandler extends types.AttemptHandler {
  /** The host gave a sign of life. */
  onHeard(): void;
  onLoad(load: mesh.TargetLoad): void;
}

/** Connections to other proxies. */
export interface PeerClient {
  run(
    endpoint: core.Endpoint,
    attempt: types.Attempt,
    handler: PeerAttemptHandler,
  ): types.OpenAttempt;
  /** Fetches the configuration that a peer holds. */
  fetchConfig(endpoint: core.Endpoint): Promise<mesh.MeshConfig>;
  close(): void;
}

const gunzip: (bytes: Buffer) => Promise<Buffer> = util.promisify(zlib.gunzip);
const patienceOptions: mesh.PatienceOptions = {
  ...mesh.patienceDefaults,
  minMs: constants.ACKNOWLEDGE_TIMEOUT_MS,
  maxMs: constants.MAX_ACKNOWLEDGE_TIMEOUT_MS,
};
const FETCH_TIMEOUT_MS = 1_000;

/**
 * Creates a client without connections.
 *
 * @example
 * const peers = createPeerClient(ctx);
 */
export function createPeerClient(ctx: contextModule.MeshContext): PeerClient {
  const { clock, metrics, protocol } = ctx;
  const agent = guardedAgent.createAgent(constants.PEER_IDLE_MS);
  const acknowledgements = new Map<string, mesh.PatienceEstimate>();

  /** How long acknowledgements of a host take: on a busy link they wait behind large answers. */
  const findAcknowledged = ({ address, port }: core.Endpoint): mesh.PatienceEstimate => {
    const key = `${address}:${port}`;
    const known = acknowledgements.get(key) ?? mesh.createPatienceEstimate(patienceOptions);
    acknowledgements.set(key, known);
    return known;
  };

  const run = (
    endpoint: core.Endpoint,
    attempt: types.Attempt,
    handler: PeerAttemptHandler,
  ): types.OpenAttempt => {
    const now = clock.monotonic();
    let isOver = false;
    let isBodySent = attempt.isRepeatable;
    let isConnected = false;

    const request = http.request({
      agent,
      host: endpoint.address,
      port: endpoint.port,
      method: attempt.method,
      path: attempt.path,
      headers: [
        ...attempt.headers,
        ...headersModule.formatAttempt({
          callId: attempt.callId,
          service: attempt.service,
          route: attempt.route,
          isRepeatable: attempt.isRepeatable,
          mayBeLate: attempt.mayBeLate,
          rank: attempt.rank,
          objectiveMs: Math.round(attempt.objectiveAt - now),
          deadlineMs: Math.round(attempt.deadlineAt - now),
        }),
        ...(attempt.isRepeatable ? [] : ['Expect', '100-continue', 'Transfer-Encoding', 'chunked']),
      ],
    });

    const finish = (): boolean => {
      if (isOver) return false;
      isOver = true;
      return true;
    };
    /** Ends an attempt without an answer; what was not sent whole cannot have run. */
    const fail = (cause: string): void => {
      if (!finish()) return;
      request.destroy();
      metrics.count('peer_failures_total', { cause: isConnected ? 'lost' : 'no-connection' });
      if (isConnected && isBodySent) handler.onBroken(cause);
      else handler.onRefused('unreachable', 0);
    };

    const acknowledged = findAcknowledged(endpoint);
    const silence = setTimeout(() => {
      acknowledged.noteTimeout();
      fail('not-acknowledged');
    }, constants.CONNECT_TIMEOUT_MS + acknowledged.timeoutMs());
    let isAcknowledged = false;
    const noteAcknowledged = (): void => {
      clearTimeout(silence);
      if (!isAcknowledged) acknowledged.note(clock.monotonic() - now);
      isAcknowledged = true;
      handler.onHeard();
    };
    guardedAgent.watchConnect(
      request,
      constants.CONNECT_TIMEOUT_MS,
      () => {
        isConnected = true;
      },
      () => fail('connect-timeout'),
    );
    request.on('information', noteAcknowledged);
    request.on('continue', () => {
      noteAcknowledged();
      handler
        .takeBody()
        .then((body) => {
          if (isOver || !body) {
            request.destroy();
            return;
          }
          isBodySent = true;
          request.end(body);
        })
        .catch((error: Error) => fail(error.message));
    });
    request.on('error', (error) => fail(error.message));
    request.on('close', () => {
      clearTimeout(silence);
      fail('closed');
    });
    request.on('response', (message) => {
      noteAcknowledged();
      message.on('error', () => undefined);
      if (isOver) {
        message.destroy();
        return;
      }
      const load = headersModule.readLoad(message.headers);
      if (load) handler.onLoad(load);
      const refusal = headersModule.readRefusal(message.headers);
      const broken = headersModule.readBroken(message.headers);
      if (refusal || broken !== undefined) {
        message.resume();
        if (!finish()) return;
        // Without its body the request cannot end, so its connection is of no further use.
        if (!isBodySent) request.destroy();
        if (refusal) handler.onRefused(refusal.reason, refusal.retryAfterMs);
        else handler.onBroken(broken ?? '');
        return;
      }
      if (message.headers[protocol.callId] !== attempt.callId) {
        message.destroy();
        fail('answer-of-another-call');
        return;
      }
      if (!finish()) return;
      handler.onHead({
        status: message.statusCode ?? 0,
        headers: headersModule.copyHeaders(message.rawHeaders, new Set()),
        message,
        isWhole: answerModule.watchAnswer(request, message),
      });
    });
    if (attempt.isRepeatable) {
      handler
        .takeBody()
        .then((body) => request.end(body ?? Buffer.alloc(0)))
        .catch((error: Error) => fail(error.message));
    } else request.flushHeaders();

    return {
      cancel() {
        isOver = true;
        clearTimeout(silence);
        request.destroy();
        return !isBodySent;
      },
    };
  };

  return {
    run,
    async fetchConfig(endpoint) {
      const bytes = await new Promise<Buffer>((resolve, reject) => {
        const request = http.get({
          agent,
          host: endpoint.address,
          port: endpoint.port,
          path: peerServer.CONFIGURATION_PATH,
        });
        const timer = setTimeout(() => request.destroy(new Error('timeout')), FETCH_TIMEOUT_MS);
        request.once('close', () => clearTimeout(timer));
        request.once('error', reject);
        request.once('response', (message) => {
          if (message.statusCode === constants.HTTP.ok) {
            consumers.buffer(message).then(resolve, reject);
            return;
          }
          message.resume();
          reject(new Error(`status ${message.statusCode}`));
        });
      });
      return JSON.parse((await gunzip(bytes)).toString()) as mesh.MeshConfig;
    },
    close: () => agent.destroy(),
  };
}
