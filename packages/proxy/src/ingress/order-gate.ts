/**
 * Makes orders, the calls that are not idempotent, safe to repeat: an order runs only under a claim
 * of its idempotency key, and a repeated request gets the recorded answer.
 */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as uuid from 'uuid';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import type * as orderTask from '../tasks/order-task.js';
import type * as callRunner from './call-runner.js';
import type * as responseWriter from './response-writer.js';

export interface OrderGate {
  /** Claims the order, or responds to the caller and returns undefined. */
  claimOrRespond(
    call: callRunner.Call,
    key: string | undefined,
    writer: responseWriter.ResponseWriter,
  ): Promise<types.OrderClaim | undefined>;
  /** Releases a claim, so that a repeated request can run the order. Waits at most a second. */
  release(order: types.OrderClaim): Promise<void>;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;
const HTTP_UNAVAILABLE = 503;
const ANSWER_POLL_MS = 250;
/** Longest time that a repeated request waits for the answer of the earlier one. */
const MAX_ANSWER_WAIT_MS = 2_000;
const RELEASE_TIMEOUT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

type Refusal = Omit<responseWriter.ErrorResponse, 'attemptOutcome'>;

const refusalByKeyCheckResult: Record<Exclude<core.KeyCheckResult, 'valid'>, Refusal> = {
  malformed: {
    status: HTTP_BAD_REQUEST,
    code: 'BAD_IDEMPOTENCY_KEY',
    message: 'this request needs an Idempotency-Key header that holds a UUID of version 7',
    outcome: 'not-run',
  },
  stale: {
    status: HTTP_UNPROCESSABLE,
    code: 'STALE_IDEMPOTENCY_KEY',
    message: 'the key is too old to tell whether the order ran; it will not run now',
    outcome: 'unknown',
  },
  'from-the-future': {
    status: HTTP_BAD_REQUEST,
    code: 'BAD_IDEMPOTENCY_KEY',
    message: 'the time in the Idempotency-Key is ahead of ours',
    outcome: 'not-run',
  },
};

/**
 * Creates the gate.
 *
 * @example
 * const gate = createOrderGate(context, orders);
 */
export function createOrderGate(ctx: context.Context, orders: orderTask.OrderTask): OrderGate {
  const { clock, log, metrics, settings } = ctx;

  const refuse = (writer: responseWriter.ResponseWriter, refusal: Refusal): undefined => {
    metrics.increment(`orders.refused.${refusal.code}`);
    writer.sendError({ ...refusal, attemptOutcome: 'not-run' });
    return undefined;
  };

  const release = async (order: types.OrderClaim): Promise<void> => {
    const releasing = orders
      .release(order.orderKey, order.claimId)
      .catch((error: unknown) => ctx.reportError('release', error));
    await Promise.race([
      releasing,
      timers.setTimeout(RELEASE_TIMEOUT_MS, undefined, { ref: false }),
    ]);
  };

  const waitForRecordedAnswer = async (
    orderKey: string,
    call: callRunner.Call,
    first: Extract<core.ClaimResult, { type: 'taken' }>,
  ): Promise<Extract<core.ClaimResult, { type: 'taken' }>> => {
    let latest = first;
    const until = Math.min(call.deadlineAt, clock.monotonic() + MAX_ANSWER_WAIT_MS);
    while (!latest.answer && clock.monotonic() + ANSWER_POLL_MS < until) {
      /* eslint-disable no-await-in-loop -- polling */
      await timers.setTimeout(ANSWER_POLL_MS);
      // Repeats the claim that holds the key, so that this request makes no claim of its own.
      const next = await orders.claim(orderKey, first.claimId, first.fingerprint);
      /* eslint-enable no-await-in-loop */
      if (next.type === 'taken') latest = next;
    }
    return latest;
  };

  const respondToRepeat = async (
    call: callRunner.Call,
    orderKey: string,
    taken: Extract<core.ClaimResult, { type: 'taken' }>,
    writer: responseWriter.ResponseWriter,
  ): Promise<undefined> => {
    if (taken.fingerprint !== call.fingerprint) {
      return refuse(writer, {
        status: HTTP_UNPROCESSABLE,
        code: 'IDEMPOTENCY_KEY_REUSED',
        message: 'the key was used for another order',
        outcome: 'not-run',
      });
    }
    const latest = await waitForRecordedAnswer(orderKey, call, taken);
    if (latest.answer) {
      metrics.increment('orders.replayed');
      writer.sendReplay(latest.answer);
      return undefined;
    }
    return refuse(writer, {
      status: HTTP_CONFLICT,
      code: 'ORDER_UNRESOLVED',
      message: 'the order was started before and its outcome is not known; it will not run again',
      outcome: 'unknown',
      retryAfterMs: RETRY_AFTER_MS,
    });
  };

  return {
    async claimOrRespond(call, key, writer) {
      const keyCheckResult = core.checkIdempotencyKey(
        key ?? '',
        clock.now(),
        settings.orders.windowMs,
      );
      if (key === undefined || keyCheckResult !== 'valid') {
        return refuse(
          writer,
          refusalByKeyCheckResult[keyCheckResult === 'valid' ? 'malformed' : keyCheckResult],
        );
      }
      const orderKey = core.formatOrderKey(call.allowed.contract.name, key);
      const claimId = uuid.v4();
      const result = await orders.claim(orderKey, claimId, call.fingerprint);
      log.info('order-claim', { call: call.callId, order: orderKey, result: result.type });
      if (result.type === 'taken') return respondToRepeat(call, orderKey, result, writer);
      const isPastDeadline = clock.monotonic() >= call.deadlineAt;
      if (result.type === 'granted' && !isPastDeadline) return { orderKey, claimId };
      // The claim may still reach the log; releasing it lets a repeated request run the order.
      release({ orderKey, claimId }).catch(() => undefined);
      return refuse(writer, {
        status: HTTP_UNAVAILABLE,
        code: 'ORDERS_UNAVAILABLE',
        message: 'this request was not started, because the order could not be claimed',
        outcome: 'unknown',
        retryAfterMs: RETRY_AFTER_MS,
      });
    },
    release,
  };
}
