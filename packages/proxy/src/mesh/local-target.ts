import type * as http from 'node:http';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as upstreamResponse from './upstream-response.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as keepAliveAgent from './keep-alive-agent.js';
import * as meshHeaders from './mesh-headers.js';
import * as requestBodies from './request-body.js';
import * as responseBytes from './response-bytes.js';
import * as targetRequest from './target-request.js';
import type * as types from './types.js';

/** Runs attempts at the target on this host, within its slots and only while its gate is open. */
export interface LocalTarget {
  /** Queues an attempt; `deliveryMs` is the expected time to send its response to the caller. */
  run(
    attempt: types.Attempt,
    handler: types.AttemptHandler,
    deliveryMs: number,
  ): types.CancellableAttempt;
  applyAnnouncement(announcement: mesh.TargetAnnouncement): mesh.GateVerdict;
  /** Closes the gate for one incarnation of the target; without `bornAt`, for the last one of `id`. */
  deregister(id: string, bornAt: number | undefined): mesh.GateVerdict;
  /** Closes the gate for the incarnation that peers remember to have left before a restart. */
  recallDeparted(incarnation: string): void;
  /** Returns the incarnation that left last; undefined before the first. */
  getDeparted(): string | undefined;
  getLoad(): mesh.SlotLoad & Pick<mesh.TargetLoad, 'failureShare'>;
  getOpenTarget(): mesh.OpenTarget | undefined;
  isCold(): boolean;
  countOpenAttempts(): number;
  /** Returns whether the target is running the parent call, whose ID is a prefix of `callId`. */
  isRunningParentOf(callId: string): boolean;
  stop(): void;
}

/** Weight of the newest attempt in the exponential moving average of failures. */
const FAILURE_SMOOTHING_FACTOR = 0.1;
/** Multiple of the mean service time after which an attempt without a response is logged. */
const SILENCE_FACTOR = 4;
/** Multiple after which the target may have left an attempt without a response. */
const OVERDUE_FACTOR = 2;
/** Multiple of the mean service time for which the slot of a cancelled call may be held. */
const HELD_SLOT_FACTOR = 1.25;
/** Separates a call's ID from the suffix that a target appends for its nested calls. */
const ID_SEPARATOR = /[^0-9A-Za-z]/;
/** Idle time-out of connections to the target; less than half of the targets' own time-out. */
const TARGET_IDLE_TIMEOUT_MS = 4_000;

interface LocalAttempt {
  attempt: types.Attempt;
  handler: types.AttemptHandler;
  /** Request to the target; undefined until it has been sent. */
  request: http.ClientRequest | undefined;
  /** The target that it was sent to; undefined until then. */
  target: mesh.OpenTarget | undefined;
  receivedAt: number;
  sentAt: number;
  hasResponse: boolean;
  /** Responses of the target before this attempt was sent. */
  responsesBefore: number;
  isCancelled: boolean;
}

export interface LocalTargetInput {
  ctx: context.MeshContext;
  endpoint: core.Endpoint;
  /** Called when the target becomes available or unavailable, is replaced, or is no longer cold. */
  onChange: () => void;
}

/**
 * Creates a local target; it refuses attempts until the target announces itself.
 *
 * @example
 * const target = createLocalTarget({ ctx, endpoint: settings.target, onChange });
 */
