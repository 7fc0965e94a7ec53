/**
 * The life of one call at the proxy that took it: where to send it next, when to stop, and what
 * its caller may be told. It never repeats a call that may have run and must not run twice, says
 * `not run` only when that is certain, and answers exactly once.
 */
import type * as types from './types.js';

/** What happened to the call. */
export type CallEvent =
  | { type: 'start' }
  /** No target is left that may be called. */
  | { type: 'no-target' }
  /** The attempt did not run and never will. */
  | { type: 'refused'; reason: types.RefusalReason; retryAfterMs: number }
  /** The attempt ended without an answer; it may have run. */
  | { type: 'broken' }
  /** The only open attempt takes much longer than calls of its kind usually do. */
  | { type: 'overdue' }
  /** A whole answer of the target is at hand. */
  | { type: 'answered'; isFailure: boolean }
  /** The answer is passed on while it arrives and cannot be replaced any more. */
  | { type: 'streaming' }
  /** Its time is over; `isUnsent` when the open attempts are known not to have run. */
  | { type: 'timeout'; isUnsent: boolean }
  | { type: 'caller-left' };

/** What the proxy is to do. */
export type CallEffect =
  | { type: 'send'; mayBeLate: boolean }
  /** Abandons the attempts that are under way, but for the one whose answer is passed on. */
  | { type: 'cancel' }
  /** Passes on the answer that is at hand. */
  | { type: 'deliver' }
  | { type: 'answer'; status: number; outcome: 'not-run' | 'unknown'; retryAfterMs: number }
  /** Ends the connection, since the answer under way cannot be completed. */
  | { type: 'abort' };

/** What the decisions depend on. */
export interface CallPolicy {
  isRepeatable: boolean;
  maxAttempts: number;
  /** Refusals for lack of room after which the call may also be answered late. */
  maxRefusals: number;
  /** Refusals of the call as a late one after which it is turned away. */
  maxLateRefusals: number;
  /** Takes one repeat from the budget of the service, or returns false when it is spent. */
  takeRetry: () => boolean;
}

/** One call. */
export interface CallMachine {
  handle(event: CallEvent): CallEffect[];
  isOver(): boolean;
  /** Sends that reached or may have reached a target. */
  attempts(): number;
}

const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;

/** Hosts passed over because their target leaves or cannot be reached; each costs a round trip. */
const MAX_MISSES = 6;

const missReasons: ReadonlySet<types.RefusalReason> = new Set([
  'draining',
  'stopping',
  'target-down',
  'wrong-instance',
  'unreachable',
]);

type Handlers = {
  [K in CallEvent['type']]: (event: Extract<CallEvent, { type: K }>) => CallEffect[];
};

/**
 * Creates the machine of one call.
 *
 * @example
 * const machine = createCallMachine(policy);
 * machine.handle({ type: 'start' }); // [{ type: 'send', mayBeLate: false }]
 */
export function createCallMachine(policy: CallPolicy): CallMachine {
  let isOver = false;
  let open = 0;
  let isHedged = false;
  let isStreaming = false;
  /** Attempts that may have run. */
  let ran = 0;
  let refusals = 0;
  let misses = 0;
  let retryAfterMs = 0;
  /** True once no target was found at which the objective can be met. */
  let isLate = false;
  let lateRefusals = 0;

  const send = (): CallEffect[] => {
    open += 1;
    return [{ type: 'send', mayBeLate: isLate }];
  };

  const finish = (effect: CallEffect): CallEffect[] => {
    isOver = true;
    return [effect];
  };

  const turnAway = (): CallEffect[] =>
    finish(
      ran > 0
        ? { type: 'answer', status: HTTP_BAD_GATEWAY, outcome: 'unknown', retryAfterMs: 0 }
        : { type: 'answer', status: HTTP_UNAVAILABLE, outcome: 'not-run', retryAfterMs },
    );

  const sendLate = (): CallEffect[] => {
    isLate = true;
    return send();
  };

  const noteRefusal = (event: { reason: types.RefusalReason; retryAfterMs: number }): void => {
    if (missReasons.has(event.reason)) misses += 1;
    else refusals += 1;
    retryAfterMs =
      retryAfterMs === 0 ? event.retryAfterMs : Math.min(retryAfterMs, event.retryAfterMs);
  };

  const mayRepeat = (): boolean =>
    policy.isRepeatable && ran < policy.maxAttempts && policy.takeRetry();

  const cancelOpen = (): CallEffect[] => (open > 0 ? [{ type: 'cancel' }] : []);

  const handlers: Handlers = {
    start: send,
    'no-target': function () {
      open -= 1;
      if (open > 0) return [];
      return refusals > 0 && !isLate ? sendLate() : turnAway();
    },
    refused(event) {
      open -= 1;
      noteRefusal(event);
      // A refusal by the target itself has drawn on the budget of arrivals.
      const mayGoOn = event.reason !== 'target-refused' || policy.takeRetry();
      if (open > 0) return [];
      if (!mayGoOn || misses >= MAX_MISSES) return turnAway();
      if (isLate) {
        if (!missReasons.has(event.reason)) lateRefusals += 1;
        return lateRefusals >= policy.maxLateRefusals ? turnAway() : send();
      }
      return refusals >= policy.maxRefusals ? sendLate() : send();
    },
    broken() {
      open -= 1;
      ran += 1;
      if (open > 0) return [];
      return mayRepeat() ? send() : turnAway();
    },
    overdue() {
      // A late call waits for room; a second one in another queue would only take room from others.
      const mayHedge = policy.isRepeatable && !isLate && !isStreaming && !isHedged && open === 1;
      if (!mayHedge || ran + open >= policy.maxAttempts || !policy.takeRetry()) return [];
      isHedged = true;
      return send();
    },
    answered({ isFailure }) {
      open -= 1;
      ran += 1;
      if (isFailure && open > 0) return [];
      if (isFailure && mayRepeat()) return send();
      return [...cancelOpen(), ...finish({ type: 'deliver' })];
    },
    streaming() {
      isStreaming = true;
      return open > 1 ? [{ type: 'cancel' }] : [];
    },
    timeout({ isUnsent }) {
      if (isStreaming) return [];
      const mayHaveRun = ran > 0 || (open > 0 && !isUnsent);
      const status = mayHaveRun ? HTTP_GATEWAY_TIMEOUT : HTTP_UNAVAILABLE;
      const outcome = mayHaveRun ? 'unknown' : 'not-run';
      return [...cancelOpen(), ...finish({ type: 'answer', status, outcome, retryAfterMs })];
    },
    'caller-left': () => (open > 0 ? finish({ type: 'cancel' }) : finish({ type: 'abort' })),
  };

  return {
    handle(event) {
      if (isOver) return [];
      const handler = handlers[event.type] as (item: CallEvent) => CallEffect[];
      return handler(event);
    },
    isOver: () => isOver,
    attempts: () => ran,
  };
}
