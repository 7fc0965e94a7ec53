import type * as http from 'node:http';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as upstreamResponse from './upstream-response.js';
import * as callGuards from './call-guard.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as keepAliveAgent from './keep-alive-agent.js';
import * as localTargetGate from './local-target-gate.js';
import * as lostAttemptsModule from './lost-attempts.js';
import * as meshHeaders from './mesh-headers.js';
import * as requestBodies from './request-body.js';
import * as requestFingerprint from './request-fingerprint.js';
import type * as requestQuarantine from './request-quarantine.js';
import * as responseBytes from './response-bytes.js';
import type * as rolloutTask from './rollout-task.js';
import * as silenceMonitor from './silence-monitor.js';
import * as slotUsages from './slot-usage.js';
import * as targetProbe from './target-probe.js';
import * as targetRequest from './target-request.js';
import * as targetResponse from './target-response.js';
import type * as types from './types.js';

/** Runs attempts at the target on this host, within its slots and only while its gate is open. */
export interface LocalTarget {
  /** Queues an attempt, whose response reaches the caller after `delivery`. */
  run(
    attempt: types.Attempt,
    handler: types.AttemptHandler,
    delivery: types.Delivery,
  ): types.CancellableAttempt;
  applyAnnouncement(announcement: mesh.TargetAnnouncement): mesh.GateVerdict;
  /** Closes the gate for one incarnation of the target; without `bornAt`, for the last one of `id`. */
  deregister(id: string, bornAt: number | undefined): mesh.GateVerdict;
  /** Closes the gate for the incarnation that peers remember to have left before a restart. */
  recallDeparted(incarnation: string): void;
  /** Returns the incarnation that left last; undefined before the first. */
  getDeparted(): string | undefined;
  getLoad(): mesh.SlotLoad & Pick<mesh.TargetLoad, 'failureShare'>;
  /** Returns when the last service time was measured; undefined before the first. */
  getSampledAt(): number | undefined;
  getOpenTarget(): mesh.OpenTarget | undefined;
  isCold(): boolean;
  countOpenAttempts(): number;
  /** Returns whether the target is running the parent call, whose ID is a prefix of `callId`. */
  isRunningParentOf(callId: string): boolean;
  stop(): void;
}

/** Cause of an attempt that failed by an error of this process. */
const INTERNAL_ERROR = 'internal-error';
/** Weight of the newest attempt in the exponential moving average of failures. */
const FAILURE_SMOOTHING_FACTOR = 0.1;
/** Separates a call's ID from the suffix that a target appends for its nested calls. */
const ID_SEPARATOR = /[^0-9A-Za-z]/;
/** Idle time-out of connections to the target; less than half of the targets' own time-out. */
const TARGET_IDLE_TIMEOUT_MS = 4_000;

/** Errors of a request whose connection the target has closed or reset. */
const lostConnectionCodes: ReadonlySet<string | undefined> = new Set(['ECONNRESET', 'EPIPE']);

interface LocalAttempt {
  attempt: types.Attempt;
  guard: callGuards.CallGuard;
  handler: types.AttemptHandler;
  /** Request to the target; undefined until it has been sent. */
  request: http.ClientRequest | undefined;
  /** Where and when it was sent; undefined until then. */
  sent: silenceMonitor.SentAttempt | undefined;
  /** Body that was sent; undefined until then. */
  body: requestBodies.RequestBody | undefined;
  receivedAt: number;
  /** Identify its expected work. */
  workKeys: mesh.WorkKeys;
  isCancelled: boolean;
}

export interface LocalTargetInput {
  ctx: context.MeshContext;
  endpoint: core.Endpoint;
  quarantine: requestQuarantine.RequestQuarantine;
  workEstimates: mesh.WorkEstimates;
  rollouts: Pick<rolloutTask.RolloutTask, 'mayRun' | 'recordOutcome'>;
  /** Returns the health path of the target's service; undefined while it is not known. */
  getHealthPath: () => string | undefined;
  /** Called when the target becomes available or unavailable, is replaced, or is no longer cold. */
  onChange: () => void;
}

/**
 * Creates a local target; it refuses attempts until the target announces itself.
 *
 * @example
 * const target = createLocalTarget(input);
 */
