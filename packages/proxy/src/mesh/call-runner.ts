/** Performs what the call machine decides: sends, waits, answers. */
import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as answerModule from './answer.js';
import type * as bodies from './bodies.js';
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

/** Weight of the newest answer in the mean size of a route's answers. */
const SIZE_GAIN = 0.1;
const BYTES_PER_KILOBYTE = 1_024;

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
  /** Moving mean of the answers of each route, in kilobytes. */
  const sizes = new Map<string, number>();

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

  const noteSize = (name: string, bytes: number): void => {
    const kilobytes = bytes / BYTES_PER_KILOBYTE;
    const known = sizes.get(name) ?? kilobytes;
    sizes.set(name, known + (kilobytes - known) * SIZE_GAIN);
  };

  const run = (call: Call, reply: CallReply): (() => void) => {
    const { route } = call;
    const service = splitter.choose(route);
    const budget = findBudget(service);
    budget.noteCall();
    const tried = new Set<string>();
    const fullHosts = new Set<string>();
    const limitAt = Math.min(call.deadlineAt, call.receivedAt + route.timeoutMs);
    const machine = mesh.createCallMachine({
      isRepeatable: route.isRepeatable,
      maxAttempts: route.maxAttempts,
      maxRefusals: constants.MAX_REFUSALS,
      takeRetry: () => budget.takeRetry(),
    });
    let attempt: types.OpenAttempt | undefined;
    /** Takes the open attempt off the count of its host; does nothing the second time. */
    let closeAttempt = (): void => undefined;
    let attemptNumber = 0;
    let hostId = '';
    let answer: { status: number; headers: string[]; body: Buffer } | undefined;
    let timer: NodeJS.Timeout | undefined;

    const finish = (outcome: string, status: number): void => {
      clearTimeout(timer);
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

    /** Gathers an answer until it is whole or too large to be held. */
    const receive = (received: answerModule.Answer, number: number, close: () => void): void => {
      const { status, headers, message } = received;
      const chunks: Buffer[] = [];
      let size = 0;
      let isStreaming = false;
      const isCurrent = (): boolean => number === attemptNumber && !machine.isOver();
      const stream = (): void => {
        isStreaming = true;
        held.release(size);
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call one another
        handle({ type: 'streaming' });
        message.removeAllListeners('data');
        clearTimeout(timer);
        reply.stream(received, chunks);
      };
      message.on('data', (chunk: Buffer) => {
        if (isStreaming) return;
        chunks.push(chunk);
        if (!held.take(chunk.length)) {
          stream();
          return;
        }
        size += chunk.length;
        if (size > constants.MAX_HELD_ANSWER_BYTES) stream();
      });
      message.once('close', () => {
        close();
        if (isStreaming) {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
          handle({ type: 'answered', isFailure: false });
          return;
        }
        held.release(size);
        if (!isCurrent()) return;
        attempt = undefined;
        if (!received.isWhole()) {
          calls.noteAttempt(call, { hostId, result: 'cut', cause: 'answer-incomplete' });
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
          handle({ type: 'broken' });
          return;
        }
        answer = { status, headers, body: Buffer.concat(chunks, size) };
        noteSize(route.name, size);
        const isFailure = status >= constants.HTTP.firstServerError;
        if (isFailure) calls.noteAttempt(call, { hostId, result: 'failed', cause: String(status) });
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
        handle({ type: 'answered', isFailure });
      });
    };

    const createHandler = (
      host: string,
      number: number,
      close: () => void,
    ): peerClient.PeerAttemptHandler => {
      const isCurrent = (): boolean => number === attemptNumber && !machine.isOver();
      return {
        takeBody: () => Promise.resolve(isCurrent() ? call.body : undefined),
        onLoad(load) {
          targets.noteLoad(host, load);
          targets.noteAnswered(host);
        },
        onHead(received) {
          if (!isCurrent()) {
            close();
            received.message.destroy();
            return;
          }
          receive(received, number, close);
        },
        onRefused(reason, retryAfterMs) {
          close();
          if (reason === 'unreachable') targets.noteSilent(host);
          if (reason === 'full') fullHosts.add(host);
          if (!isCurrent()) return;
          attempt = undefined;
          calls.noteAttempt(call, { hostId: host, result: 'refused', cause: reason });
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
          handle({ type: 'refused', reason, retryAfterMs });
        },
        onBroken(cause) {
          close();
          if (!isCurrent()) return;
          attempt = undefined;
          calls.noteAttempt(call, { hostId: host, result: 'broken', cause });
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
          handle({ type: 'broken' });
        },
      };
    };

    const send = (mayBeLate: boolean): void => {
      // Hosts that had no room in time are asked once more, for room before the deadline.
      if (mayBeLate) fullHosts.forEach((host) => tried.delete(host));
      const placement = targets.choose(service, tried, sizes.get(route.name) ?? 0);
      const endpoint = placement && targets.endpoint(placement.hostId);
      if (!placement || !endpoint) {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
        handle({ type: 'no-target' });
        return;
      }
      hostId = placement.hostId;
      tried.add(hostId);
      attemptNumber += 1;
      const number = attemptNumber;
      targets.noteOpened(hostId);
      const host = hostId;
      let isClosed = false;
      const close = (): void => {
        if (!isClosed) targets.noteClosed(host);
        isClosed = true;
      };
      closeAttempt = close;
      const handler = createHandler(host, number, close);
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
        objectiveAt: Math.min(limitAt, call.receivedAt + route.objectiveMs),
        deadlineAt: limitAt,
      };
      const opened =
        hostId === settings.id
          ? target.run(request, handler)
          : peers.run(endpoint, request, handler);
      if (number === attemptNumber && !machine.isOver()) attempt = opened;
    };

    const perform = (effect: mesh.CallEffect): void => {
      if (effect.type === 'send') send(effect.mayBeLate);
      else if (effect.type === 'cancel') {
        calls.noteAttempt(call, { hostId, result: 'cancelled', cause: 'no-answer-in-time' });
        attempt?.cancel();
        attempt = undefined;
        closeAttempt();
      } else if (effect.type === 'deliver') {
        finish('delivered', answer?.status ?? 0);
        if (answer) reply.deliver(answer);
      } else if (effect.type === 'answer') {
        finish(effect.outcome, effect.status);
        reply.refuse(effect.status, effect.retryAfterMs);
      } else reply.abort();
    };

    const handle = (event: mesh.CallEvent): void => machine.handle(event).forEach(perform);

    timer = setTimeout(
      () => handle({ type: 'timeout', isUnsent: attempt?.cancel() ?? false }),
      Math.max(0, limitAt - ANSWER_MARGIN_MS - clock.monotonic()),
    );
    handle({ type: 'start' });
    return () => {
      if (machine.isOver()) return;
      handle({ type: 'caller-left' });
      finish('caller-left', 0);
    };
  };

  return { run };
}
