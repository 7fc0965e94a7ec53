/**
 * Runs attempts at the target on this host: admission, the call itself, and the memory of what
 * became of it. Only this part may say that an attempt was not run.
 */
import * as core from '@figshed/core';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import * as attemptLogs from './attempt-log.js';
import * as targetConnections from './target-connection.js';

/** Longest answer of an order that is kept for repeats, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 2_048;

/** A target as it announced itself. */
export interface AnnouncedTarget {
  service: string;
  address: string;
  port: number;
  slots: number;
  connections: number;
  state: core.TargetState;
}

/** The egress part of one proxy. */
export interface Egress {
  run(request: types.AttemptRequest, handler: types.AttemptHandler): types.Attempt;
  ask(attemptId: string, instance: string): types.AttemptState;
  setTarget(target: AnnouncedTarget | null): void;
  /** Refuses new attempts from now on. */
  drain(): void;
  inFlight(): number;
  load(): core.LoadReport;
  tick(): void;
}

/** What the egress part reports to its surroundings. */
export interface EgressEvents {
  /** Connections to the target were lost while these requests ran on it. */
  onTargetLost(fingerprints: string[]): void;
  isQuarantined(fingerprint: string): boolean;
}

interface Running {
  request: types.AttemptRequest;
  handler: types.AttemptHandler;
  startedAt: number;
  call: types.Attempt | undefined;
  kept: Buffer[];
  keptBytes: number;
  head: types.ResponseHead | undefined;
}

const failureResults: Record<targetConnections.TargetFailure, core.AttemptResult> = {
  'refused-by-target': { outcome: 'not-run', reason: 'refused-by-target' },
  'not-connected': { outcome: 'not-run', reason: 'target-down' },
  crossed: { outcome: 'unknown', reason: 'crossed-answer' },
  timeout: { outcome: 'unknown', reason: 'target-timeout' },
  lost: { outcome: 'unknown', reason: 'target-lost' },
};

/**
 * Creates the egress part without a target.
 *
 * @example
 * const egress = createEgress(context, { onTargetLost, isQuarantined });
 */
