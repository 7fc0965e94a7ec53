/** Performs what the call machine decides: sends, waits, answers. */
import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as answerModule from './answer.js';
import type * as bodies from './bodies.js';
import * as callAttempts from './call-attempts.js';
import * as callLog from './call-log.js';
import * as constants from './constants.js';
import type * as contextModule from './context.js';
import type * as peerClient from './peer-client.js';
import type * as targetPort from './target-port.js';
import type * as targetsModule from './targets.js';
import type * as types from './types.js';

/** A call as its caller sent it. */
export interface Call {
  callId: string;
  route: mesh.RoutePolicy;
  /** Version of the configuration that gave the route. */
  version: number;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
  /** True when a target made the call while it runs another one. */
  isNested: boolean;
  /** Monotonic times in milliseconds. */
  receivedAt: number;
  deadlineAt: number;
}

/** Writes the answer of a call; exactly one of these is used, once. */
export interface CallReply {
  deliver(answer: { status: number; headers: string[]; body: Buffer }): void;
  /** Passes on an answer that is too large to be held. */
  stream(answer: answerModule.Answer, received: readonly Buffer[]): void;
  refuse(status: number, retryAfterMs: number): void;
  abort(): void;
}

/** Runs calls to their end. */
export interface CallRunner {
  /** Starts a call and returns the function that tells it that its caller left. */
  run(call: Call, reply: CallReply): () => void;
}

/** What a runner needs. */
export interface CallRunnerInput {
  ctx: contextModule.MeshContext;
  targets: targetsModule.Targets;
  target: targetPort.TargetPort;
  peers: peerClient.PeerClient;
  held: bodies.HeldBytes;
  /** Processes that share the budget of second sends. */
  countProcesses: () => number;
}

/** Rank of calls that targets make: their parent already holds a slot elsewhere. */
const NESTED_RANK = -1;
/** Part of the shared budget that is used, so that unequal views of the fleet do not pass it. */
const BUDGET_SHARE = 0.6;
/** Time for an answer on its way back before the caller's own deadline, in milliseconds. */
const ANSWER_MARGIN_MS = 10;

type Performer<K extends mesh.CallEffect['type']> = (
  effect: Extract<mesh.CallEffect, { type: K }>,
) => void;

/**
 * Creates the runner of calls.
 *
 * @example
 * const leave = runner.run(call, reply);
 */
