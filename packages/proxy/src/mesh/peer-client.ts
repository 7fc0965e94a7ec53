import * as http from 'node:http';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as upstreamResponse from './upstream-response.js';
import * as eventLoop from '../event-loop.js';
import * as writableHeads from '../writable-heads.js';
import * as bodyFraming from './body-framing.js';
import * as callGuards from './call-guard.js';
import * as configurationFetcher from './configuration-fetcher.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as keepAliveAgent from './keep-alive-agent.js';
import type * as linkUsages from './link-usage.js';
import * as meshHeaders from './mesh-headers.js';
import * as requestBodies from './request-body.js';
import * as responseBytes from './response-bytes.js';
import type * as types from './types.js';

/** Callbacks of an attempt at another host. */
export interface PeerAttemptHandler extends types.AttemptHandler {
  /** The host acknowledged the attempt or sent a response. */
  onHostResponded(): void;
  /**
   * The host has not acknowledged the attempt in time. It may be running and its response may still
   * arrive, so the attempt stays open.
   */
  onUnacknowledged(): void;
  onLoad(load: mesh.TargetLoad): void;
}

/** Sends attempts to the proxies on other hosts. */
export interface PeerClient {
  run(
    endpoint: core.Endpoint,
    attempt: types.Attempt,
    handler: PeerAttemptHandler,
  ): types.CancellableAttempt;
  /**
   * Fetches the configuration that a peer holds, as changes to one of `bases` if the peer knows one.
   *
   * @throws Error if the request fails, times out or has a response status other than 200.
   */
  fetchConfig(
    endpoint: core.Endpoint,
    bases: readonly mesh.ConfigSnapshot[],
  ): Promise<types.FetchedConfiguration>;
  close(): void;
}

const acknowledgementTimeoutOptions: mesh.AckTimeoutOptions = {
  ...mesh.ackTimeoutDefaults,
  minMs: constants.MIN_ACKNOWLEDGEMENT_TIMEOUT_MS,
  maxMs: constants.MAX_ACKNOWLEDGEMENT_TIMEOUT_MS,
};

/**
 * Creates a client; connections are opened on demand.
 *
 * @example
 * const peers = createPeerClient(ctx, linkUsage);
 */
