import type * as http from 'node:http';
import * as blockPipe from './block-pipe.js';

/** Head of a response received from a target or a peer proxy, with its body stream. */
export interface UpstreamResponse {
  status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  headers: string[];
  message: http.IncomingMessage;
  /** The incarnation of the target, if it states in this response that it is leaving. */
  leavingTarget: string | undefined;
  /** Time that the target took until its response; undefined from hosts that do not report it. */
  ranMs?: number | undefined;
  /** True once the whole body has been received; valid from its `end` or `close` event on. */
  isComplete(): boolean;
}

/** Returns whether the end of the body is marked only by the end of the connection. */
function hasCloseDelimitedBody({ headers }: http.IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Tracks whether a response body is received completely; call the returned function from the `end`
 * or `close` event on. Node.js sets `complete` on a body without length or chunked encoding even if
 * the connection was reset, so an error before the end marks the response as incomplete. If the last
 * bytes and the reset are read together, libuv reports a normal end. The socket then has no remote
 * address, unlike after an orderly close.
 *
 * @example
 * const isComplete = trackCompletion(request, message);
 */
export function trackCompletion(
  request: http.ClientRequest,
  message: http.IncomingMessage,
): () => boolean {
  let hasFailed = false;
  const markFailed = (): void => {
    // Surplus bytes after a complete response cause an error; the response stays valid.
    if (!message.complete) hasFailed = true;
  };
  request.once('error', markFailed);
  message.once('error', markFailed);
  if (hasCloseDelimitedBody(message)) {
    const { socket } = message;
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) hasFailed = true;
    });
  }
  return () => message.complete && !hasFailed;
}

/**
 * Streams an upstream response downstream: its head with additional headers, the chunks that were
 * already received, then the rest. If the body is truncated, the downstream response is destroyed,
 * so that its receiver cannot take it for complete.
 *
 * @example
 * streamResponse(upstream, response, {
 *   headers: [],
 *   receivedChunks: [],
 *   onTruncated: () => log.warn('answer-cut'),
 * });
 */
export function streamResponse(
  upstream: UpstreamResponse,
  response: http.ServerResponse,
  options: { headers: string[]; receivedChunks: readonly Buffer[]; onTruncated: () => void },
): void {
  const { status, headers, message } = upstream;
  const length = message.headers['content-length'];
  response.writeHead(status, [
    ...headers,
    ...options.headers,
    ...(length === undefined ? [] : ['Content-Length', length]),
  ]);
  options.receivedChunks.forEach((chunk) => response.write(chunk));
  const pipe = blockPipe.pipeInBlocks(message, response);
  message.once('close', () => {
    pipe.flush();
    if (upstream.isComplete()) {
      response.end();
      return;
    }
    options.onTruncated();
    response.destroy();
  });
}
