/** Reads the bodies of calls and attempts within a byte budget, until their response is sent. */
import type * as http from 'node:http';
import * as runtime from '@figshed/runtime';
import type * as byteBudgets from '../byte-budget.js';

export interface HeldBodyHandler {
  /** The body is complete; undefined if it is empty. */
  onBody(body: Buffer | undefined): void;
  /** The body is longer than `maxBytes`. */
  onTooLarge(): void;
  /** There is no room for the body, or another one needs its room. */
  onNoRoom(): void;
}

/**
 * Reads the body of a request; exactly one callback is called, unless the sender disconnects first.
 * Its bytes stay reserved until the response is sent or the connection closes.
 *
 * @example
 * readHeldBody(request, response, { byteBudget, maxBytes: 1_000_000 }, handler);
 */
export function readHeldBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  { byteBudget, maxBytes }: { byteBudget: byteBudgets.ByteBudget; maxBytes: number },
  handler: HeldBodyHandler,
): void {
  const { socket } = request;
  const holding = byteBudget.open(Number(request.headers['content-length'] ?? 0));
  let body = runtime.createByteCollector();
  let isSettled = false;
  const release = (): void => {
    response.off('close', release);
    // The response to a pipelined request gets no event when its connection closes.
    socket.off('close', release);
    holding.release();
  };
  const refuse = (callback: () => void): void => {
    if (isSettled) return;
    isSettled = true;
    body = runtime.createByteCollector();
    release();
    callback();
  };
  request.on('data', (chunk: Buffer) => {
    if (isSettled) return;
    if (!holding.reserve(chunk.length)) {
      refuse(handler.onNoRoom);
      return;
    }
    body.append(chunk);
    if (body.getSizeBytes() > maxBytes) refuse(handler.onTooLarge);
  });
  request.once('data', () => {
    if (isSettled) return;
    holding.setEnd(() => refuse(handler.onNoRoom));
    response.once('close', release);
    socket.once('close', release);
  });
  request.on('end', () => {
    if (isSettled) return;
    isSettled = true;
    holding.setEnd(undefined);
    handler.onBody(body.getSizeBytes() > 0 ? body.concat() : undefined);
  });
}