export function createEgress(ctx: context.Context, events: EgressEvents): Egress {
  const { clock, log, metrics, bus, instance, settings } = ctx;
  const attempts = attemptLogs.createAttemptLog();
  const running = new Map<string, Running>();
  const admission = core.createAdmission({
    slots: 1,
    queuePerSlot: settings.routing.queuePerSlot,
  });
  let target: AnnouncedTarget | null = null;
  let connection: targetConnections.TargetConnection | undefined;
  let isStopping = false;

  const load = (): core.LoadReport => admission.load();

  const describeUnavailable = (request: types.AttemptRequest): string | undefined => {
    if (request.instance !== instance) return 'other-instance';
    if (isStopping) return 'draining';
    if (!target || target.service !== request.service) return 'no-target';
    if (target.state === 'draining') return 'draining';
    if (events.isQuarantined(request.fingerprint)) return 'quarantined';
    return target.state === 'down' ? 'target-down' : undefined;
  };

  const refuse = (
    request: types.AttemptRequest,
    handler: types.AttemptHandler,
    reason: string,
  ): void => {
    attempts.refuse(request.attemptId, clock.monotonic());
    metrics.increment(`egress.not-run.${reason}`);
    log.info('attempt-refused', { attempt: request.attemptId, reason });
    handler.onLoad(load());
    handler.onFailure({ outcome: 'not-run', reason });
  };

  const keepAnswer = ({ head, kept, keptBytes }: Running): core.OrderAnswer => ({
    status: head?.status ?? 0,
    contentType: String(head?.headers['content-type'] ?? ''),
    body: keptBytes <= MAX_KEPT_ANSWER_BYTES ? Buffer.concat(kept).toString('base64') : null,
  });

  const recordDone = (item: Running): void => {
    const { order, attemptId } = item.request;
    const answer = order ? keepAnswer(item) : null;
    attempts.finish(attemptId, order !== undefined, answer, clock.monotonic());
    if (order && answer) bus.send('order-done', { ...order, answer });
  };

  const recordFailure = (item: Running, result: core.AttemptResult): void => {
    const { attemptId } = item.request;
    if (result.outcome === 'not-run') attempts.refuse(attemptId, clock.monotonic());
    else attempts.lose(attemptId, clock.monotonic());
  };

  const applyEffects = (effects: readonly core.AdmissionEffect[]): void => {
    effects.forEach((effect) => {
      const item = running.get(effect.id);
      if (!item) return;
      if (effect.type === 'run') {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        start(item);
        return;
      }
      running.delete(effect.id);
      refuse(item.request, item.handler, effect.reason);
    });
  };

  const finish = (item: Running): void => {
    const { attemptId } = item.request;
    if (!running.delete(attemptId)) return;
    const now = clock.monotonic();
    applyEffects(admission.release(attemptId, now - item.startedAt, now));
  };

  const fail = (item: Running, failure: targetConnections.TargetFailure): void => {
    const result = failureResults[failure];
    if (failure === 'not-connected' || failure === 'lost') {
      events.onTargetLost(failure === 'lost' ? [item.request.fingerprint] : []);
    }
    if (failure === 'crossed') metrics.increment('egress.crossed-answers');
    recordFailure(item, result);
    item.handler.onLoad(load());
    item.handler.onFailure(result);
    finish(item);
  };

  const start = (item: Running): void => {
    const { request, handler } = item;
    const now = clock.monotonic();
    item.startedAt = now;
    if (!connection) {
      fail(item, 'not-connected');
      return;
    }
    item.call = connection.send(request, Math.max(1, request.deadlineAt - now), {
      onHead(head) {
        item.head = head;
        handler.onLoad(load());
        handler.onHead(head);
      },
      onData(chunk) {
        if (request.order && item.keptBytes <= MAX_KEPT_ANSWER_BYTES) {
          item.kept.push(chunk);
          item.keptBytes += chunk.byteLength;
        }
        handler.onData(chunk);
      },
      onEnd() {
        recordDone(item);
        handler.onEnd();
        finish(item);
      },
      onFailure: (failure) => fail(item, failure),
    });
  };

  const cancel = (item: Running): void => {
    // An order that has started runs to its end, so that its outcome can be recorded.
    if (item.request.order && item.call) return;
    if (item.call) {
      item.call.cancel();
    } else if (admission.cancel(item.request.attemptId)) {
      running.delete(item.request.attemptId);
      refuse(item.request, item.handler, 'cancelled');
    }
  };

  return {
    run(request, handler) {
      const reason = describeUnavailable(request);
      const { attemptId } = request;
      if (reason !== undefined || !attempts.start(attemptId)) {
        refuse(request, handler, reason ?? 'cancelled');
        return { cancel: () => undefined, pause: () => undefined, resume: () => undefined };
      }
      const now = clock.monotonic();
      const item: Running = {
        request,
        handler,
        startedAt: now,
        call: undefined,
        kept: [],
        keptBytes: 0,
        head: undefined,
      };
      running.set(attemptId, item);
      metrics.increment('egress.attempts');
      const { customer, weight, deadlineAt } = request;
      applyEffects(admission.offer({ id: attemptId, customer, weight, deadlineAt }, now));
      return {
        cancel: () => cancel(item),
        pause: () => item.call?.pause(),
        resume: () => item.call?.resume(),
      };
    },
    ask(attemptId, asked) {
      if (asked !== instance) return { type: 'unknown' };
      return attempts.ask(attemptId, clock.monotonic());
    },
    setTarget(next) {
      const isMoved = next?.port !== target?.port || next?.address !== target?.address;
      if (isMoved) {
        connection?.close();
        connection = next
          ? targetConnections.createTargetConnection(
              `http://${next.address}:${next.port}`,
              next.connections,
            )
          : undefined;
      }
      target = next;
      if (!next) return;
      admission.setSlots(next.slots);
      if (next.state === 'draining') applyEffects(admission.drain());
    },
    drain() {
      isStopping = true;
      applyEffects(admission.drain());
    },
    inFlight: () => running.size,
    load,
    tick: () => attempts.forget(clock.monotonic()),
  };
}
