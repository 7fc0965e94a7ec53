/** Runs attempts at the target on this host, within its slots and while its gate is open. */
import * as http from 'node:http';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as answerModule from './answer.js';
import * as constants from './constants.js';
import type * as contextModule from './context.js';
import * as guardedAgent from './guarded-agent.js';
import * as headersModule from './headers.js';
import type * as types from './types.js';

/** The proxy's side of the target beside it. */
export interface TargetPort {
  /** `deliveryMs` is what the answer's way to the caller is expected to take. */
  run(attempt: types.Attempt, handler: types.AttemptHandler, deliveryMs: number): types.OpenAttempt;
  announce(announcement: mesh.TargetAnnouncement): mesh.GateVerdict;
  deregister(id: string, bornAt: number | undefined): mesh.GateVerdict;
  load(): mesh.SlotLoad & Pick<mesh.TargetLoad, 'failureShare'>;
  current(): mesh.OpenTarget | undefined;
  isCold(): boolean;
  openAttempts(): number;
  /** Tells whether the target runs the call that made this one, whose id then extends the other. */
  runsParentOf(callId: string): boolean;
  stop(): void;
}

/** Weight of the newest call in the moving share of failures. */
const FAILURE_GAIN = 0.1;
/** Separates the id of a call from what a target appends to it for calls of its own. */
const NO_ID_CHARACTER = /[^0-9A-Za-z]/;
/** Idle time of connections to the target; under half of what targets allow. */
const TARGET_IDLE_MS = 4_000;

interface Open {
  attempt: types.Attempt;
  handler: types.AttemptHandler;
  /** The request at the target, once it was sent. */
  request: http.ClientRequest | undefined;
  instance: string;
  sentAt: number;
  isCancelled: boolean;
}

/** What a target port needs. */
export interface TargetPortInput {
  ctx: contextModule.MeshContext;
  endpoint: core.Endpoint;
  /** Hears when the target may no longer be called, or again. */
  onChange: () => void;
}

/**
 * Creates the port to one target; it is closed until the target announces itself.
 *
 * @example
 * const port = createTargetPort({ ctx, endpoint: settings.target, onChange });
 */
