/**
 * State machine of one call at the proxy that accepted it: decides on further attempts, hedged
 * requests, cancellation and the response. It never retries an order (a call that is not
 * idempotent) that may have run, reports `not-run` only when no attempt can have run, and responds
 * at most once.
 */
import type * as types from './types.js';

/** Input of the state machine. */
export type CallEvent =
  | { type: 'start' }
  /** No further target is eligible. */
  | { type: 'no-target' }
  /** The attempt was refused; it has not run and will not run. */
  | { type: 'refused'; reason: types.RefusalReason; retryAfterMs: number }
  /** Requests like this one crashed targets, so no attempt was sent. */
  | { type: 'quarantined'; retryAfterMs: number }
  /** The attempt ended without a response; it may have run. */
  | { type: 'broken' }
  /** The host of an open attempt has not acknowledged it in time; the attempt may still run. */
  | { type: 'unacknowledged' }
  /** The only open attempt has exceeded the hedge delay of its route. */
  | { type: 'overdue' }
  /** A response has been received completely, or its stream to the caller has ended. */
  | { type: 'answered'; isFailure: boolean }
  /** The response is being streamed to the caller and can no longer be replaced. */
  | { type: 'streaming' }
  /** The deadline has passed; `isUnsent` when the open attempts are certain not to have run. */
  | { type: 'timeout'; isUnsent: boolean }
  /** The caller closed its connection. */
  | { type: 'caller-left' }
  /** An error of this process has interrupted the call; its attempts may have run. */
  | { type: 'failed' };

/** Actions that the proxy must perform. */
export type CallEffect =
  /** Sends an attempt to the next target; with `mayBeLate`, as a late call. */
  | { type: 'send'; mayBeLate: boolean }
  /** Cancels the open attempts, except one whose response is being streamed. */
  | { type: 'cancel' }
  /** Forwards the received response to the caller, unless it was streamed. */
  | { type: 'deliver' }
  /** Responds to the caller with an error. */
  | { type: 'answer'; status: number; outcome: 'not-run' | 'unknown'; retryAfterMs: number }
  /** Closes the connection, since the response cannot be completed. */
  | { type: 'abort' };

/** Limits for the attempts of one call. */
export interface CallPolicy {
  isRepeatable: boolean;
  /** True if the call is expected to miss its objective from the start. */
  isLate: boolean;
  maxAttempts: number;
  /** Capacity refusals after which the call is sent with `mayBeLate`. */
  maxRefusals: number;
  /** Capacity refusals of the late call after which it is rejected. */
  maxLateRefusals: number;
  /** Consumes one retry from the budget of the service; false when the budget is exhausted. */
  takeRetry: () => boolean;
}

export interface CallStateMachine {
  /** Applies an event; returns no effects once the call is finished. */
  handle(event: CallEvent): CallEffect[];
  isFinished(): boolean;
  /** Returns the number of ended attempts that ran or may have run at a target. */
  countAttemptsRun(): number;
}

const HTTP_BAD_GATEWAY = 502;
const HTTP_SERVICE_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;

/** Maximum number of refusals by hosts that cannot take calls; each costs a round trip. */
const MAX_SKIPPED_HOSTS = 6;
/** Maximum number of refusals by targets themselves, which say nothing of other targets. */
const MAX_TARGET_REFUSALS = 6;

const skipReasons: ReadonlySet<types.RefusalReason> = new Set([
  'draining',
  'stopping',
  'target-down',
  'wrong-instance',
  'excluded-version',
  'unreachable',
]);

type Handlers = {
  [K in CallEvent['type']]: (event: Extract<CallEvent, { type: K }>) => CallEffect[];
};

/**
 * Creates the state machine of one call.
 *
 * @example
 * const machine = createCallStateMachine(policy);
 * machine.handle({ type: 'start' }); // [{ type: 'send', mayBeLate: false }]
 */
