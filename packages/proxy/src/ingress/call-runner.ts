/**
 * Runs a call: chooses targets, sends attempts, and retries where that is safe. The state of an
 * attempt without a response is requested over a new connection.
 */
import * as core from '@figshed/core';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import type * as responseWriter from './response-writer.js';

/** A call that was admitted under its contract. */
export interface Call {
  callId: string;
  allowed: core.AllowedCall;
  method: string;
  path: string;
  headers: types.Headers;
  body: Buffer | undefined;
  deadlineAt: number;
  fingerprint: string;
  order: types.OrderClaim | undefined;
}

export interface CallResult {
  outcome: core.Outcome;
  reason: string;
  attempts: number;
  target: string | undefined;
}

export interface CallRunnerDependencies {
  targetTable: core.TargetTable;
  retryBudget: core.RetryBudget;
  getMember(id: string): core.Member | undefined;
  isLocal(id: string): boolean;
  runLocal(request: types.AttemptRequest, handler: types.AttemptHandler): types.Attempt;
  runRemote(
    member: core.Member,
    request: types.AttemptRequest,
    handler: types.AttemptHandler,
  ): types.Attempt;
  /** Closes all connections to the proxy of a member, so that later attempts use new ones. */
  replaceConnections(member: core.Member): void;
  isQuarantined(fingerprint: string): boolean;
  /** Requests the state of an attempt from the member's proxy, over a new connection. */
  requestAttemptState(member: core.Member, attemptId: string): Promise<types.AttemptState>;
}

export interface CallRunner {
  run(call: Call, writer: responseWriter.ResponseWriter, onEnd: (result: CallResult) => void): void;
}

