/** Writes the responses to the attempts of peers, at the pace of the link. */
import type * as http from 'node:http';
import type * as mesh from '@figshed/core/mesh';
import type * as byteBudgets from '../byte-budget.js';
import * as callAttempts from './call-attempts.js';
import type * as callGuards from './call-guard.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as meshHeaders from './mesh-headers.js';
import * as pacedBody from './paced-body.js';
import type * as pacedResponses from './paced-responses.js';
import type * as types from './types.js';
import * as upstreamResponse from './upstream-response.js';

/** A response that may have to wait for the link; its size is known once it has been received. */
export type PeerTransfer = Omit<mesh.Transfer, 'bytes'>;

export interface PeerResponder {
  /** Writes a response without a body, unless one has been begun. */
  sendEmpty(response: http.ServerResponse, status: number, headers: string[]): void;
  /** Creates the handler of an attempt that writes its response or its failure. */
  createAttemptHandler(
    response: http.ServerResponse,
    transfer: PeerTransfer,
    provideBody: types.AttemptHandler['provideBody'],
    guard: callGuards.CallGuard,
  ): types.AttemptHandler;
}

export interface PeerResponderInput {
  ctx: Pick<context.MeshContext, 'clock'>;
  pacer: mesh.LinkPacer;
  responses: pacedResponses.PacedResponses;
  byteBudget: byteBudgets.ByteBudget;
  /** Formats the load report that each response carries. */
  formatLoad: () => string[];
}

/**
 * Creates a responder.
 *
 * @example
 * const responder = createPeerResponder({ ctx, pacer, responses, byteBudget, formatLoad });
 * responder.sendEmpty(response, 503, meshHeaders.formatRefusal('stopping', 0));
 */
export function createPeerResponder(input: PeerResponderInput): PeerResponder {
  const { ctx, pacer, responses, byteBudget, formatLoad } = input;
  const { clock } = ctx;

  const sendEmpty: PeerResponder['sendEmpty'] = (response, status, headers) => {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, [...headers, ...formatLoad(), 'Content-Length', '0']);
    response.end();
  };

  /** Streams a response; the caller's proxy detects and logs a truncated one. */
  const streamToPeer = (
    upstream: upstreamResponse.UpstreamResponse,
    response: http.ServerResponse,
    receivedChunks: readonly Buffer[] = [],
  ): void =>
    upstreamResponse.streamResponse(upstream, response, {
      headers: [
        ...formatLoad(),
        ...meshHeaders.formatRanMs(upstream.ranMs),
        ...meshHeaders.formatLeavingTarget(upstream.leavingTarget),
      ],
      receivedChunks,
      onTruncated: () => undefined,
    });

  /**
   * Reads a response from the target immediately and writes it when the link has capacity; only its
   * whole body shows the size of one that states no length.
   */
  const sendPaced = (
    upstream: upstreamResponse.UpstreamResponse,
    response: http.ServerResponse,
    transfer: PeerTransfer,
    guard: callGuards.CallGuard,
  ): void => {
    const writeBufferedHead = (buffered: callAttempts.BufferedResponse): void => {
      response.writeHead(buffered.status, [
        ...buffered.headers,
        ...formatLoad(),
        ...meshHeaders.formatRanMs(upstream.ranMs),
        ...meshHeaders.formatLeavingTarget(upstream.leavingTarget),
        ...buffered.framing,
      ]);
    };
    const writePaced = (buffered: callAttempts.BufferedResponse): void => {
      writeBufferedHead(buffered);
      pacedBody.writePacedBody(buffered.body, response, pacer, clock);
    };
    const bufferHandler: callAttempts.BufferHandler = {
      onTooLarge(chunks) {
        responses.remove(transfer.id);
        pacer.recordUnpacedSize(transfer.kind, constants.MAX_BUFFERED_RESPONSE_BYTES);
        streamToPeer(upstream, response, chunks);
      },
      onStreamed: () => undefined,
      onBuffered(buffered) {
        if (response.destroyed) return;
        const bytes = buffered.body.length;
        if (pacer.isLarge(bytes)) {
          responses.send(
            { ...transfer, bytes },
            guard.wrap(() => writePaced(buffered)),
          );
          return;
        }
        responses.remove(transfer.id);
        pacer.recordSmall(transfer.kind, bytes, clock.monotonic());
        writeBufferedHead(buffered);
        response.end(buffered.body);
      },
      onTruncated: () => response.destroy(),
    };
    callAttempts.bufferResponse(
      upstream,
      byteBudget,
      guard.wrapAll(bufferHandler, () => upstream.message.destroy()),
    );
  };

  const sendResponse = (
    upstream: upstreamResponse.UpstreamResponse,
    response: http.ServerResponse,
    transfer: PeerTransfer,
    guard: callGuards.CallGuard,
  ): void => {
    const { message } = upstream;
    if (response.destroyed) {
      message.destroy();
      return;
    }
    const statedLength = message.headers['content-length'];
    const length = Number(statedLength ?? 0);
    // A larger response is not buffered, and its stated length may be wrong.
    if (length > constants.MAX_BUFFERED_RESPONSE_BYTES) {
      responses.remove(transfer.id);
      pacer.recordUnpacedSize(transfer.kind, constants.MAX_BUFFERED_RESPONSE_BYTES);
      streamToPeer(upstream, response);
      return;
    }
    if (statedLength === undefined || pacer.isLarge(length)) {
      sendPaced(upstream, response, transfer, guard);
      return;
    }
    responses.remove(transfer.id);
    pacer.recordSmall(transfer.kind, length, clock.monotonic());
    streamToPeer(upstream, response);
  };

  const createAttemptHandler: PeerResponder['createAttemptHandler'] = (
    response,
    transfer,
    provideBody,
    guard,
  ) => ({
    provideBody,
    onResponse(upstream) {
      const send = guard.wrap(sendResponse, () => upstream.message.destroy());
      send(upstream, response, transfer, guard);
    },
    onRefused(reason, retryAfterMs) {
      sendEmpty(
        response,
        constants.HTTP.unavailable,
        meshHeaders.formatRefusal(reason, retryAfterMs),
      );
    },
    onBroken(cause, crashedTarget) {
      const headers = meshHeaders.formatBrokenCause(cause, crashedTarget);
      sendEmpty(response, constants.HTTP.badGateway, headers);
    },
  });

  return { sendEmpty, createAttemptHandler };
}