export function createPeerClient(
  ctx: context.MeshContext,
  linkUsage: linkUsages.LinkUsage,
): PeerClient {
  const { clock, log, metrics, protocol } = ctx;
  const trackSocket = linkUsage.createTracker('hosts');
  const agent = keepAliveAgent.createAgent(constants.PEER_CLIENT_IDLE_TIMEOUT_MS);
  const acknowledgementTimeouts = new Map<string, mesh.AckTimeout>();

  /** Adaptive per host: acknowledgements are slower while large responses queue on its link. */
  const getAcknowledgementTimeout = ({ address, port }: core.Endpoint): mesh.AckTimeout => {
    const key = `${address}:${port}`;
    const acknowledgementTimeout =
      acknowledgementTimeouts.get(key) ?? mesh.createAckTimeout(acknowledgementTimeoutOptions);
    acknowledgementTimeouts.set(key, acknowledgementTimeout);
    return acknowledgementTimeout;
  };

  /** @throws TypeError if a part of the attempt cannot be written in a head. */
  const createRequest = (
    endpoint: core.Endpoint,
    attempt: types.Attempt,
    now: number,
  ): http.ClientRequest =>
    http.request({
      agent,
      host: endpoint.address,
      port: endpoint.port,
      method: attempt.method,
      path: attempt.path,
      headers: [
        ...attempt.headers,
        ...meshHeaders.formatAttemptMetadata({
          callId: attempt.callId,
          account: attempt.account,
          service: attempt.service,
          route: attempt.route,
          isRepeatable: attempt.isRepeatable,
          mayBeLate: attempt.mayBeLate,
          rank: attempt.rank,
          objectiveMs: Math.round(attempt.objectiveAt - now),
          deadlineMs: Math.round(attempt.deadlineAt - now),
          bodyBytes: attempt.bodyBytes,
          isStreamed: attempt.isStreamed,
          wasRejected: attempt.wasRejected || undefined,
          isTrial: attempt.isTrial || undefined,
        }),
        ...(attempt.isRepeatable
          ? bodyFraming.formatRequestFraming(attempt.method, attempt.bodyBytes)
          : ['Expect', '100-continue', 'Transfer-Encoding', 'chunked']),
      ],
    });

  const sendRequest = (
    request: http.ClientRequest,
    endpoint: core.Endpoint,
    attempt: types.Attempt,
    handler: PeerAttemptHandler,
    now: number,
  ): types.CancellableAttempt => {
    let hasEnded = false;
    let isBodySent = false;
    let isConnected = false;
    let connectMs = 0;

    const markEnded = (): boolean => {
      if (hasEnded) return false;
      hasEnded = true;
      return true;
    };
    /** Ends the attempt without a response. It may have run only if its body was sent. */
    const fail = (cause: string): void => {
      if (!markEnded()) return;
      request.destroy();
      metrics.count('peer_failures_total', { cause: isConnected ? 'lost' : 'no-connection' });
      if (isConnected && isBodySent) handler.onBroken(cause);
      else handler.onRefused('unreachable', 0);
    };

    const acknowledgementTimeout = getAcknowledgementTimeout(endpoint);
    const timeoutMs = constants.CONNECT_TIMEOUT_MS + acknowledgementTimeout.getTimeoutMs();
    let isAcknowledged = false;
    const handleLateAcknowledgement = async (): Promise<void> => {
      // After a stall of this process, the acknowledgement may have arrived but not been read.
      await eventLoop.waitForSocketPoll();
      if (isAcknowledged || hasEnded) return;
      log.info('attempt-unacknowledged', {
        call: attempt.callId,
        host: endpoint.address,
        timeoutMs: Math.round(timeoutMs),
        timerLateMs: Math.round(clock.monotonic() - now - timeoutMs),
        connectMs: isConnected ? Math.round(connectMs) : undefined,
        bodySent: isBodySent,
      });
      acknowledgementTimeout.recordTimeout();
      if (isConnected && isBodySent) handler.onUnacknowledged();
      else fail('not-acknowledged');
    };
    const acknowledgementTimer = setTimeout(() => {
      handleLateAcknowledgement().catch((error: Error) => fail(error.message));
    }, timeoutMs);
    const recordAcknowledgement = (): void => {
      clearTimeout(acknowledgementTimer);
      if (!isAcknowledged) acknowledgementTimeout.addSample(clock.monotonic() - now);
      isAcknowledged = true;
      handler.onHostResponded();
    };
    keepAliveAgent.watchConnect(
      request,
      constants.CONNECT_TIMEOUT_MS,
      () => {
        isConnected = true;
        connectMs = clock.monotonic() - now;
      },
      () => fail('connect-timeout'),
    );
    const sendBody = (): void => {
      handler
        .provideBody()
        .then((body) => {
          if (hasEnded || !body) {
            request.destroy();
            return;
          }
          isBodySent = true;
          requestBodies.writeBody(body, request);
        })
        .catch((error: Error) => fail(error.message));
    };
    const guard = callGuards.createCallGuard(ctx, attempt.callId, () => fail('internal-error'));
    responseBytes.watchHeadBytes(request, () => fail('head-too-large'));
    request.once('socket', trackSocket);
    request.on('information', guard.wrap(recordAcknowledgement));
    request.once(
      'continue',
      guard.wrap(() => {
        recordAcknowledgement();
        sendBody();
      }),
    );
    request.on('error', (error) => fail(error.message));
    request.on('close', () => {
      clearTimeout(acknowledgementTimer);
      fail('closed');
    });
    const handleResponse = (message: http.IncomingMessage): void => {
      recordAcknowledgement();
      message.on('error', () => undefined);
      if (hasEnded) {
        message.destroy();
        return;
      }
      const load = meshHeaders.parseLoad(message.headers);
      if (load) handler.onLoad(load);
      const refusal = meshHeaders.parseRefusal(message.headers);
      const brokenCause = meshHeaders.parseBrokenCause(message.headers);
      if (refusal || brokenCause !== undefined) {
        responseBytes.discardBody(message);
        if (!markEnded()) return;
        // Without its whole body, the request cannot complete and its connection cannot be reused.
        if (!request.writableFinished) request.destroy();
        if (refusal) handler.onRefused(refusal.reason, refusal.retryAfterMs);
        else handler.onBroken(brokenCause ?? '', meshHeaders.parseCrashedTarget(message.headers));
        return;
      }
      if (message.headers[protocol.callIdHeader] !== attempt.callId) {
        message.destroy();
        fail('answer-of-another-call');
        return;
      }
      const finding = writableHeads.findUnwritableResponse(message);
      if (finding !== undefined) {
        message.destroy();
        fail(finding);
        return;
      }
      const upstream = {
        status: message.statusCode ?? 0,
        headers: meshHeaders.copyHeaders(message.rawHeaders, new Set()),
        message,
        leavingTarget: meshHeaders.parseLeavingTarget(message.headers),
        ranMs: meshHeaders.parseRanMs(message.headers),
        isComplete: upstreamResponse.trackCompletion(request, message),
      };
      if (markEnded()) handler.onResponse(upstream);
    };
    request.on('response', guard.wrap(handleResponse));
    if (attempt.isRepeatable) sendBody();
    else request.flushHeaders();

    return {
      cancel() {
        hasEnded = true;
        clearTimeout(acknowledgementTimer);
        request.destroy();
        return !isBodySent;
      },
    };
  };

  const run: PeerClient['run'] = (endpoint, attempt, handler) => {
    const now = clock.monotonic();
    let request: http.ClientRequest;
    try {
      request = createRequest(endpoint, attempt, now);
    } catch (error) {
      const { message } = error as Error;
      log.error('attempt-not-sent', { call: attempt.callId, host: endpoint.address, message });
      handler.onBroken('internal-error');
      return { cancel: () => true };
    }
    return sendRequest(request, endpoint, attempt, handler, now);
  };

  return {
    run,
    fetchConfig: (endpoint, bases) =>
      configurationFetcher.fetchConfiguration(ctx, agent, endpoint, bases),
    close: () => agent.destroy(),
  };
}