export function createCallRunner(input: CallRunnerInput): CallRunner {
  const { ctx, targets, target, peers, held, countProcesses } = input;
  const { settings, clock, metrics } = ctx;
  const splitter = mesh.createSplitter(ctx.random);
  const budgets = new Map<string, core.RetryBudget>();
  const calls = callLog.createCallLog(ctx);
  const times = mesh.createAnswerTimes(mesh.answerTimesDefaults);
  /** Of the answers of each route. */
  const sizes = mesh.createMeanSizes();

  const findBudget = (service: string): core.RetryBudget => {
    const known = budgets.get(service);
    if (known) return known;
    const reserve = Math.max(1, (settings.retries.reserve * BUDGET_SHARE) / countProcesses());
    const budget = core.createRetryBudget({
      ratio: settings.retries.ratio * BUDGET_SHARE,
      reserve,
    });
    budgets.set(service, budget);
    return budget;
  };

  const run = (call: Call, reply: CallReply): (() => void) => {
    const { route } = call;
    const service = splitter.choose(route);
    const budget = findBudget(service);
    budget.noteCall();
    const tried = new Set<string>();
    const fullHosts = new Set<string>();
    const limitAt = Math.min(call.deadlineAt, call.receivedAt + route.timeoutMs);
    const objectiveAt = Math.min(limitAt, call.receivedAt + route.objectiveMs);
    let isLate = false;
    const machine = mesh.createCallMachine({
      isRepeatable: route.isRepeatable,
      maxAttempts: route.maxAttempts,
      maxRefusals: constants.MAX_REFUSALS,
      maxLateRefusals: constants.MAX_LATE_REFUSALS,
      takeRetry: () => budget.takeRetry(),
    });
    const attempts = callAttempts.createCallAttempts((hostId) => targets.noteClosed(hostId));
    /** The attempt whose answer is passed on, and the host that it came from. */
    let answering: number | undefined;
    let hostId = '';
    let answer: callAttempts.WholeAnswer | undefined;
    let timer: NodeJS.Timeout | undefined;
    let overdueTimer: NodeJS.Timeout | undefined;

    const finish = (outcome: string, status: number): void => {
      clearTimeout(timer);
      clearTimeout(overdueTimer);
      const tookMs = clock.monotonic() - call.receivedAt;
      metrics.count('calls_total', { outcome });
      metrics.observe('call_ms', tookMs);
      calls.noteEnd(call, {
        service,
        outcome,
        status,
        tookMs,
        hostId,
        attempts: machine.attempts(),
        tried: tried.size,
      });
    };

    const handle = (event: mesh.CallEvent): void =>
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call one another
      machine.handle(event).forEach((effect) => perform(effect));

    const receive = (received: answerModule.Answer, number: number, host: string): void => {
      callAttempts.gatherAnswer(received, held, {
        onLarge(chunks) {
          answering = number;
          hostId = host;
          handle({ type: 'streaming' });
          clearTimeout(timer);
          clearTimeout(overdueTimer);
          reply.stream(received, chunks);
        },
        onPassed() {
          attempts.settle(number);
          handle({ type: 'answered', isFailure: false });
        },
        onWhole(whole) {
          const ended = attempts.settle(number);
          if (!ended) return;
          answer = whole;
          hostId = host;
          sizes.note(route.name, whole.body.length);
          const isFailure = whole.status >= constants.HTTP.firstServerError;
          if (isFailure) {
            const cause = String(whole.status);
            calls.noteAttempt(call, { hostId: host, result: 'failed', cause });
          } else times.note(route.name, clock.monotonic() - ended.openedAt);
          handle({ type: 'answered', isFailure });
        },
        onCut() {
          if (!attempts.settle(number)) return;
          calls.noteAttempt(call, { hostId: host, result: 'cut', cause: 'answer-incomplete' });
          handle({ type: 'broken' });
        },
      });
    };

    const createHandler = (
      host: string,
      number: number,
      openedAt: number,
    ): peerClient.PeerAttemptHandler => ({
      takeBody: () => Promise.resolve(attempts.has(number) ? call.body : undefined),
      onHeard: () => targets.noteHeard(host),
      onLoad: (load) => targets.noteLoad(host, load),
      onHead(received) {
        if (attempts.has(number)) receive(received, number, host);
        else received.message.destroy();
      },
      onRefused(reason, retryAfterMs) {
        if (reason === 'unreachable') targets.noteSilent(host, openedAt);
        if (reason === 'full') fullHosts.add(host);
        if (!attempts.settle(number)) return;
        calls.noteAttempt(call, { hostId: host, result: 'refused', cause: reason });
        handle({ type: 'refused', reason, retryAfterMs });
      },
      onBroken(cause) {
        if (!attempts.settle(number)) return;
        calls.noteAttempt(call, { hostId: host, result: 'broken', cause });
        handle({ type: 'broken' });
      },
    });

    /** Watches for an answer that takes much longer than usual, where a second send may help. */
    const watchOverdue = (): void => {
      clearTimeout(overdueTimer);
      const afterMs = times.overdueAfterMs(route.name);
      if (!route.isRepeatable || attempts.count() !== 1 || afterMs === undefined) return;
      if (clock.monotonic() + afterMs >= limitAt) return;
      overdueTimer = setTimeout(() => {
        // Where all targets are busy, a call is overdue since it waits; another would wait as well.
        if (targets.hasRoom(service, tried)) handle({ type: 'overdue' });
      }, afterMs);
    };

    const send = (mayBeLate: boolean): void => {
      // Hosts that had no room in time are asked once more, for room before the deadline.
      if (mayBeLate && !isLate) fullHosts.forEach((host) => tried.delete(host));
      isLate = mayBeLate;
      const placement = targets.choose(service, tried, {
        answerKilobytes: sizes.meanBytes(route.name) / mesh.BYTES_PER_KILOBYTE,
        mayBeLate,
      });
      const endpoint = placement && targets.endpoint(placement.hostId);
      if (!placement || !endpoint) {
        handle({ type: 'no-target' });
        return;
      }
      const host = placement.hostId;
      hostId = host;
      tried.add(host);
      targets.noteOpened(host);
      const openedAt = clock.monotonic();
      const number = attempts.open(host, openedAt);
      const handler = createHandler(host, number, openedAt);
      const request: types.Attempt = {
        callId: call.callId,
        service,
        route: route.name,
        method: call.method,
        path: call.path,
        headers: call.headers,
        isRepeatable: route.isRepeatable,
        mayBeLate,
        rank: call.isNested ? NESTED_RANK : route.rank,
        objectiveAt,
        deadlineAt: limitAt,
      };
      const opened =
        host === settings.id
          ? target.run(request, handler, 0)
          : peers.run(endpoint, request, handler);
      attempts.bind(number, opened);
      if (attempts.has(number)) watchOverdue();
    };

    const performers: { [K in mesh.CallEffect['type']]: Performer<K> } = {
      send: ({ mayBeLate }) => send(mayBeLate),
      cancel() {
        calls.noteAttempt(call, { hostId, result: 'cancelled', cause: 'not-needed' });
        attempts.cancel(answering);
      },
      deliver() {
        finish('delivered', answer?.status ?? 0);
        if (answer) reply.deliver(answer);
      },
      answer({ outcome, status, retryAfterMs }) {
        finish(outcome, status);
        reply.refuse(status, retryAfterMs);
      },
      abort: () => reply.abort(),
    };

    const perform = (effect: mesh.CallEffect): void =>
      (performers[effect.type] as Performer<mesh.CallEffect['type']>)(effect);

    const expire = (): void => {
      const isUnsent = attempts.cancel(undefined);
      handle({ type: 'timeout', isUnsent });
    };

    timer = setTimeout(expire, Math.max(0, limitAt - ANSWER_MARGIN_MS - clock.monotonic()));
    handle({ type: 'start' });
    return () => {
      if (machine.isOver()) return;
      handle({ type: 'caller-left' });
      finish('caller-left', 0);
    };
  };

  return { run };
}