export function createTargetPort(input: TargetPortInput): TargetPort {
  const { ctx, endpoint, onChange } = input;
  const { clock, log, metrics, protocol } = ctx;
  const gate = mesh.createTargetGate();
  const queue = mesh.createSlotQueue(1, mesh.slotQueueDefaults);
  const agent = guardedAgent.createAgent(TARGET_IDLE_MS);
  const dropped = new Set([protocol.deadlineMs, protocol.expectInstance, protocol.notRun]);
  const open = new Map<string, Open>();
  let failureShare = 0;
  let nextKey = 0;
  let isAnnouncedCold = false;
  let timer: NodeJS.Timeout | undefined;

  const isCold = (): boolean => (gate.current()?.coldUntil ?? 0) > clock.monotonic();

  const noteOutcome = (failed: boolean): void => {
    failureShare += ((failed ? 1 : 0) - failureShare) * FAILURE_GAIN;
  };

  const refuse = (key: string, reason: mesh.RefusalReason, retryAfterMs = 0): void => {
    const entry = open.get(key);
    if (!entry) return;
    open.delete(key);
    metrics.count('attempts_refused_total', { reason });
    log.info('attempt-refused', {
      call: entry.attempt.callId,
      reason,
      target: gate.current()?.id,
      ...queue.load(clock.monotonic()),
    });
    entry.handler.onRefused(reason, retryAfterMs);
  };

  const perform = (effects: readonly mesh.SlotEffect[]): void => {
    effects.forEach((effect) => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a slot that frees starts the next call
      if (effect.type === 'run') begin(effect.id, effect.waitedMs);
      else refuse(effect.id, effect.reason, effect.retryAfterMs);
    });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    if (queue.hasWaiting()) timer ??= setTimeout(tick, constants.QUEUE_TICK_MS);
  };

  /** Refuses calls that can no longer be served; runs only while calls wait. */
  const tick = (): void => {
    timer = undefined;
    perform(queue.tick(clock.monotonic()));
  };

  const release = (key: string, serviceMs?: number): void => {
    perform(queue.release(key, serviceMs, clock.monotonic()));
  };

  /** Frees the slot of a call that was given up at the target. */
  const abandon = (key: string, { sentAt }: Open): void => {
    const now = clock.monotonic();
    perform(queue.abandon(key, now - sentAt, now));
  };

  const finishBroken = (key: string, cause: string): void => {
    const entry = open.get(key);
    if (!entry) return;
    open.delete(key);
    noteOutcome(true);
    metrics.count('attempts_broken_total');
    log.warn('attempt-broken', { call: entry.attempt.callId, cause, target: entry.instance });
    entry.handler.onBroken(cause);
    abandon(key, entry);
  };

  const finishRefused = (key: string, reason: mesh.RefusalReason): void => {
    refuse(key, reason);
    release(key);
  };

  const markDown = (instance: string, cause: string): void => {
    if (!gate.markDown(instance)) return;
    log.warn('target-down', { target: instance, cause });
    queue.drain().forEach((key) => refuse(key, 'target-down'));
    onChange();
  };

  const handleHead = (key: string, message: http.IncomingMessage, isWhole: () => boolean): void => {
    const entry = open.get(key);
    const status = message.statusCode ?? 0;
    if (!entry) {
      message.destroy();
      return;
    }
    const { headers } = message;
    if (status === constants.HTTP.misdirected) {
      message.resume();
      markDown(entry.instance, 'another-instance');
      finishRefused(key, 'wrong-instance');
      return;
    }
    if (headers[protocol.notRun] !== undefined) {
      message.resume();
      noteOutcome(true);
      finishRefused(key, 'target-refused');
      return;
    }
    // An answer of another request, or one that no target made, must not reach the caller.
    const isOwn = headers[protocol.callId] === entry.attempt.callId;
    if (!isOwn || headers[protocol.signature] === undefined) {
      message.destroy();
      finishBroken(key, isOwn ? 'answer-without-signature' : 'answer-of-another-call');
      return;
    }
    const settle = (): void => {
      if (!open.delete(key)) return;
      const tookMs = clock.monotonic() - entry.sentAt;
      noteOutcome(!isWhole() || status >= constants.HTTP.firstServerError);
      metrics.observe('target_ms', tookMs);
      release(key, isWhole() && status < constants.HTTP.firstError ? tookMs : undefined);
    };
    message.once('close', settle);
    entry.handler.onHead({
      status,
      headers: headersModule.copyHeaders(message.rawHeaders, new Set()),
      message,
      isWhole,
    });
  };

  const send = (key: string, entry: Open, body: Buffer): void => {
    const target = gate.current();
    const now = clock.monotonic();
    const leftMs = Math.floor(entry.attempt.deadlineAt - now);
    if (!target || target.service !== entry.attempt.service) {
      finishRefused(key, target ? 'wrong-instance' : gate.closedBecause());
      return;
    }
    if (leftMs <= 0) {
      finishRefused(key, 'too-late');
      return;
    }
    const { attempt } = entry;
    let isConnected = false;
    entry.instance = target.id;
    entry.sentAt = now;
    const hasBody = body.length > 0 || (attempt.method !== 'GET' && attempt.method !== 'HEAD');
    const request = http.request({
      agent,
      host: endpoint.address,
      port: endpoint.port,
      method: attempt.method,
      path: attempt.path,
      headers: [
        ...headersModule.copyHeaders(attempt.headers, dropped),
        protocol.deadlineMs,
        String(leftMs),
        protocol.expectInstance,
        target.id,
        ...(hasBody ? ['Content-Length', String(body.length)] : []),
      ],
    });
    entry.request = request;
    const overrun = setTimeout(() => {
      request.destroy(new Error('deadline-overrun'));
    }, leftMs + constants.DEADLINE_SLACK_MS);
    request.once('close', () => clearTimeout(overrun));
    guardedAgent.watchConnect(
      request,
      constants.TARGET_CONNECT_TIMEOUT_MS,
      () => {
        isConnected = true;
      },
      () => request.destroy(new Error('connect-timeout')),
    );
    request.on('response', (message) => {
      message.on('error', () => undefined);
      handleHead(key, message, answerModule.watchAnswer(request, message));
    });
    request.on('error', (error) => {
      if (!open.has(key)) return;
      if (isConnected) {
        finishBroken(key, error.message);
        return;
      }
      markDown(entry.instance, error.message);
      finishRefused(key, 'target-down');
    });
    request.end(body);
  };

  const begin = (key: string, waitedMs: number): void => {
    const entry = open.get(key);
    if (!entry) {
      release(key);
      return;
    }
    metrics.observe('queue_ms', waitedMs);
    entry.handler
      .takeBody()
      .then((body) => {
        if (entry.isCancelled || !body) {
          open.delete(key);
          release(key);
          return;
        }
        send(key, entry, body);
      })
      .catch((error: Error) => {
        open.delete(key);
        log.error('attempt-body-failed', { call: entry.attempt.callId, message: error.message });
        release(key);
      });
  };

  const cancel = (key: string): boolean => {
    const entry = open.get(key);
    if (!entry || entry.isCancelled) return false;
    entry.isCancelled = true;
    if (queue.cancel(key)) {
      open.delete(key);
      return true;
    }
    if (!entry.request) return true;
    // What must not run twice is left to end: its caller may have gone, but its work counts.
    if (!entry.attempt.isRepeatable) return false;
    open.delete(key);
    entry.request.destroy();
    abandon(key, entry);
    return false;
  };

  const noteVerdict = (verdict: mesh.GateVerdict, id: string, cause: string): mesh.GateVerdict => {
    if (verdict === 'kept') return verdict;
    log.info('target-gate', { target: id, verdict, cause });
    if (verdict === 'closed') queue.drain().forEach((key) => refuse(key, 'draining'));
    if (verdict !== 'stale') onChange();
    return verdict;
  };

  return {
    run(attempt, handler, deliveryMs) {
      nextKey += 1;
      const key = `${attempt.callId}|${nextKey}`;
      const now = clock.monotonic();
      open.set(key, {
        attempt,
        handler,
        request: undefined,
        instance: '',
        sentAt: now,
        isCancelled: false,
      });
      const target = gate.current();
      if (!target) refuse(key, gate.closedBecause());
      else if (target.service !== attempt.service) refuse(key, 'wrong-instance');
      else {
        const { route, rank, mayBeLate } = attempt;
        const objectiveAt = attempt.objectiveAt - deliveryMs;
        const deadlineAt = attempt.deadlineAt - deliveryMs;
        const request = { id: key, kind: route, rank, mayBeLate, objectiveAt, deadlineAt };
        perform(queue.offer(request, now));
      }
      return { cancel: () => cancel(key) };
    },
    announce(announcement) {
      const now = clock.monotonic();
      const wasCold = isAnnouncedCold;
      const verdict = gate.announce(announcement, now);
      isAnnouncedCold = isCold();
      const target = gate.current();
      if (target) perform(queue.setSlots(target.slots, now));
      if (verdict === 'opened') failureShare = 0;
      if (verdict === 'kept' && wasCold && !isCold()) onChange();
      return noteVerdict(verdict, announcement.id, announcement.state);
    },
    deregister: (id, bornAt) => noteVerdict(gate.deregister(id, bornAt), id, 'deregistered'),
    load: () => ({ ...queue.load(clock.monotonic()), failureShare }),
    current: () => gate.current(),
    isCold,
    openAttempts: () => open.size,
    runsParentOf: (callId) =>
      [...open.values()].some(
        ({ request, attempt }) =>
          request !== undefined &&
          callId.startsWith(attempt.callId) &&
          NO_ID_CHARACTER.test(callId.charAt(attempt.callId.length)),
      ),
    stop() {
      clearTimeout(timer);
      agent.destroy();
    },
  };
}
