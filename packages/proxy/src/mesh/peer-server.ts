/** Takes attempts from other proxies and runs them at the target on this host. */
import * as http from 'node:http';
import * as util from 'node:util';
import * as zlib from 'node:zlib';
import * as mesh from '@figshed/core/mesh';
import * as answerModule from './answer.js';
import * as bodies from './bodies.js';
import * as callAttempts from './call-attempts.js';
import * as constants from './constants.js';
import type * as contextModule from './context.js';
import * as headersModule from './headers.js';
import type * as targetPort from './target-port.js';
import type * as types from './types.js';

/** Path at which a peer asks for the configuration that this process holds. */
export const CONFIGURATION_PATH = '/figshed/configuration';

const gzip: (text: string, options: zlib.ZlibOptions) => Promise<Buffer> = util.promisify(
  zlib.gzip,
);

/** What a peer server needs. */
export interface PeerServerInput {
  ctx: contextModule.MeshContext;
  target: targetPort.TargetPort;
  getConfig: () => mesh.MeshConfig | undefined;
  isStopping: () => boolean;
  /** Bodies held in this process. */
  held: bodies.HeldBytes;
}

/**
 * Creates the server for peers; `listen` it on the peer port.
 *
 * A call that may run once only comes with `Expect: 100-continue`. Its body is asked for when a
 * slot is free, so that until then both sides know for certain that it has not run. Every attempt
 * that is not answered soon is acknowledged with 102, which tells a slow target from a silent
 * connection.
 *
 * @example
 * createPeerServer(input).listen(7600, '10.0.0.1');
 */
