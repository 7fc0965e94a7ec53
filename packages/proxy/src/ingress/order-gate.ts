/** Lets an order pass only under a claim, and answers repeats from what was recorded. */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as uuid from 'uuid';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import type * as orderTask from '../tasks/order-task.js';
import type * as answerWriter from './answer-writer.js';
import type * as callRunner from './call-runner.js';

/** Decides whether orders may run. */
export interface OrderGate {
  /** Claims the order, or answers the caller and gives undefined. */
  open(
    call: callRunner.Call,
    key: string | undefined,
    writer: answerWriter.AnswerWriter,
  ): Promise<types.OrderClaim | undefined>;
  release(order: types.OrderClaim): Promise<void>;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;
const HTTP_UNAVAILABLE = 503;
const REPEAT_POLL_MS = 250;
/** How long a repeat waits for the outcome of the request before it. */
const MAX_REPEAT_WAIT_MS = 2_000;
const RELEASE_WAIT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

type Refusal = Omit<answerWriter.ErrorAnswer, 'attemptOutcome'>;

const keyRefusals: Record<Exclude<core.KeyVerdict, 'valid'>, Refusal> = {
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

  const refuse = (writer: answerWriter.AnswerWriter, refusal: Refusal): undefined => {
    metrics.increment(`orders.refused.${refusal.code}`);
    writer.sendError({ ...refusal, attemptOutcome: 'not-run' });
    return undefined;
  };

  const release = async (order: types.OrderClaim): Promise<void> => {
    const sending = orders
      .release(order.orderKey, order.claimId)
      .catch((error: unknown) => ctx.reportError('release', error));
    await Promise.race([sending, timers.setTimeout(RELEASE_WAIT_MS, undefined, { ref: false })]);
  };

  const waitForAnswer = async (
    orderKey: string,
    call: callRunner.Call,
    first: Extract<core.ClaimResult, { type: 'taken' }>,
  ): Promise<Extract<core.ClaimResult, { type: 'taken' }>> => {
    let known = first;
    const until = Math.min(call.deadlineAt, clock.monotonic() + MAX_REPEAT_WAIT_MS);
    while (!known.answer && clock.monotonic() + REPEAT_POLL_MS < until) {
      /* eslint-disable no-await-in-loop -- one question after the other */
      await timers.setTimeout(REPEAT_POLL_MS);
      // The same claim as the one that holds the key, so that asking never claims anything.
      const next = await orders.claim(orderKey, first.claimId, first.fingerprint);
      /* eslint-enable no-await-in-loop */
      if (next.type === 'taken') known = next;
    }
    return known;
  };

  const answerRepeat = async (
    call: callRunner.Call,
    orderKey: string,
    taken: Extract<core.ClaimResult, { type: 'taken' }>,
    writer: answerWriter.AnswerWriter,
  ): Promise<undefined> => {
    if (taken.fingerprint !== call.fingerprint) {
      return refuse(writer, {
        status: HTTP_UNPROCESSABLE,
        code: 'IDEMPOTENCY_KEY_REUSED',
        message: 'the key was used for another order',
        outcome: 'not-run',
      });
    }
    const known = await waitForAnswer(orderKey, call, taken);
    if (known.answer) {
      metrics.increment('orders.replayed');
      writer.sendReplay(known.answer);
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
    async open(call, key, writer) {
      const verdict = core.checkKey(key ?? '', clock.now(), settings.orders.windowMs);
      if (key === undefined || verdict !== 'valid') {
        return refuse(writer, keyRefusals[verdict === 'valid' ? 'malformed' : verdict]);
      }
      const orderKey = core.formatOrderKey(call.allowed.contract.name, key);
      const claimId = uuid.v4();
      const result = await orders.claim(orderKey, claimId, call.fingerprint);
      log.info('order-claim', { call: call.callId, order: orderKey, result: result.type });
      if (result.type === 'taken') return answerRepeat(call, orderKey, result, writer);
      const isLate = clock.monotonic() >= call.deadlineAt;
      if (result.type === 'granted' && !isLate) return { orderKey, claimId };
      // The claim may still reach the log; it is given back so that a repeat can run.
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
