/** The attempts of one call that are under way, and the gathering of their answers. */
import type * as answerModule from './answer.js';
import type * as bodies from './bodies.js';
import * as constants from './constants.js';
import type * as types from './types.js';

/** An answer that arrived whole. */
export interface WholeAnswer {
  status: number;
  headers: string[];
  body: Buffer;
}

/** One attempt that is under way. */
export interface CallAttempt {
  hostId: string;
  /** Monotonic time at which it was opened, in milliseconds. */
  openedAt: number;
  handle: types.OpenAttempt | undefined;
}

/** The open attempts of one call. */
export interface CallAttempts {
  open(hostId: string, openedAt: number): number;
  /** Keeps the handle by which an attempt is given up, unless it has ended at once. */
  bind(number: number, handle: types.OpenAttempt): void;
  has(number: number): boolean;
  /** Takes an attempt out; undefined when it is out already. */
  settle(number: number): CallAttempt | undefined;
  /** Gives up all but one; true when none of those may have run. */
  cancel(except: number | undefined): boolean;
  count(): number;
}

/**
 * Creates an empty set; `onSettled` hears of each attempt once.
 *
 * @example
 * const attempts = createCallAttempts((hostId) => targets.noteClosed(hostId));
 */
export function createCallAttempts(onSettled: (hostId: string) => void): CallAttempts {
  const entries = new Map<number, CallAttempt>();
  let last = 0;

  const settle = (number: number): CallAttempt | undefined => {
    const entry = entries.get(number);
    if (entry) {
      entries.delete(number);
      onSettled(entry.hostId);
    }
    return entry;
  };

  return {
    open(hostId, openedAt) {
      last += 1;
      entries.set(last, { hostId, openedAt, handle: undefined });
      return last;
    },
    bind(number, handle) {
      const entry = entries.get(number);
      if (entry) entry.handle = handle;
    },
    has: (number) => entries.has(number),
    settle,
    cancel(except) {
      const numbers = [...entries.keys()].filter((number) => number !== except);
      const areUnsent = numbers.map((number) => settle(number)?.handle?.cancel() ?? false);
      return areUnsent.every(Boolean);
    },
    count: () => entries.size,
  };
}

/** What becomes of an answer that is gathered. */
export interface GatherHandler {
  /** It is too large to be held; what arrived so far is handed over, the rest is still to come. */
  onLarge(received: readonly Buffer[]): void;
  /** A large one has been passed on to its end. */
  onPassed(): void;
  onWhole(answer: WholeAnswer): void;
  onCut(): void;
}

/**
 * Gathers an answer until it is whole or too large to be held.
 *
 * @example
 * gatherAnswer(received, held, handler);
 */
export function gatherAnswer(
  received: answerModule.Answer,
  held: bodies.HeldBytes,
  handler: GatherHandler,
): void {
  const { status, headers, message } = received;
  const chunks: Buffer[] = [];
  let size = 0;
  let isLarge = false;
  const handOver = (): void => {
    isLarge = true;
    held.release(size);
    message.removeAllListeners('data');
    handler.onLarge(chunks);
  };
  message.on('data', (chunk: Buffer) => {
    if (isLarge) return;
    chunks.push(chunk);
    if (!held.take(chunk.length)) {
      handOver();
      return;
    }
    size += chunk.length;
    if (size > constants.MAX_HELD_ANSWER_BYTES) handOver();
  });
  message.once('close', () => {
    if (isLarge) {
      handler.onPassed();
      return;
    }
    held.release(size);
    if (received.isWhole()) handler.onWhole({ status, headers, body: Buffer.concat(chunks, size) });
    else handler.onCut();
  });
}