export function createPeerServer(input: PeerServerInput): http.Server {
  const { ctx, target, getConfig, isStopping, held } = input;
  const { clock, settings } = ctx;
  const pacer = mesh.createLinkPacer({
    ...mesh.linkPacerDefaults,
    linkMbps: settings.linkMbps,
  });

  /** The answer to peers, which all ask for one version at once. */
  let compressed: { version: number; bytes: Promise<Buffer> } | undefined;
  const compress = (config: mesh.MeshConfig): Promise<Buffer> => {
    if (compressed?.version !== config.version) {
      const bytes = gzip(JSON.stringify(config), { level: zlib.constants.Z_BEST_SPEED });
      compressed = { version: config.version, bytes };
    }
    return compressed.bytes;
  };

  const answerConfiguration = (response: http.ServerResponse): void => {
    const config = getConfig();
    if (!config) response.writeHead(constants.HTTP.unavailable).end();
    else {
      compress(config)
        .then((bytes) =>
          response.writeHead(constants.HTTP.ok, { 'content-encoding': 'gzip' }).end(bytes),
        )
        .catch((error: Error) => {
          ctx.log.error('configuration-not-compressed', { message: error.message });
          response.writeHead(constants.HTTP.unavailable).end();
        });
    }
  };

  const formatLoad = (): string[] =>
    headersModule.formatLoad({
      ...target.load(),
      backlogMs: pacer.backlogMs(clock.monotonic()),
      kilobyteMs: pacer.kilobyteMs,
    });

  const end = (response: http.ServerResponse, status: number, headers: string[]): void => {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, [...headers, ...formatLoad(), 'Content-Length', '0']);
    response.end();
  };

  /** Writes an answer while it arrives; the caller's proxy sees and logs when it is cut. */
  const passOn = (
    answer: answerModule.Answer,
    response: http.ServerResponse,
    received: readonly Buffer[] = [],
  ): void =>
    answerModule.passOn(answer, response, {
      headers: formatLoad(),
      received,
      onCut: () => undefined,
    });

  /** Takes a large answer from the target at once, and writes it when the link is free for it. */
  const passOnPaced = (
    answer: answerModule.Answer,
    response: http.ServerResponse,
    delayMs: number,
  ): void => {
    const write = (whole: callAttempts.WholeAnswer): void => {
      if (response.destroyed) return;
      const length = String(whole.body.length);
      response.writeHead(whole.status, [
        ...whole.headers,
        ...formatLoad(),
        'Content-Length',
        length,
      ]);
      response.end(whole.body);
    };
    callAttempts.gatherAnswer(answer, held, {
      onLarge: (chunks) => passOn(answer, response, chunks),
      onPassed: () => undefined,
      onWhole: (whole) => setTimeout(write, delayMs, whole),
      onCut: () => response.destroy(),
    });
  };

  const createHandler = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    route: string,
    takeBody: () => Promise<Buffer | undefined>,
  ): types.AttemptHandler => ({
    takeBody,
    onHead(answer) {
      const { message } = answer;
      if (response.destroyed) {
        message.destroy();
        return;
      }
      const length = Number(message.headers['content-length'] ?? 0);
      if (pacer.isLarge(length)) {
        passOnPaced(answer, response, pacer.reserve(route, length, clock.monotonic()));
        return;
      }
      pacer.noteSmall(route, length);
      passOn(answer, response);
    },
    onRefused(reason, retryAfterMs) {
      end(response, constants.HTTP.unavailable, headersModule.formatRefusal(reason, retryAfterMs));
      request.resume();
    },
    onBroken(cause) {
      end(response, constants.HTTP.badGateway, headersModule.formatBroken(cause));
    },
  });

  const handleAttempt = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    isExpecting: boolean,
  ): void => {
    const facts = headersModule.readAttempt(request.headers);
    if (!facts) {
      request.resume();
      response.writeHead(constants.HTTP.badRequest).end();
      return;
    }
    if (isStopping()) {
      request.resume();
      end(response, constants.HTTP.unavailable, headersModule.formatRefusal('stopping', 0));
      return;
    }
    const now = clock.monotonic();
    const early = isExpecting ? undefined : bodies.readBody(request, held);
    early?.catch(() => undefined);
    const acknowledge = setTimeout(() => {
      if (!response.headersSent && !response.destroyed) response.writeProcessing();
    }, constants.ACKNOWLEDGE_DELAY_MS);
    response.once('close', () => clearTimeout(acknowledge));
    let isGone = false;
    const takeBody = async (): Promise<Buffer | undefined> => {
      if (isGone) return undefined;
      if (early) return early.catch(() => undefined);
      clearTimeout(acknowledge);
      response.writeContinue();
      const late = setTimeout(() => request.destroy(), constants.BODY_TIMEOUT_MS);
      try {
        const body = await bodies.readBody(request, held);
        return isGone ? undefined : body;
      } catch {
        return undefined;
      } finally {
        clearTimeout(late);
      }
    };
    const attempt = target.run(
      {
        callId: facts.callId,
        service: facts.service,
        route: facts.route,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: headersModule.copyHeaders(request.rawHeaders, new Set()),
        isRepeatable: facts.isRepeatable,
        mayBeLate: facts.mayBeLate,
        rank: facts.rank,
        objectiveAt: now + facts.objectiveMs,
        deadlineAt: now + facts.deadlineMs,
      },
      createHandler(request, response, facts.route, takeBody),
      pacer.expectMs(facts.route, now),
    );
    response.once('close', () => {
      if (response.writableFinished) return;
      isGone = true;
      attempt.cancel();
    });
  };

  const handle = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    isExpecting: boolean,
  ): void => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (request.url === CONFIGURATION_PATH && !headersModule.readAttempt(request.headers)) {
      request.resume();
      answerConfiguration(response);
      return;
    }
    handleAttempt(request, response, isExpecting);
  };

  const server = http.createServer(
    { keepAliveTimeout: constants.PEER_SERVER_IDLE_MS, requestTimeout: 0, headersTimeout: 0 },
    (request, response) => handle(request, response, false),
  );
  server.on('checkContinue', (request, response) => handle(request, response, true));
  return server;
}
