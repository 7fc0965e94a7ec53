/**
 * Runs one call: chooses targets, sends attempts, checks on silent ones over a new connection,
 * and tries again where that is safe.
 */
import * as core from '@figshed/core';
import type * as types from '../calls/types.js';
import type * as context from '../context.js';
import type * as answerWriter from './answer-writer.js';

/** A call that its contract admitted. */
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

/** How a call ended. */
export interface CallResult {
  outcome: core.Outcome;
  reason: string;
  attempts: number;
  target: string | undefined;
}

/** What the runner needs besides the context. */
export interface CallRunnerParts {
  table: core.TargetTable;
  budget: core.RetryBudget;
  getMember(id: string): core.Member | undefined;
  isLocal(id: string): boolean;
  runLocal(request: types.AttemptRequest, handler: types.AttemptHandler): types.Attempt;
  runRemote(
    member: core.Member,
    request: types.AttemptRequest,
    handler: types.AttemptHandler,
  ): types.Attempt;
  replaceConnections(member: core.Member): void;
  isQuarantined(fingerprint: string): boolean;
  /** Asks over a new connection what became of an attempt. */
  ask(member: core.Member, attemptId: string): Promise<types.AttemptState>;
}

/** Runs calls. */
export interface CallRunner {
  run(call: Call, writer: answerWriter.AnswerWriter, onEnd: (result: CallResult) => void): void;
}

interface AttemptRecord {
  attemptId: string;
  member: core.Member;
  attempt: types.Attempt | undefined;
  hasHead: boolean;
  isOver: boolean;
  timer: NodeJS.Timeout | undefined;
}

/** Share of a call's time that a running attempt gets before an idempotent call is tried elsewhere. */
const PATIENT_SHARE = 0.75;
/** Shortest pause before a call looks for a target again when there is none. */
const NO_TARGET_PAUSE_MS = 50;
/** Targets that one call may lose, as it may be what crashes them. */
const MAX_TARGETS_LOST = 2;
/** Reason of the proxy beside a target whose queue has no room for the customer. */
const QUEUE_FULL = 'queue-full';
/** Time in which the news of a target's death arrives, before its calls are tried again. */
const DEATH_NEWS_MS = 60;

const healthByReason: Readonly<Record<string, core.AttemptHealth>> = {
  done: 'success',
  'queue-full': 'neutral',
  deadline: 'neutral',
  cancelled: 'neutral',
  quarantined: 'neutral',
  'refused-by-target': 'neutral',
  draining: 'neutral',
  'silent-connection': 'neutral',
  // Also the end of what was open when a silent connection's peers were replaced; a proxy that is
  // really gone refuses the next connection.
  'connection-lost': 'neutral',
  'proxy-restarted': 'neutral',
};

/**
 * Creates the runner of a proxy's calls.
 *
 * @example
 * const runner = createCallRunner(context, parts);
 * runner.run(call, writer, ({ outcome }) => metrics.increment(`calls.${outcome}`));
 */