interface AttemptRecord {
  attemptId: string;
  member: core.Member;
  attempt: types.Attempt | undefined;
  hasHead: boolean;
  isFinished: boolean;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Fraction of a call's time after which a running attempt of an idempotent call is cancelled, so
 * that time remains for another target.
 */
const SLOW_ATTEMPT_TIME_RATIO = 0.75;
/**
 * Base of the linear back-off before a call without a target chooses again, and interval at which
 * the state of a running order is requested after its connection broke.
 */
const RECHECK_DELAY_MS = 50;
/** Lost targets after which a call is not retried, because the call itself may crash targets. */
const MAX_LOST_TARGETS = 2;
/** Refusal reason of a target's proxy whose queue is full for the customer. */
const QUEUE_FULL_REASON = 'queue-full';
/**
 * Delay before the calls of a lost target are retried, in which reports of its crash can arrive.
 */
const CRASH_REPORT_DELAY_MS = 60;

const healthByReason: Readonly<Record<string, core.AttemptHealth>> = {
  done: 'success',
  'queue-full': 'neutral',
  deadline: 'neutral',
  cancelled: 'neutral',
  quarantined: 'neutral',
  'refused-by-target': 'neutral',
  draining: 'neutral',
  'silent-connection': 'neutral',
  // Neutral, because `replaceConnections` also ends attempts with this reason. A proxy that has
  // stopped refuses the next connection, which counts as a failure.
  'connection-lost': 'neutral',
  'proxy-restarted': 'neutral',
};

/**
 * Creates the runner of a proxy's calls.
 *
 * @example
 * const runner = createCallRunner(context, dependencies);
 * runner.run(call, writer, ({ outcome }) => metrics.increment(`calls.${outcome}`));
 */
export function createCallRunner(
  ctx: context.Context,
  dependencies: CallRunnerDependencies,
): CallRunner {
  const { clock, log, metrics, settings } = ctx;
  const { routing } = settings;

  const run: CallRunner['run'] = (call, writer, onEnd) => {
    const { requestKind, service } = call.allowed;
    const results: core.AttemptResult[] = [];
    const triedIds = new Set<string>();
    let attemptCount = 0;
    let currentAttempt: AttemptRecord | undefined;
    let isFinished = false;
    let retryTimer: NodeJS.Timeout | undefined;

    const finish = (outcome: core.Outcome, reason: string): void => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(retryTimer);
      onEnd({ outcome, reason, attempts: attemptCount, target: currentAttempt?.member.id });
    };

    const closeAttempt = (record: AttemptRecord, reason: string): void => {
      if (record.isFinished) return;
      record.isFinished = true;
      clearTimeout(record.timer);
      const health = healthByReason[reason] ?? 'failure';
      if (reason === 'draining') dependencies.targetTable.removeDraining(record.member.id);
      dependencies.targetTable.recordFinished(record.member.id, health, clock.monotonic());
    };

    const isIdempotent = requestKind.idempotent;
    const startedAt = clock.monotonic();
    const slowAttemptAt = startedAt + (call.deadlineAt - startedAt) * SLOW_ATTEMPT_TIME_RATIO;

    const tryPrepareRetry = (): boolean => {
      const isResponseStarted = !writer.reset();
      if (isResponseStarted && !writer.getResumePoint()) return false;
      return core.tryTakeRetry({
        idempotent: isIdempotent,
        attempts: results,
        maxAttempts: routing.maxAttempts,
        remainingMs: call.deadlineAt - clock.monotonic(),
        takeRetry: () => dependencies.retryBudget.takeRetry(),
      });
    };

    const retryUnlessQuarantined = (): void => {
      if (dependencies.isQuarantined(call.fingerprint)) {
        finish(core.combineOutcomes(results), 'quarantined');
      } else {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        startAttempt();
      }
    };

    const customer = call.allowed.contract.name;

    const fail = (record: AttemptRecord, result: core.AttemptResult): void => {
      if (record.isFinished || isFinished) return;
      if (result.reason === QUEUE_FULL_REASON) {
        dependencies.targetTable.recordFull(record.member.id, customer, clock.monotonic());
      }
      closeAttempt(record, result.reason);
      results.push(result);
      log.info('attempt-failed', {
        call: call.callId,
        target: record.member.id,
        outcome: result.outcome,
        reason: result.reason,
      });
      const lostTargetCount = results.filter(({ reason }) => reason === 'target-lost').length;
      const isFinalFailure = result.reason === 'quarantined' || lostTargetCount >= MAX_LOST_TARGETS;
      if (isFinalFailure || !tryPrepareRetry()) {
        finish(core.combineOutcomes(results), result.reason);
        return;
      }
      metrics.increment('ingress.retries');
      if (result.reason === 'target-lost') {
        retryTimer = setTimeout(retryUnlessQuarantined, CRASH_REPORT_DELAY_MS);
      } else {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        startAttempt();
      }
    };

    const handleAttemptState = (record: AttemptRecord, state: types.AttemptState): void => {
      if (record.isFinished || record.hasHead || isFinished) return;
      const handlers: Record<types.AttemptState['type'], () => void> = {
        running: () => {
          if (isIdempotent && clock.monotonic() >= slowAttemptAt) {
            record.attempt?.cancel();
            fail(record, { outcome: 'unknown', reason: 'slow-target' });
          } else {
            // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
            scheduleAttemptCheck(record);
          }
        },
        'not-run': () => {
          dependencies.replaceConnections(record.member);
          fail(record, { outcome: 'not-run', reason: 'silent-connection' });
        },
        done: () => {
          metrics.increment('ingress.silent-connections');
          dependencies.replaceConnections(record.member);
          const answer = state.type === 'done' ? state.answer : null;
          if (!answer) {
            fail(record, { outcome: 'unknown', reason: 'silent-connection' });
            return;
          }
          closeAttempt(record, 'done');
          writer.sendReplay(answer);
          finish('done', 'silent-connection');
        },
        unknown: () => fail(record, { outcome: 'unknown', reason: 'proxy-restarted' }),
      };
      handlers[state.type]();
    };

    const checkAttempt = async (record: AttemptRecord): Promise<void> => {
      try {
        handleAttemptState(
          record,
          await dependencies.requestAttemptState(record.member, record.attemptId),
        );
      } catch {
        if (record.isFinished || record.hasHead) return;
        if (!isIdempotent) {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
          scheduleAttemptCheck(record);
          return;
        }
        record.attempt?.cancel();
        fail(record, { outcome: 'unknown', reason: 'proxy-unreachable' });
      }
    };

    const scheduleAttemptCheck = (record: AttemptRecord): void => {
      if (dependencies.isLocal(record.member.id)) return;
      record.timer = setTimeout(() => {
        checkAttempt(record).catch((error: unknown) => ctx.reportError('check-failed', error));
      }, routing.hedgeAfterMs);
    };

    /**
     * Requests the state of an order whose connection broke, and fails the attempt unless the
     * target's proxy has recorded an answer. Repeats the request while the order runs, until the
     * deadline of the call.
     */
    const failUnlessResolved = async (
      record: AttemptRecord,
      result: core.AttemptResult,
    ): Promise<void> => {
      clearTimeout(record.timer);
      const state = await dependencies
        .requestAttemptState(record.member, record.attemptId)
        .catch((): types.AttemptState => ({ type: 'unknown' }));
      if (state.type === 'not-run') {
        fail(record, { outcome: 'not-run', reason: result.reason });
      } else if (state.type === 'done' && state.answer) {
        closeAttempt(record, 'done');
        writer.sendReplay(state.answer);
        finish('done', 'connection-lost');
      } else if (state.type === 'running' && clock.monotonic() < call.deadlineAt) {
        record.timer = setTimeout(() => {
          failUnlessResolved(record, result).catch((error: unknown) =>
            ctx.reportError('ask-failed', error),
          );
        }, RECHECK_DELAY_MS);
      } else {
        fail(record, result);
      }
    };

    const createAttemptHandler = (record: AttemptRecord): types.AttemptHandler => ({
      onLoad: (load) =>
        dependencies.targetTable.recordLoad(record.member.id, load, clock.monotonic()),
      onHead(head) {
        if (record.isFinished || isFinished) return;
        record.hasHead = true;
        clearTimeout(record.timer);
        if (writer.writeHead(head)) return;
        record.attempt?.cancel();
        fail(record, { outcome: 'unknown', reason: 'cannot-resume' });
      },
      onData(chunk) {
        if (record.isFinished || isFinished) return;
        if (!writer.writeData(chunk)) record.attempt?.pause();
      },
      onEnd() {
        if (record.isFinished || isFinished) return;
        closeAttempt(record, 'done');
        writer.end();
        finish('done', 'answered');
      },
      onFailure(result) {
        if (record.isFinished || isFinished) return;
        const isUnresolvedOrder = call.order !== undefined && result.outcome === 'unknown';
        if (isUnresolvedOrder && !dependencies.isLocal(record.member.id)) {
          failUnlessResolved(record, result).catch((error: unknown) =>
            ctx.reportError('ask-failed', error),
          );
        } else {
          fail(record, result);
        }
      },
    });

    const createAttemptRequest = (record: AttemptRecord): types.AttemptRequest => {
      const resumePoint = writer.getResumePoint();
      return {
        attemptId: record.attemptId,
        instance: record.member.info.instance,
        customer,
        service: service.name,
        weight: call.allowed.weight,
        method: call.method,
        path: call.path,
        headers: resumePoint
          ? {
              ...call.headers,
              range: `bytes=${resumePoint.position}-`,
              'if-range': resumePoint.entityTag,
            }
          : call.headers,
        body: call.body,
        deadlineAt: call.deadlineAt,
        fingerprint: call.fingerprint,
        order: call.order,
      };
    };

    /**
     * Finishes the call at once: a target that is full for the customer is expected to have no queue
     * space until its next slot becomes free.
     */
    const finishQueueFull = (): void => {
      results.push({ outcome: 'not-run', reason: QUEUE_FULL_REASON });
      finish(core.combineOutcomes(results), QUEUE_FULL_REASON);
    };

    const waitForTarget = (): void => {
      const result: core.AttemptResult = { outcome: 'not-run', reason: 'no-target' };
      results.push(result);
      const remainingMs = call.deadlineAt - clock.monotonic();
      if (results.length >= routing.maxAttempts || remainingMs <= RECHECK_DELAY_MS) {
        finish(core.combineOutcomes(results), result.reason);
        return;
      }
      triedIds.clear();
      retryTimer = setTimeout(() => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        startAttempt();
      }, RECHECK_DELAY_MS * results.length);
    };

