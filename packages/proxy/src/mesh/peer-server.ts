import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as mesh from '@figshed/core/mesh';
import * as connectionLimit from '../connections/connection-limit.js';
import * as connectionTracker from '../connections/connection-tracker.js';
import * as bodyFraming from './body-framing.js';
import type * as byteBudgets from '../byte-budget.js';
import * as bodyReader from './body-reader.js';
import * as callGuards from './call-guard.js';
import * as callerLimits from './caller-limits.js';
import * as configurationFetcher from './configuration-fetcher.js';
import type * as configurationSender from './configuration-sender.js';
import * as connectionLogs from './connection-log.js';
import * as constants from './constants.js';
import * as errors from './errors.js';
import type * as context from './context.js';
import * as eventLoop from '../event-loop.js';
import type * as linkUsages from './link-usage.js';
import * as meshHeaders from './mesh-headers.js';
import * as peerResponder from './peer-responder.js';
import * as pacedResponses from './paced-responses.js';
import * as requestBodies from './request-body.js';
import type * as localTarget from './local-target.js';
import type * as types from './types.js';

/** HTTP server for the attempts of other proxies. */
export interface PeerServer {
  start(): Promise<void>;
  /** Returns the attempts whose response has not been written completely. */
  countOpenAttempts(): number;
  /** Closes all connections at once. */
  destroy(): void;
}

export interface PeerServerInput {
  ctx: context.MeshContext;
  target: localTarget.LocalTarget;
  configurationSender: configurationSender.ConfigurationSender;
  linkUsage: linkUsages.LinkUsage;
  isStopping: () => boolean;
  byteBudget: byteBudgets.ByteBudget;
}

