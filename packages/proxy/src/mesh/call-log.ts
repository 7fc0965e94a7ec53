/** Writes what decided about each call, with a bound on the lines of ordinary calls. */
import type * as callRunner from './call-runner.js';
import type * as contextModule from './context.js';

/** How a call ended. */
export interface CallEnd {
  service: string;
  outcome: string;
  status: number;
  tookMs: number;
  hostId: string;
  /** Sends that may have reached a target. */
  attempts: number;
  /** Hosts that were asked. */
  tried: number;
}

/** Log of the calls of one process. */
export interface CallLog {
  noteAttempt(
    call: callRunner.Call,
    facts: { hostId: string; result: string; cause: string },
  ): void;
  noteEnd(call: callRunner.Call, end: CallEnd): void;
}

const SECOND_MS = 1_000;
const HTTP_FIRST_FAILURE = 500;

/**
 * Creates the log; ordinary calls past the bound are counted and told with the next line.
 *
 * @example
 * const calls = createCallLog(ctx);
 */
export function createCallLog(ctx: contextModule.MeshContext): CallLog {
  const { settings, clock, log } = ctx;
  let second = 0;
  let lines = 0;
  let omitted = 0;

  const isRoom = (): boolean => {
    const current = Math.floor(clock.monotonic() / SECOND_MS);
    if (current !== second) {
      second = current;
      lines = 0;
    }
    lines += 1;
    return lines <= settings.log.callsPerSecond;
  };

  return {
    noteAttempt(call, { hostId, result, cause }) {
      log.info('attempt', { call: call.callId, host: hostId, result, cause });
    },
    noteEnd(call, end) {
      const isOrdinary = end.outcome === 'delivered' && end.status < HTTP_FIRST_FAILURE;
      if (isOrdinary && !isRoom()) {
        omitted += 1;
        return;
      }
      log[isOrdinary ? 'info' : 'warn']('call', {
        call: call.callId,
        route: call.route.name,
        version: call.version,
        service: end.service,
        nested: call.isNested || undefined,
        host: end.hostId,
        outcome: end.outcome,
        status: end.status,
        tookMs: Math.round(end.tookMs),
        attempts: end.attempts,
        tried: end.tried,
        omitted: omitted || undefined,
      });
      omitted = 0;
    },
  };
}
