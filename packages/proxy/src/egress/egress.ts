/**
 * Runs attempts at the target on this host: admits them, calls the target and records the outcome.
 * For an attempt that reached this host, only this module decides that it was not run.
 */
import * as core from '@figshed/core';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import * as attemptStateStore from './attempt-state-store.js';
import * as targetClient from './target-client.js';

/** Longest response body of an order that is recorded for repeated requests, in bytes. */
const MAX_RECORDED_BODY_BYTES = 2_048;

/** A target with the values of its announcement. */
export interface AnnouncedTarget {
  service: string;
  address: string;
  port: number;
  slots: number;
  connections: number;
  state: core.TargetState;
}

export interface Egress {
  /** Runs an attempt, or refuses it by way of the handler. */
  run(request: types.AttemptRequest, handler: types.AttemptHandler): types.Attempt;
  /**
   * Returns the state of an attempt that was sent to the process `instance`; `unknown` if that is
   * not this process.
   */
  getAttemptState(attemptId: string, instance: string): types.AttemptState;
  /** Sets the target; at a new address, running attempts still finish at the old one. */
  setTarget(target: AnnouncedTarget | null): void;
  /** Closes the connections to the target, for when it may be hung; running attempts fail. */
  disconnectTarget(): void;
  /** Refuses waiting attempts, and new ones from now on. */
  drain(): void;
  /** Counts the attempts that wait or run. */
  countInFlight(): number;
  getLoad(): core.LoadReport;
  /** Deletes expired attempt states; call it periodically. */
  deleteExpiredStates(): void;
}

export interface EgressDependencies {
  /**
   * Called when a connection to the target failed or was lost, with the fingerprints of the
   * requests that ran on it.
   */
  onConnectionFailure(fingerprints: string[]): void;
  isQuarantined(fingerprint: string): boolean;
  /** Called when the target has completed a request. */
  onCompleted(fingerprint: string): void;
}

/** An attempt that waits for a slot or runs. */
interface OpenAttempt {
  request: types.AttemptRequest;
  handler: types.AttemptHandler;
  startedAt: number;
  control: types.Attempt | undefined;
  bodyChunks: Buffer[];
  bodyBytes: number;
  head: types.ResponseHead | undefined;
}

const resultByFailure: Record<targetClient.TargetFailure, core.AttemptResult> = {
  'refused-by-target': { outcome: 'not-run', reason: 'refused-by-target' },
  'not-connected': { outcome: 'not-run', reason: 'target-down' },
  mismatched: { outcome: 'unknown', reason: 'crossed-answer' },
  timeout: { outcome: 'unknown', reason: 'target-timeout' },
  lost: { outcome: 'unknown', reason: 'target-lost' },
};

/**
 * Creates an egress without a target.
 *
 * @example
 * const egress = createEgress(context, { onConnectionFailure, isQuarantined });
 */
