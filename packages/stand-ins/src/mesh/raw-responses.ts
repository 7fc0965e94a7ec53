/** Responders that write raw bytes to a target's connections, which an HTTP server cannot send. */
import type * as net from 'node:net';
import * as resetSocket from '../reset-socket.js';

/** A request whose connection a responder has taken over. */
export interface RawExchange {
  socket: net.Socket;
  callId: string;
  signature: string;
  /** Records that the target runs the call. */
  recordRun(): void;
}

export type RawResponder = (exchange: RawExchange) => void;

export interface RefusalOptions {
  status: number;
  /** Whether the repeated refusal still has the id of the call that it belongs to. */
  hasCallId: boolean;
}

function formatRefusal(status: number, callId: string | undefined): string {
  const idLine = callId === undefined ? '' : `figshed-request-id: ${callId}\r\n`;
  return `HTTP/1.1 ${status} Refused\r\n${idLine}figshed-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

/**
 * Creates a responder that refuses the first call on each connection, and runs the later ones but
 * responds with that refusal again.
 *
 * @example
 * target.rawResponder = createRefusalRepeater({ status: 503, hasCallId: true });
 */
export function createRefusalRepeater(options: RefusalOptions): RawResponder {
  const refusedCalls = new WeakMap<net.Socket, string>();
  return ({ socket, callId, recordRun }) => {
    const refusedCall = refusedCalls.get(socket);
    if (refusedCall === undefined) {
      refusedCalls.set(socket, callId);
      socket.write(formatRefusal(options.status, callId));
      return;
    }
    recordRun();
    socket.write(formatRefusal(options.status, options.hasCallId ? refusedCall : undefined));
  };
}

/** Interval at which endless bytes are written, so that the target's process stays responsive. */
const CHUNK_INTERVAL_MS = 1;
const CHUNK_BYTES = 65_536;

export interface EndlessOptions {
  /** Bytes before the endless ones; the call's headers are inserted for `{headers}`. */
  start: string;
  /** Repeated until the connection closes. */
  repeated: string;
}

/**
 * Creates a responder that runs each call and responds with bytes that end only when the other side
 * closes the connection. `countOpen` returns the number of connections that are still open.
 *
 * @example
 * const { responder } = createEndlessResponder({ start: 'HTTP/1.1 200 OK\r\n', repeated: 'a: b\r\n' });
 * target.rawResponder = responder;
 */
export function createEndlessResponder(options: EndlessOptions): {
  responder: RawResponder;
  countOpen(): number;
} {
  const sockets = new Set<net.Socket>();
  const chunk = options.repeated.repeat(Math.ceil(CHUNK_BYTES / options.repeated.length));
  return {
    responder({ socket, callId, signature, recordRun }) {
      recordRun();
      sockets.add(socket);
      const headers = `figshed-request-id: ${callId}\r\nfigshed-response-signature: ${signature}\r\n`;
      socket.write(options.start.replace('{headers}', headers));
      const timer = setInterval(() => {
        if (socket.writableNeedDrain) return;
        socket.write(chunk);
      }, CHUNK_INTERVAL_MS);
      socket.once('close', () => {
        clearInterval(timer);
        sockets.delete(socket);
      });
      socket.on('error', () => undefined);
    },
    countOpen: () => sockets.size,
  };
}

/**
 * Creates a responder that runs each call and responds with `text`, in which the call's headers are
 * inserted for `{headers}`.
 *
 * @example
 * target.rawResponder = createTextResponder('HTTP/1.1 099 Odd\r\n{headers}\r\n');
 */
export function createTextResponder(text: string): RawResponder {
  return ({ socket, callId, signature, recordRun }) => {
    recordRun();
    const headers = `figshed-request-id: ${callId}\r\nfigshed-response-signature: ${signature}\r\n`;
    socket.write(text.replace('{headers}', headers));
  };
}

/** How a target ends a connection within a response. */
export type CutKind = 'end' | 'reset';

export interface CutOptions {
  /** The whole response, in which the call's headers are inserted for `{headers}`. */
  text: string;
  cut: CutKind;
  /** Returns how many bytes of the whole response the call gets. */
  getLength(callId: string, whole: string): number;
}

/** Time for the bytes to be read before the connection is reset. */
const RESET_DELAY_MS = 5;

/**
 * Creates a responder that runs each call, writes the first bytes of a response and ends the
 * connection.
 *
 * @example
 * target.rawResponder = createCutResponder({ text, cut: 'end', getLength: () => 20 });
 */
export function createCutResponder(options: CutOptions): RawResponder {
  return ({ socket, callId, signature, recordRun }) => {
    recordRun();
    const headers = `figshed-request-id: ${callId}\r\nfigshed-response-signature: ${signature}\r\n`;
    const whole = options.text.replace('{headers}', headers);
    const part = whole.slice(0, options.getLength(callId, whole));
    socket.on('error', () => undefined);
    if (options.cut === 'end') {
      socket.end(part);
      return;
    }
    socket.write(part, () => {
      setTimeout(() => resetSocket.resetSocket(socket), RESET_DELAY_MS);
    });
  };
}