    const startAttempt = (): void => {
      if (isFinished) return;
      const now = clock.monotonic();
      const choice = dependencies.targetTable.chooseTarget(service.name, customer, triedIds, now);
      const member = choice && dependencies.getMember(choice.id);
      if (!choice || !member) {
        const isFull = dependencies.targetTable.isFull(service.name, customer, now);
        log.info('no-target', { call: call.callId, service: service.name, isFull });
        if (isFull) finishQueueFull();
        else waitForTarget();
        return;
      }
      attemptCount += 1;
      triedIds.add(member.id);
      const record: AttemptRecord = {
        attemptId: `${call.callId}.${attemptCount}`,
        member,
        attempt: undefined,
        hasHead: false,
        isFinished: false,
        timer: undefined,
      };
      currentAttempt = record;
      log.info('route', {
        call: call.callId,
        service: service.name,
        target: member.id,
        reason: choice.reason,
        distance: choice.locality,
        passedOver: choice.passedOver.length > 0 ? choice.passedOver.join(',') : undefined,
      });
      dependencies.targetTable.recordSent(member.id, now);
      const request = createAttemptRequest(record);
      const handler = createAttemptHandler(record);
      scheduleAttemptCheck(record);
      record.attempt = dependencies.isLocal(member.id)
        ? dependencies.runLocal(request, handler)
        : dependencies.runRemote(member, request, handler);
    };

    dependencies.retryBudget.recordCall();
    writer.onDrain(() => currentAttempt?.attempt?.resume());
    writer.onClose(() => {
      if (isFinished) return;
      if (call.order) {
        // No longer waits for the caller; the order is read to its end.
        currentAttempt?.attempt?.resume();
        return;
      }
      metrics.increment('ingress.cancelled');
      currentAttempt?.attempt?.cancel();
      if (currentAttempt) closeAttempt(currentAttempt, 'cancelled');
      finish('unknown', 'cancelled');
    });
    startAttempt();
  };

  return { run };
}