export function createEgress(ctx: context.Context, dependencies: EgressDependencies): Egress {
  const { clock, log, metrics, bus, instance, settings } = ctx;
  const attemptStates = attemptStateStore.createAttemptStateStore();
  const openAttempts = new Map<string, OpenAttempt>();
  const admission = core.createAdmissionController({
    slots: 1,
    queuePerSlot: settings.routing.queuePerSlot,
  });
  let target: AnnouncedTarget | null = null;
  let client: targetClient.TargetClient | undefined;
  let isStopping = false;

  const getLoad = (): core.LoadReport => admission.getLoad();

  const findRefusalReason = (request: types.AttemptRequest): string | undefined => {
    if (request.instance !== instance) return 'other-instance';
    if (isStopping) return 'draining';
    if (!target || target.service !== request.service) return 'no-target';
    if (target.state === 'draining') return 'draining';
    if (dependencies.isQuarantined(request.fingerprint)) return 'quarantined';
    return target.state === 'down' ? 'target-down' : undefined;
  };

  const refuse = (
    request: types.AttemptRequest,
    handler: types.AttemptHandler,
    reason: string,
  ): void => {
    attemptStates.markNotRun(request.attemptId, clock.monotonic());
    metrics.increment(`egress.not-run.${reason}`);
    log.info('attempt-refused', { attempt: request.attemptId, reason });
    handler.onLoad(getLoad());
    handler.onFailure({ outcome: 'not-run', reason });
  };

  const createRecordedAnswer = ({
    head,
    bodyChunks,
    bodyBytes,
  }: OpenAttempt): core.OrderAnswer => ({
    status: head?.status ?? 0,
    contentType: String(head?.headers['content-type'] ?? ''),
    body:
      bodyBytes <= MAX_RECORDED_BODY_BYTES ? Buffer.concat(bodyChunks).toString('base64') : null,
  });

  const recordDone = (attempt: OpenAttempt): void => {
    const { order, attemptId } = attempt.request;
    const answer = order ? createRecordedAnswer(attempt) : null;
    attemptStates.markDone(attemptId, order !== undefined, answer, clock.monotonic());
    if (order && answer) bus.send('order-done', { ...order, answer });
  };

  const recordFailure = (attempt: OpenAttempt, result: core.AttemptResult): void => {
    const { attemptId } = attempt.request;
    if (result.outcome === 'not-run') attemptStates.markNotRun(attemptId, clock.monotonic());
    else attemptStates.markUnknown(attemptId, clock.monotonic());
  };

  const applyEffects = (effects: readonly core.AdmissionEffect[]): void => {
    effects.forEach((effect) => {
      const attempt = openAttempts.get(effect.id);
      if (!attempt) return;
      if (effect.type === 'run') {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        start(attempt);
        return;
      }
      openAttempts.delete(effect.id);
      refuse(attempt.request, attempt.handler, effect.reason);
    });
  };

  const finish = (attempt: OpenAttempt): void => {
    const { attemptId } = attempt.request;
    if (!openAttempts.delete(attemptId)) return;
    const now = clock.monotonic();
    applyEffects(admission.release(attemptId, now - attempt.startedAt, now));
  };

  const fail = (attempt: OpenAttempt, failure: targetClient.TargetFailure): void => {
    const result = resultByFailure[failure];
    if (failure === 'not-connected' || failure === 'lost') {
      dependencies.onConnectionFailure(failure === 'lost' ? [attempt.request.fingerprint] : []);
    }
    if (failure === 'mismatched') metrics.increment('egress.crossed-answers');
    recordFailure(attempt, result);
    attempt.handler.onLoad(getLoad());
    attempt.handler.onFailure(result);
    finish(attempt);
  };

  const start = (attempt: OpenAttempt): void => {
    const { request, handler } = attempt;
    const now = clock.monotonic();
    attempt.startedAt = now;
    if (!client) {
      fail(attempt, 'not-connected');
      return;
    }
    attempt.control = client.send(request, Math.max(1, request.deadlineAt - now), {
      onHead(head) {
        attempt.head = head;
        handler.onLoad(getLoad());
        handler.onHead(head);
      },
      onData(chunk) {
        if (request.order && attempt.bodyBytes <= MAX_RECORDED_BODY_BYTES) {
          attempt.bodyChunks.push(chunk);
          attempt.bodyBytes += chunk.byteLength;
        }
        handler.onData(chunk);
      },
      onEnd() {
        dependencies.onCompleted(request.fingerprint);
        recordDone(attempt);
        handler.onEnd();
        finish(attempt);
      },
      onFailure: (failure) => fail(attempt, failure),
    });
  };

  const cancel = (attempt: OpenAttempt): void => {
    if (attempt.request.order && attempt.control) {
      // A started order is read to its end, so that its outcome can be recorded.
      attempt.control.resume();
    } else if (attempt.control) {
      attempt.control.cancel();
    } else if (admission.cancel(attempt.request.attemptId)) {
      openAttempts.delete(attempt.request.attemptId);
      refuse(attempt.request, attempt.handler, 'cancelled');
    }
  };

  return {
    run(request, handler) {
      const reason = findRefusalReason(request);
      const { attemptId } = request;
      if (reason !== undefined || !attemptStates.tryStart(attemptId)) {
        refuse(request, handler, reason ?? 'cancelled');
        return { cancel: () => undefined, pause: () => undefined, resume: () => undefined };
      }
      const now = clock.monotonic();
      const attempt: OpenAttempt = {
        request,
        handler,
        startedAt: now,
        control: undefined,
        bodyChunks: [],
        bodyBytes: 0,
        head: undefined,
      };
      openAttempts.set(attemptId, attempt);
      metrics.increment('egress.attempts');
      const { customer, weight, deadlineAt } = request;
      applyEffects(admission.offer({ id: attemptId, customer, weight, deadlineAt }, now));
      return {
        cancel: () => cancel(attempt),
        pause: () => attempt.control?.pause(),
        resume: () => attempt.control?.resume(),
      };
    },
    getAttemptState(attemptId, requestedInstance) {
      if (requestedInstance !== instance) return { type: 'unknown' };
      return attemptStates.readOrMarkNotRun(attemptId, clock.monotonic());
    },
    setTarget(nextTarget) {
      const hasAddressChanged =
        nextTarget?.port !== target?.port || nextTarget?.address !== target?.address;
      if (hasAddressChanged) {
        client?.close();
        client = nextTarget
          ? targetClient.createTargetClient(
              `http://${nextTarget.address}:${nextTarget.port}`,
              nextTarget.connections,
            )
          : undefined;
      }
      target = nextTarget;
      if (!nextTarget) return;
      admission.setSlots(nextTarget.slots);
      if (nextTarget.state === 'draining') applyEffects(admission.drain());
    },
    disconnectTarget: () => client?.destroy(),
    drain() {
      isStopping = true;
      applyEffects(admission.drain());
    },
    countInFlight: () => openAttempts.size,
    getLoad,
    deleteExpiredStates: () => attemptStates.deleteExpired(clock.monotonic()),
  };
}
