/** Logs attempts and finished calls, with a rate limit on the lines of successful calls. */
import type * as calls from './call.js';
import type * as context from './context.js';
import * as lineLimits from './line-limit.js';

export interface CallSummary {
  service: string;
  outcome: string;
  status: number;
  tookMs: number;
  hostId: string;
  /** Number of ended attempts that ran or may have run at a target. */
  attempts: number;
  /** Number of hosts that were tried. */
  tried: number;
  /** Retries and hedged requests that the retry budget did not allow. */
  deniedRetries: number;
  /** Expected work of the call, relative to the mean of its service. */
  work: number;
  /** Expected time at the last target, and the time that it took if it responded. */
  expectedMs: number | undefined;
  ranMs: number | undefined;
}

export interface CallLog {
  logAttempt(
    call: calls.Call,
    details: { hostId: string; result: string; cause: string; tookMs?: number },
  ): void;
  logCall(call: calls.Call, summary: CallSummary): void;
}

const HTTP_FIRST_SERVER_ERROR = 500;

const roundIfKnown = (value: number | undefined): number | undefined =>
  value === undefined ? undefined : Math.round(value);

/**
 * Creates the log. Successful calls above `log.callsPerSecond` are not logged; the next line states
 * their number as `omitted`. Failures are always logged.
 *
 * @example
 * const logger = createCallLog(ctx);
 */
export function createCallLog(ctx: context.MeshContext): CallLog {
  const { settings, clock, log } = ctx;
  const limit = lineLimits.createLineLimit(settings.log.callsPerSecond, clock);

  return {
    logAttempt(call, { hostId, result, cause, tookMs }) {
      log.info('attempt', {
        call: call.callId,
        host: hostId,
        result,
        cause,
        tookMs: roundIfKnown(tookMs),
      });
    },
    logCall(call, summary) {
      const isSuccessful =
        summary.outcome === 'delivered' && summary.status < HTTP_FIRST_SERVER_ERROR;
      if (isSuccessful && !limit.tryTake()) return;
      log[isSuccessful ? 'info' : 'warn']('call', {
        call: call.callId,
        route: call.route.name,
        account: call.account?.name,
        version: call.version,
        service: summary.service,
        nested: call.isNested || undefined,
        host: summary.hostId,
        outcome: summary.outcome,
        status: summary.status,
        tookMs: Math.round(summary.tookMs),
        attempts: summary.attempts,
        tried: summary.tried,
        deniedRetries: summary.deniedRetries || undefined,
        work: Number(summary.work.toFixed(2)),
        expectedMs: roundIfKnown(summary.expectedMs),
        ranMs: roundIfKnown(summary.ranMs),
        omitted: limit.takeOmitted(),
      });
    },
  };
}