export function createCallStateMachine(policy: CallPolicy): CallStateMachine {
  let isFinished = false;
  let openAttempts = 0;
  let isHedged = false;
  let isStreaming = false;
  let attemptsRun = 0;
  let refusals = 0;
  let skippedHosts = 0;
  let retryAfterMs = 0;
  /** True once the call is sent as a late call, since no target could meet its objective. */
  let { isLate } = policy;
  let lateRefusals = 0;
  let targetRefusals = 0;

  const send = (): CallEffect[] => {
    openAttempts += 1;
    return [{ type: 'send', mayBeLate: isLate }];
  };

  const finish = (effect: CallEffect): CallEffect[] => {
    isFinished = true;
    return [effect];
  };

  /** The caller has received a part of a response that cannot be completed. */
  const abort = (): CallEffect[] => finish({ type: 'abort' });

  const rejectCall = (): CallEffect[] =>
    finish(
      attemptsRun > 0
        ? { type: 'answer', status: HTTP_BAD_GATEWAY, outcome: 'unknown', retryAfterMs: 0 }
        : { type: 'answer', status: HTTP_SERVICE_UNAVAILABLE, outcome: 'not-run', retryAfterMs },
    );

  const sendAsLate = (): CallEffect[] => {
    isLate = true;
    return send();
  };

  const recordRefusal = (event: { reason: types.RefusalReason; retryAfterMs: number }): void => {
    if (skipReasons.has(event.reason)) skippedHosts += 1;
    else if (event.reason === 'target-refused') targetRefusals += 1;
    else if (isLate) lateRefusals += 1;
    else refusals += 1;
    retryAfterMs =
      retryAfterMs === 0 ? event.retryAfterMs : Math.min(retryAfterMs, event.retryAfterMs);
  };

  const tryTakeRetry = (): boolean =>
    policy.isRepeatable && attemptsRun < policy.maxAttempts && policy.takeRetry();

  /** Sends an attempt beside the open ones, whose responses remain welcome. */
  const trySendInParallel = (): CallEffect[] => {
    const mayRunAgain = policy.isRepeatable && attemptsRun + openAttempts < policy.maxAttempts;
    if (!mayRunAgain || !policy.takeRetry()) return [];
    isHedged = true;
    return send();
  };

  const cancelOpenAttempts = (): CallEffect[] => (openAttempts > 0 ? [{ type: 'cancel' }] : []);

  const handlers: Handlers = {
    start: send,
    'no-target': function () {
      openAttempts -= 1;
      if (openAttempts > 0) return [];
      if (isStreaming) return abort();
      return refusals > 0 && !isLate ? sendAsLate() : rejectCall();
    },
    refused(event) {
      openAttempts -= 1;
      recordRefusal(event);
      // A call that the target itself refused has loaded that target, so its retry needs budget.
      const mayContinue = event.reason !== 'target-refused' || policy.takeRetry();
      if (openAttempts > 0) return [];
      if (isStreaming) return abort();
      const isFinal = !mayContinue || event.reason === 'quarantined';
      if (isFinal || skippedHosts >= MAX_SKIPPED_HOSTS) return rejectCall();
      if (targetRefusals >= MAX_TARGET_REFUSALS || lateRefusals >= policy.maxLateRefusals)
        return rejectCall();
      return refusals >= policy.maxRefusals && !isLate ? sendAsLate() : send();
    },
    quarantined(event) {
      openAttempts -= 1;
      retryAfterMs = event.retryAfterMs;
      if (openAttempts > 0) return [];
      return isStreaming ? abort() : rejectCall();
    },
    broken() {
      openAttempts -= 1;
      attemptsRun += 1;
      if (openAttempts > 0) return [];
      if (isStreaming) return abort();
      return tryTakeRetry() ? send() : rejectCall();
    },
    unacknowledged: () => (isStreaming ? [] : trySendInParallel()),
    overdue() {
      // A late call is expected to wait; a hedge would only take capacity in a second queue.
      const mayHedge = !isLate && !isStreaming && !isHedged && openAttempts === 1;
      return mayHedge ? trySendInParallel() : [];
    },
    answered({ isFailure }) {
      openAttempts -= 1;
      attemptsRun += 1;
      if (isFailure && openAttempts > 0) return [];
      if (isFailure && tryTakeRetry()) return send();
      return [...cancelOpenAttempts(), ...finish({ type: 'deliver' })];
    },
    streaming() {
      isStreaming = true;
      return openAttempts > 1 ? [{ type: 'cancel' }] : [];
    },
    timeout({ isUnsent }) {
      if (isStreaming) return [];
      const mayHaveRun = attemptsRun > 0 || (openAttempts > 0 && !isUnsent);
      const status = mayHaveRun ? HTTP_GATEWAY_TIMEOUT : HTTP_SERVICE_UNAVAILABLE;
      const outcome = mayHaveRun ? 'unknown' : 'not-run';
      return [
        ...cancelOpenAttempts(),
        ...finish({ type: 'answer', status, outcome, retryAfterMs }),
      ];
    },
    'caller-left': () =>
      openAttempts > 0 ? finish({ type: 'cancel' }) : finish({ type: 'abort' }),
    failed() {
      if (isStreaming) return abort();
      const status = HTTP_BAD_GATEWAY;
      return [
        ...cancelOpenAttempts(),
        ...finish({ type: 'answer', status, outcome: 'unknown', retryAfterMs: 0 }),
      ];
    },
  };

  return {
    handle(event) {
      if (isFinished) return [];
      const handler = handlers[event.type] as (event: CallEvent) => CallEffect[];
      return handler(event);
    },
    isFinished: () => isFinished,
    countAttemptsRun: () => attemptsRun,
  };
}