export function createLocalTarget(input: LocalTargetInput): LocalTarget {
  const { ctx, endpoint, quarantine, workEstimates, rollouts, getHealthPath, onChange } = input;
  const { clock, log, metrics, protocol } = ctx;
  const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults, ctx.random);
  const agent = keepAliveAgent.createAgent(TARGET_IDLE_TIMEOUT_MS);
  const createRequest = targetRequest.createTargetRequestFactory({ protocol, agent, endpoint });
  const silence = silenceMonitor.createSilenceMonitor(
    ctx,
    () => queue.getLoad(clock.monotonic()).serviceMs,
  );
  const slotUsage = slotUsages.createSlotUsage(ctx);
  const openAttempts = new Map<string, LocalAttempt>();
  let failureShare = 0;
  let lastKey = 0;
  let checkTimer: NodeJS.Timeout | undefined;

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
      account: entry.attempt.account,
      returning: entry.attempt.wasRejected || undefined,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a closed gate refuses calls
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

  const gate = localTargetGate.createLocalTargetGate({
    ctx,
    queue,
    probe: targetProbe.createTargetProbe({ ctx, agent, endpoint, getHealthPath }),
    applyEffects,
    onOpened() {
      failureShare = 0;
    },
    onClosed: (reason) => queue.drain().forEach((key) => refuse(key, reason)),
    onChange,
  });

  const releaseSlot = (key: string, serviceMs?: number): void => {
    applyEffects(queue.release(key, serviceMs, clock.monotonic()));
  };

  /** Records the end of an attempt that has been sent, and frees its slot. */
  const releaseAbandonedSlot = (
    key: string,
    { sent, attempt }: LocalAttempt,
    outcome: slotUsages.SlotOutcome,
  ): void => {
    if (!sent) {
      releaseSlot(key);
      return;
    }
    slotUsage.record(attempt.route, outcome, clock.monotonic() - sent.sentAt);
    silence.recordEnd(sent);
    const release = (): void => {
      const now = clock.monotonic();
      applyEffects(queue.releaseCancelled(key, now - sent.sentAt, now));
    };
    const holdMs = silence.computeHoldMs(sent);
    if (holdMs > 0) setTimeout(release, holdMs).unref();
    else release();
  };

  const lostAttempts = lostAttemptsModule.createLostAttempts({ ctx, endpoint, gate, quarantine });

  /** Counts the outcome for a roll-out; the time of a streamed body depends on the caller. */
  const recordOutcome = (
    { sent, attempt, body }: LocalAttempt,
    outcome: rolloutTask.CallOutcome,
    tookMs?: number,
  ): void => {
    if (!sent) return;
    const isTimed = Buffer.isBuffer(body);
    rollouts.recordOutcome(sent.target, attempt.route, outcome, isTimed ? tookMs : undefined);
  };

  const failAttempt = (key: string, cause: string, isConnectionLost = false): void => {
    const entry = openAttempts.get(key);
    if (!entry) return;
    openAttempts.delete(key);
    updateFailureShare(true);
    if (cause !== INTERNAL_ERROR) recordOutcome(entry, isConnectionLost ? 'broken' : 'failed');
    metrics.count('attempts_broken_total');
    const reportBroken = (crashedTarget?: string): void => {
      log.warn('attempt-broken', {
        call: entry.attempt.callId,
        cause,
        target: entry.sent?.target.id,
        crashed: crashedTarget !== undefined || undefined,
      });
      entry.handler.onBroken(cause, crashedTarget);
    };
    if (isConnectionLost) lostAttempts.checkTarget(entry, reportBroken);
    else reportBroken();
    releaseAbandonedSlot(key, entry, 'failed');
  };

  /** Ends an attempt after an error of this process. */
  const abortAttempt = (key: string): void => {
    const request = openAttempts.get(key)?.request;
    failAttempt(key, INTERNAL_ERROR);
    request?.destroy();
  };

  const refuseStarted = (key: string, reason: mesh.RefusalReason, retryAfterMs = 0): void => {
    refuse(key, reason, retryAfterMs);
    releaseSlot(key);
  };

  /** Describes what an attempt's work depends on, as its ingress does. */
  const computeWorkKeys = (attempt: types.Attempt): mesh.WorkKeys =>
    mesh.computeWorkKeys({
      service: attempt.service,
      route: attempt.route,
      path: attempt.path,
      account: attempt.account,
      bodyBytes: attempt.bodyBytes,
      callerService:
        attempt.rank < 0
          ? requestFingerprint.getHeader(attempt.headers, protocol.callerServiceHeader)
          : undefined,
    });

  const recordWork = ({ workKeys }: LocalAttempt, tookMs: number): void => {
    const now = clock.monotonic();
    const unitMs = queue.getUnitMs();
    const expectedMs = workEstimates.estimate(workKeys, now) * unitMs;
    metrics.observe('estimate_error_ms', Math.abs(tookMs - expectedMs));
    workEstimates.addSample(workKeys, tookMs / unitMs, now);
  };

  const classifyOutcome = (
    { attempt, isCancelled }: LocalAttempt,
    status: number,
    isComplete: boolean,
  ): slotUsages.SlotOutcome => {
    if (isCancelled) return 'abandoned';
    if (!isComplete || status >= constants.HTTP.firstServerError) return 'failed';
    return clock.monotonic() > attempt.objectiveAt ? 'late' : 'in-time';
  };

  const handleResponse = (
    key: string,
    message: http.IncomingMessage,
    isComplete: () => boolean,
  ): void => {
    const entry = openAttempts.get(key);
    if (!entry?.sent) {
      message.destroy();
      return;
    }
    const { target, sentAt } = entry.sent;
    const respondedMs = clock.monotonic() - sentAt;
    entry.sent.hasResponse = true;
    silence.recordResponse();
    const classified = targetResponse.classifyTargetResponse(
      message,
      entry.attempt.callId,
      protocol,
    );
    if (classified.type === 'invalid') {
      message.destroy();
      failAttempt(key, classified.cause);
      return;
    }
    if (classified.type === 'misdirected') {
      responseBytes.discardBody(message);
      gate.markDown(target, 'another-instance');
      refuseStarted(key, 'wrong-instance');
      return;
    }
    const { callsPerSecond, isLeaving } = classified.notice;
    if (isLeaving) gate.closeLeaving(target);
    gate.updateRateLimit(target, sentAt, callsPerSecond);
    if (classified.type === 'not-executed') {
      responseBytes.discardBody(message);
      updateFailureShare(true);
      refuseStarted(key, 'target-refused');
      return;
    }
    const status = message.statusCode ?? 0;
    const settleAttempt = (): void => {
      if (!openAttempts.delete(key)) return;
      const isFailure = status >= constants.HTTP.firstServerError;
      if (isComplete() && !isFailure && entry.body !== undefined)
        quarantine.recordCompletion({ ...entry.attempt, body: entry.body });
      else if (!isComplete() && !entry.isCancelled)
        lostAttempts.checkTarget(entry, () => undefined);
      const tookMs = clock.monotonic() - sentAt;
      slotUsage.record(entry.attempt.route, classifyOutcome(entry, status, isComplete()), tookMs);
      updateFailureShare(!isComplete() || status >= constants.HTTP.firstServerError);
      // A response that this process gave up is no failure of the target.
      if (isFailure || isComplete())
        recordOutcome(entry, isFailure ? 'failed' : 'done', respondedMs);
      else if (message.errored) recordOutcome(entry, 'broken');
      metrics.observe('target_ms', tookMs);
      const isSample = isComplete() && status < constants.HTTP.firstError;
      if (isSample) recordWork(entry, tookMs);
      releaseSlot(key, isSample ? tookMs : undefined);
    };
    message.once(
      'close',
      entry.guard.wrap(settleAttempt, () => releaseSlot(key)),
    );
    entry.handler.onResponse({
      status,
      headers: meshHeaders.copyHeaders(message.rawHeaders, new Set()),
      message,
      leavingTarget: isLeaving ? mesh.formatIncarnation(target) : undefined,
      ranMs: clock.monotonic() - sentAt,
      isComplete,
    });
  };

  /** Returns whether a target may run an attempt as far as services and versions are concerned. */
  const getMismatch = (
    target: mesh.OpenTarget,
    service: string,
  ): 'wrong-instance' | 'excluded-version' | undefined => {
    if (target.service !== service) return 'wrong-instance';
    return rollouts.mayRun(target) ? undefined : 'excluded-version';
  };

  const send = (key: string, entry: LocalAttempt, body: requestBodies.RequestBody): void => {
    const target = gate.getOpenTarget();
    const now = clock.monotonic();
    const remainingMs = Math.floor(entry.attempt.deadlineAt - now);
    const mismatch = target && getMismatch(target, entry.attempt.service);
    if (!target || mismatch) {
      refuseStarted(key, mismatch ?? gate.getClosedReason());
      return;
    }
    if (remainingMs <= 0) {
      refuseStarted(key, 'too-late');
      return;
    }
    const { attempt, guard } = entry;
    const retryAfterMs = quarantine.getRetryAfterMs({ ...attempt, body });
    if (retryAfterMs !== undefined && !attempt.isTrial) {
      refuseStarted(key, 'quarantined', retryAfterMs);
      return;
    }
    entry.body = body;
    let isConnected = false;
    entry.sent = {
      callId: attempt.callId,
      target,
      sentAt: now,
      deadlineAt: attempt.deadlineAt,
      hasResponse: false,
      responsesBefore: silence.countResponses(),
    };
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
    request.once(
      'close',
      guard.wrap(() => {
        clearTimeout(overrunTimer);
        // Node.js emits neither a response nor an error for a 101 that nobody requested.
        if (!hasResponse) failAttempt(key, 'closed', true);
      }),
    );
    keepAliveAgent.watchConnect(
      request,
      constants.TARGET_CONNECT_TIMEOUT_MS,
      () => {
        isConnected = true;
      },
      () => request.destroy(new Error('connect-timeout')),
    );
    responseBytes.watchHeadBytes(request, () => request.destroy(new Error('head-too-large')));
    request.on(
      'response',
      guard.wrap((message: http.IncomingMessage) => {
        hasResponse = true;
        message.on('error', () => undefined);
        handleResponse(key, message, upstreamResponse.trackCompletion(request, message));
      }),
    );
    request.on(
      'error',
      guard.wrap((error: NodeJS.ErrnoException) => {
        if (!openAttempts.has(key)) return;
        if (isConnected) {
          failAttempt(key, error.message, lostConnectionCodes.has(error.code));
          return;
        }
        if (error.code === 'ECONNREFUSED') lostAttempts.recordRefusedConnection(target);
        gate.markDown(target, error.message);
        refuseStarted(key, 'target-down');
      }),
    );
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
        log.error('attempt-not-sent', { call: entry.attempt.callId, message: error.message });
        if (openAttempts.has(key)) abortAttempt(key);
        else releaseSlot(key);
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
      ranMs: entry.sent ? Math.round(now - entry.sent.sentAt) : undefined,
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
    recordOutcome(entry, 'abandoned', now - (entry.sent?.sentAt ?? now));
    lostAttempts.recordCancelled(entry);
    entry.request.destroy();
    releaseAbandonedSlot(key, entry, 'abandoned');
    return false;
  };

  return {
    run(attempt, handler, delivery) {
      lastKey += 1;
      const key = `${attempt.callId}|${lastKey}`;
      const now = clock.monotonic();
      const workKeys = computeWorkKeys(attempt);
      openAttempts.set(key, {
        attempt,
        guard: callGuards.createCallGuard(ctx, attempt.callId, () => abortAttempt(key)),
        handler,
        request: undefined,
        sent: undefined,
        body: undefined,
        receivedAt: now,
        workKeys,
        isCancelled: false,
      });
      const target = gate.getOpenTarget();
      const mismatch = target && getMismatch(target, attempt.service);
      if (!target || mismatch) refuse(key, mismatch ?? gate.getClosedReason());
      else {
        const { route, account, wasRejected, rank, mayBeLate } = attempt;
        const deliveryMs = delivery.waitMs + delivery.transmissionMs;
        const request = {
          id: key,
          kind: route,
          work: workEstimates.estimate(workKeys, now),
          workWithinKind: workEstimates.estimateWithinRoute(workKeys, now),
          account,
          wasRejected,
          rank,
          deliveryWaitMs: delivery.waitMs,
          mayBeLate,
          objectiveAt: attempt.objectiveAt - deliveryMs,
          deadlineAt: attempt.deadlineAt - deliveryMs,
        };
        applyEffects(queue.offer(request, now));
      }
      return { cancel: () => cancel(key) };
    },
    applyAnnouncement: gate.applyAnnouncement,
    deregister: gate.deregister,
    recallDeparted: gate.recallDeparted,
    getDeparted: gate.getDeparted,
    getLoad: () => ({ ...queue.getLoad(clock.monotonic()), failureShare }),
    getSampledAt: queue.getSampledAt,
    getOpenTarget: gate.getOpenTarget,
    isCold: gate.isCold,
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