export function createCallRunner(ctx: context.Context, parts: CallRunnerParts): CallRunner {
  const { clock, log, metrics, settings } = ctx;
  const { routing } = settings;

  const run: CallRunner['run'] = (call, writer, onEnd) => {
    const { requestKind, service } = call.allowed;
    const results: core.AttemptResult[] = [];
    const tried = new Set<string>();
    let attemptCount = 0;
    let current: AttemptRecord | undefined;
    let isOver = false;
    let pauseTimer: NodeJS.Timeout | undefined;

    const finish = (outcome: core.Outcome, reason: string): void => {
      if (isOver) return;
      isOver = true;
      clearTimeout(pauseTimer);
      onEnd({ outcome, reason, attempts: attemptCount, target: current?.member.id });
    };

    const closeAttempt = (record: AttemptRecord, reason: string): void => {
      if (record.isOver) return;
      record.isOver = true;
      clearTimeout(record.timer);
      const health = healthByReason[reason] ?? 'failure';
      if (reason === 'draining') parts.table.noteDraining(record.member.id);
      parts.table.noteFinished(record.member.id, health, clock.monotonic());
    };

    const isIdempotent = requestKind.idempotent;
    const startedAt = clock.monotonic();
    const patientUntil = startedAt + (call.deadlineAt - startedAt) * PATIENT_SHARE;

    const mayTryAgain = (): boolean => {
      const hasStarted = !writer.reset();
      if (hasStarted && !writer.resumeFrom()) return false;
      return core.mayRetry({
        idempotent: isIdempotent,
        attempts: results,
        maxAttempts: routing.maxAttempts,
        remainingMs: call.deadlineAt - clock.monotonic(),
        takeRetry: () => parts.budget.takeRetry(),
      });
    };

    const retryUnlessQuarantined = (): void => {
      if (parts.isQuarantined(call.fingerprint)) {
        finish(core.combineOutcomes(results), 'quarantined');
      } else {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        startAttempt();
      }
    };

    const customer = call.allowed.contract.name;

    const fail = (record: AttemptRecord, result: core.AttemptResult): void => {
      if (record.isOver || isOver) return;
      if (result.reason === QUEUE_FULL) {
        parts.table.noteFull(record.member.id, customer, clock.monotonic());
      }
      closeAttempt(record, result.reason);
      results.push(result);
      log.info('attempt-failed', {
        call: call.callId,
        target: record.member.id,
        outcome: result.outcome,
        reason: result.reason,
      });
      const lost = results.filter(({ reason }) => reason === 'target-lost').length;
      const isHopeless = result.reason === 'quarantined' || lost >= MAX_TARGETS_LOST;
      if (isHopeless || !mayTryAgain()) {
        finish(core.combineOutcomes(results), result.reason);
        return;
      }
      metrics.increment('ingress.retries');
      if (result.reason === 'target-lost') {
        pauseTimer = setTimeout(retryUnlessQuarantined, DEATH_NEWS_MS);
      } else {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        startAttempt();
      }
    };

    const settleChecked = (record: AttemptRecord, state: types.AttemptState): void => {
      if (record.isOver || record.hasHead || isOver) return;
      const handlers: Record<types.AttemptState['type'], () => void> = {
        running: () => {
          if (isIdempotent && clock.monotonic() >= patientUntil) {
            record.attempt?.cancel();
            fail(record, { outcome: 'unknown', reason: 'slow-target' });
          } else {
            // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
            scheduleCheck(record);
          }
        },
        'not-run': () => {
          parts.replaceConnections(record.member);
          fail(record, { outcome: 'not-run', reason: 'silent-connection' });
        },
        done: () => {
          metrics.increment('ingress.silent-connections');
          parts.replaceConnections(record.member);
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

    const check = async (record: AttemptRecord): Promise<void> => {
      try {
        settleChecked(record, await parts.ask(record.member, record.attemptId));
      } catch {
        if (record.isOver || record.hasHead) return;
        if (!isIdempotent) {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
          scheduleCheck(record);
          return;
        }
        record.attempt?.cancel();
        fail(record, { outcome: 'unknown', reason: 'proxy-unreachable' });
      }
    };

    const scheduleCheck = (record: AttemptRecord): void => {
      if (parts.isLocal(record.member.id)) return;
      record.timer = setTimeout(() => {
        check(record).catch((error: unknown) => ctx.reportError('check-failed', error));
      }, routing.hedgeAfterMs);
    };

    /** A connection that broke leaves the outcome open; its other end may know. */
    const failAfterAsking = async (
      record: AttemptRecord,
      result: core.AttemptResult,
    ): Promise<void> => {
      clearTimeout(record.timer);
      const state = await parts
        .ask(record.member, record.attemptId)
        .catch((): types.AttemptState => ({ type: 'unknown' }));
      if (state.type === 'not-run') {
        fail(record, { outcome: 'not-run', reason: result.reason });
      } else if (state.type === 'done' && state.answer) {
        closeAttempt(record, 'done');
        writer.sendReplay(state.answer);
        finish('done', 'connection-lost');
      } else if (state.type === 'running' && clock.monotonic() < call.deadlineAt) {
        record.timer = setTimeout(() => {
          failAfterAsking(record, result).catch((error: unknown) =>
            ctx.reportError('ask-failed', error),
          );
        }, NO_TARGET_PAUSE_MS);
      } else {
        fail(record, result);
      }
    };

    const createHandler = (record: AttemptRecord): types.AttemptHandler => ({
      onLoad: (load) => parts.table.noteLoad(record.member.id, load, clock.monotonic()),
      onHead(head) {
        if (record.isOver || isOver) return;
        record.hasHead = true;
        clearTimeout(record.timer);
        if (writer.writeHead(head)) return;
        record.attempt?.cancel();
        fail(record, { outcome: 'unknown', reason: 'cannot-resume' });
      },
      onData(chunk) {
        if (record.isOver || isOver) return;
        if (!writer.writeData(chunk)) record.attempt?.pause();
      },
      onEnd() {
        if (record.isOver || isOver) return;
        closeAttempt(record, 'done');
        writer.end();
        finish('done', 'answered');
      },
      onFailure(result) {
        if (record.isOver || isOver) return;
        const isOpenOrder = call.order !== undefined && result.outcome === 'unknown';
        if (isOpenOrder && !parts.isLocal(record.member.id)) {
          failAfterAsking(record, result).catch((error: unknown) =>
            ctx.reportError('ask-failed', error),
          );
        } else {
          fail(record, result);
        }
      },
    });

    const createRequest = (record: AttemptRecord): types.AttemptRequest => {
      const resume = writer.resumeFrom();
      return {
        attemptId: record.attemptId,
        instance: record.member.info.instance,
        customer,
        service: service.name,
        weight: call.allowed.weight,
        method: call.method,
        path: call.path,
        headers: resume
          ? {
              ...call.headers,
              range: `bytes=${resume.position}-`,
              'if-range': resume.entityTag,
            }
          : call.headers,
        body: call.body,
        deadlineAt: call.deadlineAt,
        fingerprint: call.fingerprint,
        order: call.order,
      };
    };

    /** Refuses at once: no target that is left has room, and none will before its next answer. */
    const refuseFull = (): void => {
      results.push({ outcome: 'not-run', reason: QUEUE_FULL });
      finish(core.combineOutcomes(results), QUEUE_FULL);
    };

    const waitForTarget = (): void => {
      const result: core.AttemptResult = { outcome: 'not-run', reason: 'no-target' };
      results.push(result);
      const remainingMs = call.deadlineAt - clock.monotonic();
      if (results.length >= routing.maxAttempts || remainingMs <= NO_TARGET_PAUSE_MS) {
        finish(core.combineOutcomes(results), result.reason);
        return;
      }
      tried.clear();
      pauseTimer = setTimeout(() => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        startAttempt();
      }, NO_TARGET_PAUSE_MS * results.length);
    };

    const startAttempt = (): void => {
      if (isOver) return;
      const now = clock.monotonic();
      const choice = parts.table.choose(service.name, customer, tried, now);
      const member = choice && parts.getMember(choice.id);
      if (!choice || !member) {
        const isFull = parts.table.isFull(service.name, customer, now);
        log.info('no-target', { call: call.callId, service: service.name, isFull });
        if (isFull) refuseFull();
        else waitForTarget();
        return;
      }
      attemptCount += 1;
      tried.add(member.id);
      const record: AttemptRecord = {
        attemptId: `${call.callId}.${attemptCount}`,
        member,
        attempt: undefined,
        hasHead: false,
        isOver: false,
        timer: undefined,
      };
      current = record;
      log.info('route', {
        call: call.callId,
        service: service.name,
        target: member.id,
        reason: choice.reason,
        distance: choice.distance,
        passedOver: choice.passedOver.length > 0 ? choice.passedOver.join(',') : undefined,
      });
      parts.table.noteSent(member.id, now);
      const request = createRequest(record);
      const handler = createHandler(record);
      scheduleCheck(record);
      record.attempt = parts.isLocal(member.id)
        ? parts.runLocal(request, handler)
        : parts.runRemote(member, request, handler);
    };

    parts.budget.noteCall();
    writer.onDrain(() => current?.attempt?.resume());
    writer.onClose(() => {
      if (isOver || call.order) return;
      metrics.increment('ingress.cancelled');
      current?.attempt?.cancel();
      if (current) closeAttempt(current, 'cancelled');
      finish('unknown', 'cancelled');
    });
    startAttempt();
  };

  return { run };
}
