/** Performs the effects of the call state machine: sends attempts, sets timers and writes responses. */
import * as mesh from '@figshed/core/mesh';
import type * as upstreamResponse from './upstream-response.js';
import type * as byteBudgets from '../byte-budget.js';
import * as callAttempts from './call-attempts.js';
import type * as calls from './call.js';
import * as callGuards from './call-guard.js';
import * as callLog from './call-log.js';
import * as constants from './constants.js';
import type * as context from './context.js';
import * as eventLoop from '../event-loop.js';
import type * as peerClient from './peer-client.js';
import type * as localTarget from './local-target.js';
import type * as requestQuarantine from './request-quarantine.js';
import type * as rolloutTask from './rollout-task.js';
import * as serviceRetryBudgets from './service-retry-budgets.js';
import type * as targetTable from './target-table.js';
import * as requestBodies from './request-body.js';
import type * as types from './types.js';

export interface CallRunner {
  /** Starts a call; the returned function must be called if the caller disconnects. */
  run(call: calls.Call, responder: calls.CallResponder): () => void;
  /** Ends the open calls as if their deadline had passed; those being streamed continue. */
  expireOpenCalls(): void;
}

export interface CallRunnerInput {
  ctx: context.MeshContext;
  targets: targetTable.TargetTable;
  target: localTarget.LocalTarget;
  peers: peerClient.PeerClient;
  quarantine: requestQuarantine.RequestQuarantine;
  workEstimates: mesh.WorkEstimates;
  rollouts: Pick<rolloutTask.RolloutTask, 'startCall'>;
  byteBudget: byteBudgets.ByteBudget;
  /** Returns the number of processes that share the retry budget. */
  countProcesses: () => number;
}

/** Rank of nested calls, ahead of all routes: their parent call already occupies a slot. */
const NESTED_CALL_RANK = -1;
/**
 * A call times out this long before its deadline, so that the response reaches the caller in time.
 */
const RESPONSE_MARGIN_MS = 10;

/** Returns the stated length of a streamed response, or the least that is streamed without one. */
function measureStreamedBytes({ message }: upstreamResponse.UpstreamResponse): number {
  return Number(message.headers['content-length'] ?? constants.MAX_BUFFERED_RESPONSE_BYTES);
}

type EffectHandler<K extends mesh.CallEffect['type']> = (
  effect: Extract<mesh.CallEffect, { type: K }>,
) => void;

/**
 * Creates a call runner.
 *
 * @example
 * const handleDisconnect = createCallRunner(input).run(call, responder);
 */
