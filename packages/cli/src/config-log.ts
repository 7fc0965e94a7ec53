/** Reads the folded configuration from the log, and appends changes until they are decided. */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as errors from './errors.js';

const TIMEOUT_MS = 2_000;
const RETRY_MS = 200;
const STREAM = 'config';

/** The platform as the operator's commands use it. */
export interface Platform {
  /** @throws UnknownResultError when the log cannot be read. */
  readState(): Promise<core.State>;
  /**
   * Appends a change and waits until the log has decided it. The change folds once, however
   * often it is appended.
   *
   * @throws UnknownResultError when the time is over before that.
   */
  decide(change: core.Change, timeoutMs: number): Promise<core.Decision>;
  close(): Promise<void>;
}

/**
 * Creates the platform's client for operators.
 *
 * @example
 * const platform = createPlatform('http://127.0.0.1:7000');
 * const state = await platform.readState();
 */
export function createPlatform(logUrl: string): Platform {
  const log = runtime.createLogClient({ url: logUrl, timeoutMs: TIMEOUT_MS });
  let state = core.createState();

  const update = async (): Promise<core.State> => {
    const { records } = await runtime.readAll(log, STREAM, state.position + 1);
    const next = core.recoverState(state, records);
    if (!next) {
      throw new errors.UnknownResultError('the log no longer holds a snapshot to start from');
    }
    state = next;
    return state;
  };

  const findDecision = async (id: string): Promise<core.Decision | undefined> =>
    (await update()).decisions.find((decision) => decision.id === id);

  return {
    async readState() {
      try {
        return await update();
      } catch (error) {
        if (error instanceof errors.CommandError) throw error;
        throw new errors.UnknownResultError(`the log cannot be read: ${(error as Error).message}`);
      }
    },
    async decide(change, timeoutMs) {
      const until = Date.now() + timeoutMs;
      let reason = '';
      let isAppended = false;
      do {
        /* eslint-disable no-await-in-loop -- one try after the other */
        try {
          if (!isAppended) await log.append(STREAM, change);
          isAppended = true;
        } catch (error) {
          reason = (error as Error).message;
        }
        try {
          const decision = await findDecision(change.id);
          if (decision) return decision;
        } catch (error) {
          reason = (error as Error).message;
        }
        await timers.setTimeout(RETRY_MS);
        /* eslint-enable no-await-in-loop */
      } while (Date.now() < until);
      throw new errors.UnknownResultError(
        `the change is not decided: ${reason}. It is safe to repeat the command with ` +
          `--change-id ${change.id}`,
      );
    },
    close: () => log.close(),
  };
}