function hasBody({ headers }: http.IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/**
 * Creates the server that receives attempts from other proxies and runs them at the target on this
 * host; it listens after `start`.
 *
 * A call that is not repeatable is sent with `Expect: 100-continue`. The server requests its body
 * only when a slot is free, so until then it is certain on both sides that the call has not run. If
 * there is no response after ACKNOWLEDGEMENT_DELAY_MS, the server sends `102 Processing`, by which
 * the client distinguishes a slow target from a half-open connection.
 *
 * @example
 * await createPeerServer(input).start();
 */
export function createPeerServer(input: PeerServerInput): PeerServer {
  const { ctx, target, linkUsage, isStopping, byteBudget } = input;
  const { clock, log, metrics, settings } = ctx;
  const server = http.createServer({
    keepAliveTimeout: constants.PEER_SERVER_IDLE_TIMEOUT_MS,
    requestTimeout: 0,
    headersTimeout: 0,
  });
  const connectionLog = connectionLogs.createConnectionLog(
    ctx,
    'peers',
    ({ headers }) => meshHeaders.parseAttemptMetadata(headers)?.callId,
  );
  const tracker = connectionTracker.trackConnections(server, { onCut: connectionLog.logCut });
  const recordLimit = callerLimits.createLimitLog(ctx);
  const maxConnections = callerLimits.computeMaxPeerConnections(settings);
  connectionLimit.limitConnections(server, tracker, {
    maxConnections,
    mustStay: (state) => state === 'pending',
    onClosed: (open) =>
      recordLimit('connection-closed', 'peer-connections', { open, limit: maxConnections }),
  });
  const pacer = mesh.createLinkPacer({
    ...mesh.linkPacerDefaults,
    linkMbps: settings.linkMbps,
  });

  const responses = pacedResponses.createPacedResponses(pacer, clock);

  server.on('connection', linkUsage.createTracker('peers'));
  linkUsage.onTraffic(pacer.recordTraffic);

  /** Paces the request bodies that arrive over the link, which is as wide in both directions. */
  const bodyPacer = mesh.createLinkPacer({
    ...mesh.linkPacerDefaults,
    minPacedShare: constants.UPLOAD_LINK_SHARE,
    maxPacedShare: constants.UPLOAD_LINK_SHARE,
    linkMbps: settings.linkMbps,
  });

  /** Sockets whose connection closes; requests on them are ignored. */
  const rejectedSockets = new WeakSet<net.Socket>();
  let openAttempts = 0;
  let lastTransfer = 0;

  const getBacklogMs = (): number => {
    const now = clock.monotonic();
    return Math.max(responses.getBacklogMs(now), bodyPacer.getBacklogMs(now));
  };

  const responder = peerResponder.createPeerResponder({
    ctx,
    pacer,
    responses,
    byteBudget,
    formatLoad: () =>
      meshHeaders.formatLoad({
        ...target.getLoad(),
        backlogMs: getBacklogMs(),
        kilobyteMs: pacer.getKilobyteMs(),
      }),
  });

  /**
   * Ends a connection with the response that `respond` writes. What follows on it may be a body without
   * framing, so nothing of it is taken for an attempt, also if it has been parsed already.
   */
  const rejectSender = (request: http.IncomingMessage, respond: () => void): void => {
    rejectedSockets.add(request.socket);
    metrics.count('peer_requests_rejected_total');
    bodyReader.drainBody(request);
    respond();
  };

  const handleAttempt = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    isExpectingContinue: boolean,
  ): void => {
    const metadata = meshHeaders.parseAttemptMetadata(request.headers);
    if (!metadata) {
      rejectSender(request, () =>
        response.writeHead(constants.HTTP.badRequest, { connection: 'close' }).end(),
      );
      return;
    }
    if (!isExpectingContinue && bodyFraming.contradictsSize(request, metadata.bodyBytes)) {
      const { callId, bodyBytes } = metadata;
      log.warn('attempt-misframed', { call: callId, bodyBytes, method: request.method });
      rejectSender(request, () =>
        responder.sendEmpty(response, constants.HTTP.unavailable, [
          ...meshHeaders.formatRefusal('misframed', 0),
          'Connection',
          'close',
        ]),
      );
      return;
    }
    if (isStopping()) {
      bodyReader.drainBody(request);
      responder.sendEmpty(
        response,
        constants.HTTP.unavailable,
        meshHeaders.formatRefusal('stopping', 0),
      );
      return;
    }
    const guard = callGuards.createCallGuard(ctx, metadata.callId, () => {
      if (!response.headersSent)
        responder.sendEmpty(
          response,
          constants.HTTP.badGateway,
          meshHeaders.formatBrokenCause('internal-error', undefined),
        );
      else if (!response.writableEnded) response.destroy();
    });
    openAttempts += 1;
    tracker.trackResponse(response);
    response.once('close', () => {
      openAttempts -= 1;
    });
    bodyReader.drainAfterResponse(request, response);
    const now = clock.monotonic();
    const holding = byteBudget.open(
      constants.CALL_BYTES + (metadata.bodyBytes ?? constants.MIN_STREAMED_BYTES),
    );
    response.once('close', holding.release);
    const readWholeBody = async (): Promise<requestBodies.RequestBody> => {
      const { bodyBytes: statedBytes } = metadata;
      const collector = await bodyReader.readBlocks(request, holding, statedBytes);
      if (statedBytes !== undefined && collector.getSizeBytes() < statedBytes)
        throw new errors.IncompleteBodyError();
      return requestBodies.formatBody(collector);
    };
    if (!holding.reserve(constants.CALL_BYTES)) {
      recordLimit('call-refused', 'held-memory', {
        call: metadata.callId,
        heldBytes: byteBudget.getUsedBytes(),
      });
      bodyReader.drainBody(request);
      responder.sendEmpty(
        response,
        constants.HTTP.unavailable,
        meshHeaders.formatRefusal('unreachable', 0),
      );
      return;
    }
    const earlyBody = isExpectingContinue ? undefined : readWholeBody();
    earlyBody?.catch(() => undefined);
    const acknowledgementTimer = setTimeout(() => {
      if (!response.headersSent && !response.destroyed) response.writeProcessing();
    }, constants.ACKNOWLEDGEMENT_DELAY_MS);
    response.once('close', () => clearTimeout(acknowledgementTimer));
    let isPeerDisconnected = false;
    const { isStreamed = false } = metadata;
    const bodyBytes = metadata.bodyBytes ?? (isStreamed ? constants.MIN_STREAMED_BYTES : 0);
    const readLateBody = async (): Promise<requestBodies.RequestBody | undefined> => {
      if (bodyPacer.isLarge(bodyBytes))
        await timers.setTimeout(bodyPacer.reserve(metadata.route, bodyBytes, clock.monotonic()));
      if (response.destroyed) return undefined;
      clearTimeout(acknowledgementTimer);
      response.writeContinue();
      if (isStreamed) {
        const lengthBytes = metadata.bodyBytes;
        return { source: request, lengthBytes, maxBytes: Number.POSITIVE_INFINITY };
      }
      const timeout = new AbortController();
      try {
        return await Promise.race([
          readWholeBody(),
          timers.setTimeout(constants.BODY_TIMEOUT_MS, undefined, { signal: timeout.signal }),
        ]);
      } finally {
        timeout.abort();
      }
    };
    const provideBody: types.AttemptHandler['provideBody'] = async () => {
      if (isPeerDisconnected) return undefined;
      const body = await (earlyBody ?? readLateBody()).catch(() => undefined);
      await eventLoop.waitForSocketPoll();
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- cancels the attempt that asks
      if (request.socket.readableEnded) handlePeerDisconnect();
      return isPeerDisconnected ? undefined : body;
    };
    lastTransfer += 1;
    const transfer = {
      id: `${metadata.callId}|${lastTransfer}`,
      kind: metadata.route,
      objectiveAt: now + metadata.objectiveMs,
    };
    response.once('close', () => responses.remove(transfer.id));
    const handler = guard.wrapAll(
      responder.createAttemptHandler(response, transfer, provideBody, guard),
    );
    let attempt: types.CancellableAttempt | undefined;
    const runAttempt = guard.wrap(() => {
      if (response.destroyed) return;
      const waitMs = responses.estimateWaitMs(metadata.route, metadata.mayBeLate, now);
      responses.expect(transfer.id, metadata.route, metadata.mayBeLate);
      attempt = target.run(
        {
          callId: metadata.callId,
          account: metadata.account,
          service: metadata.service,
          route: metadata.route,
          method: request.method ?? 'GET',
          path: request.url ?? '/',
          headers: meshHeaders.copyHeaders(request.rawHeaders, new Set()),
          isRepeatable: metadata.isRepeatable,
          bodyBytes: metadata.bodyBytes,
          isStreamed,
          mayBeLate: metadata.mayBeLate,
          wasRejected: metadata.wasRejected ?? false,
          isTrial: metadata.isTrial ?? false,
          rank: metadata.rank,
          objectiveAt: now + metadata.objectiveMs,
          deadlineAt: now + metadata.deadlineMs,
        },
        handler,
        {
          waitMs,
          transmissionMs:
            pacer.computeTransmissionMs(pacer.getMeanBytes(metadata.route)) +
            (bodyPacer.isLarge(bodyBytes)
              ? bodyPacer.getBacklogMs(now) + bodyPacer.computeTransmissionMs(bodyBytes)
              : 0),
        },
      );
    });
    const handlePeerDisconnect = guard.wrap(() => {
      if (isPeerDisconnected || response.writableFinished) return;
      isPeerDisconnected = true;
      attempt?.cancel();
    });
    response.once('close', handlePeerDisconnect);
    // A body that does not arrive must not hold a slot.
    if (earlyBody && hasBody(request))
      earlyBody.then(runAttempt, () => handler.onRefused('unreachable', 0));
    else runAttempt();
  };

  const handleRequest = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    isExpectingContinue: boolean,
  ): void => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (rejectedSockets.has(request.socket)) {
      request.resume();
      return;
    }
    if (
      request.url === configurationFetcher.CONFIGURATION_PATH &&
      !meshHeaders.parseAttemptMetadata(request.headers)
    ) {
      bodyReader.drainBody(request);
      input.configurationSender.send(request, response);
      return;
    }
    handleAttempt(request, response, isExpectingContinue);
  };

  server.on('request', (request, response) => handleRequest(request, response, false));
  server.on('checkContinue', (request, response) => handleRequest(request, response, true));

  return {
    async start() {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject).listen(settings.peerPort, settings.address, resolve);
      });
    },
    countOpenAttempts: () => openAttempts,
    destroy() {
      responses.stop();
      connectionLog.logStage('destroyed', tracker.destroy());
    },
  };
}