export function createCallRunner(input: CallRunnerInput): CallRunner {
  const { ctx, targets, target, peers, quarantine, workEstimates, rollouts } = input;
  const { byteBudget, countProcesses } = input;
  const { settings, clock, metrics } = ctx;
  const splitter = mesh.createTrafficSplitter(ctx.random);
  const retryBudgets = serviceRetryBudgets.createServiceRetryBudgets(settings, countProcesses);
  const logger = callLog.createCallLog(ctx);
  const hedgeDelayEstimator = mesh.createHedgeDelayEstimator(mesh.hedgeDelayDefaults);
  const responseSizes = mesh.createResponseSizes();
  const rejectedCalls = mesh.createRejectedCalls(mesh.rejectedCallsDefaults);
  /** Functions that end the calls that can still expire. */
  const openCalls = new Set<() => void>();

  const run = (call: calls.Call, responder: calls.CallResponder): (() => void) => {
    const { route } = call;
    const service = splitter.chooseService(route);
    const retryBudget = retryBudgets.get(service);
    retryBudget.recordCall();
    const versions = rollouts.startCall(service);
    const triedHosts = new Set<string>();
    const fullHosts = new Set<string>();
    const key = [
      route.name,
      call.method,
      call.path,
      ...(call.account ? [call.account.name] : []),
    ].join(' ');
    const rejectedCall = rejectedCalls.take(key, call.deadlineAt);
    const firstReceivedAt = rejectedCall?.firstReceivedAt ?? call.receivedAt;
    const { objectiveAt, deadlineAt, isLate } = mesh.computeCallTimes(
      { receivedAt: call.receivedAt, firstReceivedAt, callerDeadlineAt: call.deadlineAt },
      route,
    );
    const bodyBytes = requestBodies.measureBody(call.body);
    const workKeys = mesh.computeWorkKeys({
      service,
      route: route.name,
      path: call.path,
      account: call.account?.name,
      bodyBytes,
      callerService: call.isNested ? settings.service : undefined,
    });
    const work = workEstimates.estimate(workKeys, call.receivedAt);
    let expectedMs: number | undefined;
    let ranMs: number | undefined;
    let wasLateAllowed = false;
    /** True once a streamed body has been handed to an attempt; it cannot be sent again. */
    let isBodyConsumed = false;
    let deniedRetries = 0;
    const takeRetry = (): boolean => {
      const isAllowed = retryBudget.takeRetry();
      if (!isAllowed) {
        deniedRetries += 1;
        metrics.count('retries_denied_total', { service });
      }
      return isAllowed;
    };
    const stateMachine = mesh.createCallStateMachine({
      isRepeatable: route.isRepeatable,
      isLate,
      maxAttempts: route.maxAttempts,
      maxRefusals: constants.MAX_REFUSALS,
      maxLateRefusals: constants.MAX_LATE_REFUSALS,
      takeRetry,
    });
    const attempts = callAttempts.createOpenAttempts(({ hostId, openedAt }) =>
      targets.recordAttemptEnd(hostId, work, openedAt),
    );
    let streamedAttempt: number | undefined;
    let lastHostId = '';
    let bufferedResponse: callAttempts.BufferedResponse | undefined;
    let deadlineTimer: NodeJS.Timeout | undefined;
    let hedgeTimer: NodeJS.Timeout | undefined;

    /** The call can no longer expire, because it has ended or its response is being streamed. */
    const clearTimers = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two refer to one another
      openCalls.delete(expireCall);
      clearTimeout(deadlineTimer);
      clearTimeout(hedgeTimer);
    };

    const recordEnd = (outcome: string, status: number): void => {
      clearTimers();
      const tookMs = clock.monotonic() - call.receivedAt;
      metrics.count('calls_total', { outcome });
      metrics.observe('call_ms', tookMs);
      logger.logCall(call, {
        service,
        outcome,
        status,
        tookMs,
        hostId: lastHostId,
        attempts: stateMachine.countAttemptsRun(),
        tried: triedHosts.size,
        deniedRetries,
        work,
        expectedMs,
        ranMs,
      });
    };

    const handleEvent = (event: mesh.CallEvent): void =>
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call one another
      stateMachine.handle(event).forEach((effect) => applyEffect(effect));

    const guard = callGuards.createCallGuard(ctx, call.callId, () => {
      if (stateMachine.isFinished()) responder.fail();
      else handleEvent({ type: 'failed' });
    });

    const receiveResponse = (
      upstream: upstreamResponse.UpstreamResponse,
      attemptNumber: number,
      hostId: string,
      unitMs: number,
    ): void => {
      ranMs = upstream.ranMs;
      // The egress of this process has recorded the calls at its own target.
      if (
        ranMs !== undefined &&
        unitMs > 0 &&
        hostId !== settings.id &&
        upstream.status < constants.HTTP.firstError
      )
        workEstimates.addSample(workKeys, ranMs / unitMs, clock.monotonic());
      if (upstream.leavingTarget !== undefined)
        targets.recordLeaving(hostId, upstream.leavingTarget);
      const discard = (): void => {
        upstream.message.destroy();
      };
      const bufferHandler: callAttempts.BufferHandler = {
        onTooLarge(chunks) {
          // An order that has timed out runs to its end, and its caller has got another response.
          if (!attempts.has(attemptNumber)) {
            discard();
            return;
          }
          streamedAttempt = attemptNumber;
          bufferedResponse = undefined;
          lastHostId = hostId;
          responseSizes.addSample(route.name, measureStreamedBytes(upstream));
          handleEvent({ type: 'streaming' });
          clearTimers();
          responder.stream(upstream, chunks);
        },
        onStreamed() {
          attempts.settle(attemptNumber);
          handleEvent({ type: 'answered', isFailure: false });
        },
        onBuffered(buffered) {
          const attempt = attempts.settle(attemptNumber);
          if (!attempt) return;
          bufferedResponse = buffered;
          lastHostId = hostId;
          responseSizes.addSample(route.name, buffered.body.length);
          const isFailure = buffered.status >= constants.HTTP.firstServerError;
          if (isFailure) {
            const cause = String(buffered.status);
            logger.logAttempt(call, { hostId, result: 'failed', cause });
          } else hedgeDelayEstimator.addSample(route.name, clock.monotonic() - attempt.openedAt);
          handleEvent({ type: 'answered', isFailure });
        },
        onTruncated() {
          if (!attempts.settle(attemptNumber)) return;
          logger.logAttempt(call, { hostId, result: 'cut', cause: 'answer-incomplete' });
          handleEvent({ type: 'broken' });
        },
      };
      const buffer = guard.wrap(callAttempts.bufferResponse, discard);
      buffer(upstream, byteBudget, guard.wrapAll(bufferHandler, discard));
    };

    const createAttemptHandler = (
      hostId: string,
      attemptNumber: number,
      openedAt: number,
    ): peerClient.PeerAttemptHandler => {
      /** Pace of the target, which precedes its response. */
      let unitMs = 0;
      return {
        async provideBody() {
          await eventLoop.waitForSocketPoll();
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a disconnect cancels attempts
          if (!responder.isConnected()) handleDisconnect();
          if (!attempts.has(attemptNumber) || isBodyConsumed) return undefined;
          isBodyConsumed = requestBodies.isStreamed(call.body);
          return call.body;
        },
        onHostResponded: () => targets.recordResponse(hostId),
        onUnacknowledged() {
          if (attempts.has(attemptNumber)) handleEvent({ type: 'unacknowledged' });
        },
        onLoad(load) {
          unitMs = load.unitMs;
          targets.recordLoad(hostId, load);
        },
        onResponse(upstream) {
          if (attempts.has(attemptNumber)) receiveResponse(upstream, attemptNumber, hostId, unitMs);
          else upstream.message.destroy();
        },
        onRefused(reason, retryAfterMs) {
          if (reason === 'unreachable') targets.recordUnreachable(hostId, openedAt);
          if (reason === 'full') fullHosts.add(hostId);
          if (!attempts.settle(attemptNumber)) return;
          logger.logAttempt(call, {
            hostId,
            result: 'refused',
            cause: reason,
            tookMs: clock.monotonic() - openedAt,
          });
          handleEvent({ type: 'refused', reason, retryAfterMs });
        },
        onBroken(cause, crashedTarget) {
          if (crashedTarget !== undefined)
            quarantine.recordCrash(crashedTarget, { ...call, service });
          if (!attempts.settle(attemptNumber)) return;
          logger.logAttempt(call, {
            hostId,
            result: 'broken',
            cause: crashedTarget === undefined ? cause : 'target-crashed',
            tookMs: clock.monotonic() - openedAt,
          });
          handleEvent({ type: 'broken' });
        },
      };
    };

    /**
     * Schedules a hedged request for a repeatable call with one open attempt, after the hedge delay of
     * its route.
     */
    const scheduleHedge = (): void => {
      clearTimeout(hedgeTimer);
      const hedgeAfterMs = hedgeDelayEstimator.computeHedgeDelayMs(route.name);
      if (!route.isRepeatable || attempts.count() !== 1 || hedgeAfterMs === undefined) return;
      const hedgeOrWait = (mayGuess: boolean): void => {
        // With all targets busy, the delay is queueing delay; a hedged request would queue as well.
        if (versions.hasFreeSlot(triedHosts, mayGuess)) handleEvent({ type: 'overdue' });
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- waits again
        else hedgeTimer = setTimeout(guardedHedge, hedgeAfterMs, true);
      };
      const guardedHedge = guard.wrap(hedgeOrWait);
      hedgeTimer = setTimeout(guardedHedge, hedgeAfterMs, false);
    };

    const sendAttempt = (mayBeLate: boolean): void => {
      // Hosts whose queue had no room within the objective may still have room within the deadline.
      if (mayBeLate && !wasLateAllowed) fullHosts.forEach((hostId) => triedHosts.delete(hostId));
      wasLateAllowed = mayBeLate;
      const remainingMs = deadlineAt - clock.monotonic();
      const meanMs = hedgeDelayEstimator.getMeanMs(route.name) ?? 0;
      if (isBodyConsumed || remainingMs < meanMs * constants.MIN_REMAINING_SHARE) {
        handleEvent({ type: 'no-target' });
        return;
      }
      const verdict = quarantine.check({ ...call, service });
      if (verdict.type === 'quarantined') {
        handleEvent(verdict);
        return;
      }
      const placement = versions.chooseTarget(triedHosts, {
        kilobytes:
          (responseSizes.getMeanBytes(route.name) + (bodyBytes ?? constants.MIN_STREAMED_BYTES)) /
          mesh.BYTES_PER_KILOBYTE,
        work,
        mayBeLate,
      });
      const endpoint = placement && targets.getEndpoint(placement.hostId);
      if (!placement || !endpoint) {
        handleEvent({ type: 'no-target' });
        return;
      }
      if (verdict.isTrial) quarantine.recordTrial({ ...call, service });
      const targetHostId = placement.hostId;
      lastHostId = targetHostId;
      triedHosts.add(targetHostId);
      expectedMs = placement.serviceMs;
      targets.recordAttemptStart(targetHostId, work);
      const openedAt = clock.monotonic();
      const attemptNumber = attempts.open(targetHostId, openedAt);
      const handler = guard.wrapAll(createAttemptHandler(targetHostId, attemptNumber, openedAt));
      const request: types.Attempt = {
        callId: call.callId,
        account: call.account?.name,
        service,
        route: route.name,
        method: call.method,
        path: call.path,
        headers: call.headers,
        isRepeatable: route.isRepeatable,
        bodyBytes,
        isStreamed: requestBodies.isStreamed(call.body),
        mayBeLate,
        wasRejected: rejectedCall !== undefined,
        isTrial: verdict.isTrial,
        rank: call.isNested ? NESTED_CALL_RANK : (call.account?.rank ?? route.rank),
        objectiveAt,
        deadlineAt,
      };
      const cancellableAttempt =
        targetHostId === settings.id
          ? target.run(request, handler, { waitMs: 0, transmissionMs: 0 })
          : peers.run(endpoint, request, handler);
      attempts.setHandle(attemptNumber, cancellableAttempt);
      if (attempts.has(attemptNumber)) scheduleHedge();
    };

    const effectHandlers: { [K in mesh.CallEffect['type']]: EffectHandler<K> } = {
      send: ({ mayBeLate }) => sendAttempt(mayBeLate),
      cancel() {
        logger.logAttempt(call, {
          hostId: lastHostId,
          result: 'cancelled',
          cause: 'not-needed',
          tookMs: clock.monotonic() - call.receivedAt,
        });
        attempts.cancel(streamedAttempt);
      },
      deliver() {
        recordEnd('delivered', bufferedResponse?.status ?? 0);
        if (bufferedResponse) responder.deliver(bufferedResponse);
      },
      answer({ outcome, status, retryAfterMs }) {
        recordEnd(outcome, status);
        if (outcome === 'not-run')
          rejectedCalls.record(
            { key, firstReceivedAt, deadlineAt: call.deadlineAt },
            clock.monotonic(),
          );
        responder.refuse(status, retryAfterMs);
      },
      abort: () => responder.abort(),
    };

    const applyEffect = (effect: mesh.CallEffect): void =>
      (effectHandlers[effect.type] as EffectHandler<mesh.CallEffect['type']>)(effect);

    const expireCall = guard.wrap(() => {
      const isNotRun = attempts.cancel(undefined);
      handleEvent({ type: 'timeout', isUnsent: isNotRun });
    });

    openCalls.add(expireCall);
    deadlineTimer = setTimeout(
      expireCall,
      Math.max(0, deadlineAt - RESPONSE_MARGIN_MS - clock.monotonic()),
    );
    const handleDisconnect = guard.wrap(() => {
      if (stateMachine.isFinished()) return;
      handleEvent({ type: 'caller-left' });
      recordEnd('caller-left', 0);
    });

    guard.wrap(handleEvent)({ type: 'start' });
    return handleDisconnect;
  };

  return {
    run,
    expireOpenCalls: () => [...openCalls].forEach((expireCall) => expireCall()),
  };
}