export function createLocalTarget(input: LocalTargetInput): LocalTarget {
  const { ctx, endpoint, onChange } = input;
  const { clock, log, metrics, protocol } = ctx;
  const gate = mesh.createTargetGate();
  const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
  const rateLimit = mesh.createStatedRateLimit();
  const agent = keepAliveAgent.createAgent(TARGET_IDLE_TIMEOUT_MS);
  const createRequest = targetRequest.createTargetRequestFactory({ protocol, agent, endpoint });
  const openAttempts = new Map<string, LocalAttempt>();
  /** The departed incarnation that `onChange` has reported last. */
  let announcedDeparted: string | undefined;
  let failureShare = 0;
  let responses = 0;
  /** The last target that left a call without a response while it responded to others. */
  let silentTarget: mesh.OpenTarget | undefined;
  let lastKey = 0;
  let wasAnnouncedCold = false;
  let checkTimer: NodeJS.Timeout | undefined;

  const isCold = (): boolean => (gate.getOpenTarget()?.coldUntil ?? 0) > clock.monotonic();

  const updateFailureShare = (hasFailed: boolean): void => {
    failureShare += ((hasFailed ? 1 : 0) - failureShare) * FAILURE_SMOOTHING_FACTOR;
  };

  const refuse = (key: string, reason: mesh.RefusalReason, retryAfterMs = 0): void => {
    const entry = openAttempts.get(key);
    if (!entry) return;
    openAttempts.delete(key);
    metrics.count('attempts_refused_total', { reason });
    log.info('attempt-refused', {
      call: entry.attempt.callId,
      reason,
      target: gate.getOpenTarget()?.id,
      ...queue.getLoad(clock.monotonic()),
    });
    entry.handler.onRefused(reason, retryAfterMs);
  };

  const applyEffects = (effects: readonly mesh.SlotEffect[]): void => {
    effects.forEach((effect) => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a freed slot starts the next call
      if (effect.type === 'run') startAttempt(effect.id, effect.waitedMs);
      else refuse(effect.id, effect.reason, effect.retryAfterMs);
    });
    if (queue.hasWaiting())
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
      checkTimer ??= setTimeout(checkQueue, constants.QUEUE_CHECK_INTERVAL_MS);
  };

  /** Refuses or starts queued calls as time passes; scheduled only while calls wait. */
  const checkQueue = (): void => {
    checkTimer = undefined;
    applyEffects(queue.poll(clock.monotonic()));
  };

  const releaseSlot = (key: string, serviceMs?: number): void => {
    applyEffects(queue.release(key, serviceMs, clock.monotonic()));
  };

  /**
   * Records an attempt that ends without a response, although the target usually responds sooner, and
   * notes the target if it has responded to others meanwhile.
   */
  const recordSilence = (entry: LocalAttempt): void => {
    const now = clock.monotonic();
    const ranMs = now - entry.sentAt;
    const usualMs = queue.getLoad(now).serviceMs;
    const responsesMeanwhile = responses - entry.responsesBefore;
    if (entry.hasResponse || ranMs < usualMs * OVERDUE_FACTOR) return;
    if (responsesMeanwhile >= (entry.target?.slots ?? 1)) silentTarget = entry.target;
    if (ranMs < usualMs * SILENCE_FACTOR) return;
    metrics.count('target_silences_total');
    log.warn('target-silent', {
      call: entry.attempt.callId,
      target: entry.target?.id,
      ranMs: Math.round(ranMs),
      usualMs: Math.round(usualMs),
      responsesMeanwhile,
    });
  };

  /**
   * Frees the slot of an attempt that was cancelled. A target that never responds to calls beyond its
   * slots may run it to its end, so the slot of such a target is held for about that long.
   */
  const releaseAbandonedSlot = (key: string, { sentAt, attempt, target }: LocalAttempt): void => {
    const release = (): void => {
      const now = clock.monotonic();
      applyEffects(queue.releaseCancelled(key, now - sentAt, now));
    };
    const usualMs = queue.getLoad(sentAt).serviceMs;
    const remainingMs =
      Math.min(attempt.deadlineAt, sentAt + usualMs * HELD_SLOT_FACTOR) - clock.monotonic();
    const mayStillRun = target !== undefined && target.id === silentTarget?.id;
    if (mayStillRun && remainingMs > 0) setTimeout(release, remainingMs).unref();
    else release();
  };

  const failAttempt = (key: string, cause: string): void => {
    const entry = openAttempts.get(key);
    if (!entry) return;
    openAttempts.delete(key);
    updateFailureShare(true);
    metrics.count('attempts_broken_total');
    log.warn('attempt-broken', { call: entry.attempt.callId, cause, target: entry.target?.id });
    recordSilence(entry);
    entry.handler.onBroken(cause);
    releaseAbandonedSlot(key, entry);
  };

  const refuseStarted = (key: string, reason: mesh.RefusalReason): void => {
    refuse(key, reason);
    releaseSlot(key);
  };

  const markTargetDown = (target: mesh.OpenTarget, cause: string): void => {
    if (!gate.markDown(target.id)) return;
    log.warn('target-down', { target: target.id, cause });
    queue.drain().forEach((key) => refuse(key, 'target-down'));
    onChange();
  };

  const applyVerdict = (
    verdict: mesh.GateVerdict,
    message: { id: string; bornAt: number | undefined; sequence?: number },
    cause: string,
  ): mesh.GateVerdict => {
    if (verdict === 'kept') return verdict;
    const { id, bornAt, sequence } = message;
    log.info('target-gate', { target: id, verdict, cause, bornAt, sequence });
    if (verdict === 'closed') queue.drain().forEach((key) => refuse(key, 'draining'));
    const hasNewDeparted = gate.getDeparted() !== announcedDeparted;
    announcedDeparted = gate.getDeparted();
    if (verdict !== 'stale' || hasNewDeparted) onChange();
    return verdict;
  };

  const closeLeavingTarget = (target: mesh.OpenTarget): void => {
    const verdict = gate.deregister(target.id, target.bornAt, clock.monotonic());
    if (verdict === 'closed') applyVerdict(verdict, target, 'leaving');
  };

  const updateRateLimit = (
    target: mesh.OpenTarget,
    sentAt: number,
    callsPerSecond: types.TargetNotice['callsPerSecond'],
  ): void => {
    if (callsPerSecond === 'unreadable') {
      metrics.count('target_limits_unreadable_total');
      log.debug('target-limit-refused', { target: target.id });
      return;
    }
    const now = clock.monotonic();
    const incarnation = mesh.formatIncarnation(target);
    if (!rateLimit.recordResponse({ incarnation, sentAt, callsPerSecond }, now)) return;
    log.info('target-limit', { target: target.id, callsPerSecond });
    applyEffects(queue.setRateLimit(callsPerSecond, now));
  };

  const handleResponse = (
    key: string,
    message: http.IncomingMessage,
    isComplete: () => boolean,
  ): void => {
    const entry = openAttempts.get(key);
    const status = message.statusCode ?? 0;
    if (!entry?.target) {
      message.destroy();
      return;
    }
    responses += 1;
    entry.hasResponse = true;
    const { target } = entry;
    const { headers } = message;
    const isMisdirected = status === constants.HTTP.misdirected;
    const isNotExecuted = headers[protocol.notExecutedHeader] !== undefined;
    const isFromTarget =
      isMisdirected || isNotExecuted || headers[protocol.signatureHeader] !== undefined;
    if (status < constants.HTTP.ok) {
      message.destroy();
      failAttempt(key, 'invalid-status');
      return;
    }
    // A response to another call, a refusal included, must not count as the response to this one.
    const hasMatchingCallId = headers[protocol.callIdHeader] === entry.attempt.callId;
    if (!hasMatchingCallId || !isFromTarget) {
      message.destroy();
      failAttempt(key, hasMatchingCallId ? 'answer-without-signature' : 'answer-of-another-call');
      return;
    }
    if (isMisdirected) {
      responseBytes.discardBody(message);
      markTargetDown(target, 'another-instance');
      refuseStarted(key, 'wrong-instance');
      return;
    }
    const { callsPerSecond, isLeaving } = protocol.readTargetNotice(headers);
    if (isLeaving) closeLeavingTarget(target);
    updateRateLimit(target, entry.sentAt, callsPerSecond);
    if (isNotExecuted) {
      responseBytes.discardBody(message);
      updateFailureShare(true);
      refuseStarted(key, 'target-refused');
      return;
    }
    const settleAttempt = (): void => {
      if (!openAttempts.delete(key)) return;
      const tookMs = clock.monotonic() - entry.sentAt;
      updateFailureShare(!isComplete() || status >= constants.HTTP.firstServerError);
      metrics.observe('target_ms', tookMs);
      releaseSlot(key, isComplete() && status < constants.HTTP.firstError ? tookMs : undefined);
    };
    message.once('close', settleAttempt);
    entry.handler.onResponse({
      status,
      headers: meshHeaders.copyHeaders(message.rawHeaders, new Set()),
      message,
      leavingTarget: isLeaving ? mesh.formatIncarnation(target) : undefined,
      isComplete,
    });
  };

  const send = (key: string, entry: LocalAttempt, body: requestBodies.RequestBody): void => {
    const target = gate.getOpenTarget();
    const now = clock.monotonic();
    const remainingMs = Math.floor(entry.attempt.deadlineAt - now);
    if (!target || target.service !== entry.attempt.service) {
      refuseStarted(key, target ? 'wrong-instance' : gate.getClosedReason());
      return;
    }
    if (remainingMs <= 0) {
      refuseStarted(key, 'too-late');
      return;
    }
    const { attempt } = entry;
    let isConnected = false;
    entry.target = target;
    entry.sentAt = now;
    entry.responsesBefore = responses;
    const request = createRequest(attempt, {
      target,
      bodyBytes: requestBodies.measureBody(body),
      remainingMs,
    });
    entry.request = request;
    const overrunTimer = setTimeout(() => {
      request.destroy(new Error('deadline-overrun'));
    }, remainingMs + constants.DEADLINE_GRACE_MS);
    let hasResponse = false;
    request.once('close', () => {
      clearTimeout(overrunTimer);
      // Node.js emits neither a response nor an error for a 101 that nobody requested.
      if (!hasResponse) failAttempt(key, 'closed');
    });
    keepAliveAgent.watchConnect(
      request,
      constants.TARGET_CONNECT_TIMEOUT_MS,
      () => {
        isConnected = true;
      },
      () => request.destroy(new Error('connect-timeout')),
    );
    responseBytes.watchHeadBytes(request, () => request.destroy(new Error('head-too-large')));
    request.on('response', (message) => {
      hasResponse = true;
      message.on('error', () => undefined);
      handleResponse(key, message, upstreamResponse.trackCompletion(request, message));
    });
    request.on('error', (error) => {
      if (!openAttempts.has(key)) return;
      if (isConnected) {
        failAttempt(key, error.message);
        return;
      }
      markTargetDown(target, error.message);
      refuseStarted(key, 'target-down');
    });
    requestBodies.writeBody(body, request);
  };

  const startAttempt = (key: string, waitedMs: number): void => {
    const entry = openAttempts.get(key);
    if (!entry) {
      releaseSlot(key);
      return;
    }
    metrics.observe('queue_ms', waitedMs);
    entry.handler
      .provideBody()
      .then((body) => {
        if (entry.isCancelled) {
          openAttempts.delete(key);
          releaseSlot(key);
        } else if (body) send(key, entry, body);
        else refuseStarted(key, 'unreachable');
      })
      .catch((error: Error) => {
        openAttempts.delete(key);
        log.error('attempt-body-failed', { call: entry.attempt.callId, message: error.message });
        releaseSlot(key);
      });
  };

  const cancel = (key: string): boolean => {
    const entry = openAttempts.get(key);
    if (!entry || entry.isCancelled) return false;
    entry.isCancelled = true;
    const now = clock.monotonic();
    log.info('attempt-abandoned', {
      call: entry.attempt.callId,
      openMs: Math.round(now - entry.receivedAt),
      ranMs: entry.request ? Math.round(now - entry.sentAt) : undefined,
    });
    if (queue.cancel(key)) {
      openAttempts.delete(key);
      return true;
    }
    if (!entry.request) return true;
    // A call that is not repeatable runs to its end, since its effects count even if the caller has
    // disconnected.
    if (!entry.attempt.isRepeatable) return false;
    openAttempts.delete(key);
    entry.request.destroy();
    recordSilence(entry);
    releaseAbandonedSlot(key, entry);
    return false;
  };

  return {
    run(attempt, handler, deliveryMs) {
      lastKey += 1;
      const key = `${attempt.callId}|${lastKey}`;
      const now = clock.monotonic();
      openAttempts.set(key, {
        attempt,
        handler,
        request: undefined,
        target: undefined,
        receivedAt: now,
        sentAt: now,
        hasResponse: false,
        responsesBefore: 0,
        isCancelled: false,
      });
      const target = gate.getOpenTarget();
      if (!target) refuse(key, gate.getClosedReason());
      else if (target.service !== attempt.service) refuse(key, 'wrong-instance');
      else {
        const { route, rank, mayBeLate } = attempt;
        const objectiveAt = attempt.objectiveAt - deliveryMs;
        const deadlineAt = attempt.deadlineAt - deliveryMs;
        const request = { id: key, kind: route, rank, mayBeLate, objectiveAt, deadlineAt };
        applyEffects(queue.offer(request, now));
      }
      return { cancel: () => cancel(key) };
    },
    applyAnnouncement(announcement) {
      const now = clock.monotonic();
      const wasCold = wasAnnouncedCold;
      const verdict = gate.handleAnnouncement(announcement, now);
      wasAnnouncedCold = isCold();
      const target = gate.getOpenTarget();
      if (target) {
        rateLimit.setIncarnation(mesh.formatIncarnation(target));
        applyEffects(queue.setRateLimit(rateLimit.get(), now));
        applyEffects(queue.setSlots(target.slots, now));
      }
      if (verdict === 'opened') failureShare = 0;
      if (verdict === 'kept' && wasCold && !isCold()) onChange();
      return applyVerdict(verdict, announcement, announcement.state);
    },
    deregister: (id, bornAt) =>
      applyVerdict(gate.deregister(id, bornAt, clock.monotonic()), { id, bornAt }, 'deregistered'),
    recallDeparted(incarnation) {
      if (gate.getDeparted() === incarnation) return;
      const { id, bornAt } = mesh.parseIncarnation(incarnation);
      const verdict = gate.deregister(id, bornAt, clock.monotonic());
      applyVerdict(verdict, { id, bornAt }, 'recalled');
    },
    getDeparted: () => gate.getDeparted(),
    getLoad: () => ({ ...queue.getLoad(clock.monotonic()), failureShare }),
    getOpenTarget: () => gate.getOpenTarget(),
    isCold,
    countOpenAttempts: () => openAttempts.size,
    isRunningParentOf: (callId) =>
      [...openAttempts.values()].some(
        ({ request, attempt }) =>
          request !== undefined &&
          callId.startsWith(attempt.callId) &&
          ID_SEPARATOR.test(callId.charAt(attempt.callId.length)),
      ),
    stop() {
      clearTimeout(checkTimer);
      agent.destroy();
    },
  };
}
