/** Logs responses that were cut, and the state of the connections when a stop ends them. */
import type * as http from 'node:http';
import type * as connectionTracker from '../connections/connection-tracker.js';
import type * as context from './context.js';
import * as lineLimits from './line-limit.js';

export type StopStage = 'serving' | 'draining' | 'closed' | 'destroyed';

export interface ConnectionLog {
  logCut(connection: connectionTracker.CutConnection): void;
  /** Logs the state of the connections at the beginning of a stage; following cuts state the stage. */
  logStage(stage: StopStage, counts: connectionTracker.ConnectionCounts): void;
}

/** A cut response is rare; a flood of them comes from one cause. */
const MAX_CUTS_PER_SECOND = 20;

/**
 * Creates the log of the connections of one server, `callers` or `peers`.
 *
 * @example
 * const connectionLog = createConnectionLog(ctx, 'peers', (request) => getCallId(request));
 */
export function createConnectionLog(
  { clock, log }: context.MeshContext,
  server: string,
  getCallId: (request: http.IncomingMessage) => string | undefined,
): ConnectionLog {
  const limit = lineLimits.createLineLimit(MAX_CUTS_PER_SECOND, clock);
  let stage: StopStage = 'serving';

  return {
    logCut({ responses, cause }) {
      const begun = responses.find(({ headersSent }) => headersSent);
      // Until the process stops, a call without any response shows in its own lines.
      const response = begun ?? (stage === 'serving' ? undefined : responses[0]);
      if (!response || !limit.tryTake()) return;
      log.warn('response-cut', {
        server,
        call: getCallId(response.req),
        stage,
        cause,
        status: begun?.statusCode,
        // False while the response is still being received from the target or from a peer.
        ended: response.writableEnded,
        calls: responses.length,
        omitted: limit.takeOmitted(),
      });
    },
    logStage(nextStage, counts) {
      stage = nextStage;
      log.info('connections', { server, stage, ...counts });
    },
  };
}
