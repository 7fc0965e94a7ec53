/** An answer on its way, and whether it has arrived whole. */
import type * as http from 'node:http';

/** The head of an answer and its body. */
export interface Answer {
  status: number;
  /** Names and values by turns, without those of one connection. */
  headers: string[];
  message: http.IncomingMessage;
  /** True once the body has arrived whole; meaningful from its `end` or `close` event on. */
  isWhole(): boolean;
}

/** Tells whether the body has no length of its own and ends with its connection. */
function endsWithConnection({ headers }: http.IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Watches whether an answer arrives whole. Node reports a body that ends with its connection as
 * complete also when the connection was reset, so an error before the end counts against it. When
 * the last bytes and the reset are read together, libuv reports a plain end; such a connection has
 * no peer any more, while one that the peer has ended still does.
 *
 * @example
 * const isWhole = watchAnswer(request, message);
 */
export function watchAnswer(
  request: http.ClientRequest,
  message: http.IncomingMessage,
): () => boolean {
  let isBroken = false;
  const noteError = (): void => {
    // Bytes after a whole answer are an error of the connection, not of the answer.
    if (!message.complete) isBroken = true;
  };
  request.once('error', noteError);
  message.once('error', noteError);
  if (endsWithConnection(message)) {
    const { socket } = message;
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) isBroken = true;
    });
  }
  return () => message.complete && !isBroken;
}

/**
 * Passes an answer on while it arrives: its head with further headers, what was received already,
 * and the rest. A body that does not arrive whole destroys the receiver, so that it cannot look
 * complete.
 *
 * @example
 * passOn(answer, response, { headers: [], received: [], onCut: () => log.warn('answer-cut') });
 */
export function passOn(
  answer: Answer,
  response: http.ServerResponse,
  options: { headers: string[]; received: readonly Buffer[]; onCut: () => void },
): void {
  const { status, headers, message } = answer;
  const length = message.headers['content-length'];
  response.writeHead(status, [
    ...headers,
    ...options.headers,
    ...(length === undefined ? [] : ['Content-Length', length]),
  ]);
  options.received.forEach((chunk) => response.write(chunk));
  message.pipe(response, { end: false });
  message.once('close', () => {
    if (answer.isWhole()) {
      response.end();
      return;
    }
    options.onCut();
    response.destroy();
  });
}
