import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as errors from './errors.js';

const LOG_TIMEOUT_MS = 2_000;
const RETRY_INTERVAL_MS = 200;
const CONFIG_STREAM = 'config';

export interface ConfigLog {
  /**
   * Reads the log and returns the configuration that results from its records.
   *
   * @throws UnknownResultError when the log cannot be read.
   */
  readState(): Promise<core.State>;
  /**
   * Appends a change and waits for the decision to accept or refuse it. The change is applied once,
   * however often it is appended.
   *
   * @throws UnknownResultError when there is no decision within `timeoutMs`.
   */
  submit(change: core.Change, timeoutMs: number): Promise<core.Decision>;
  close(): Promise<void>;
}

/**
 * Creates a client of the configuration log.
 *
 * @example
 * const configLog = createConfigLog('http://127.0.0.1:7000');
 * const state = await configLog.readState();
 */
export function createConfigLog(logUrl: string): ConfigLog {
  const logClient = runtime.createLogClient({ url: logUrl, timeoutMs: LOG_TIMEOUT_MS });
  let state = core.createEmptyState();

  const readNewState = async (): Promise<core.State> => {
    const { records } = await runtime.readAllRecords(logClient, CONFIG_STREAM, state.position + 1);
    const next = core.recoverState(state, records);
    if (!next) {
      throw new errors.UnknownResultError('the log no longer holds a snapshot to start from');
    }
    state = next;
    return state;
  };

  const findDecision = async (id: string): Promise<core.Decision | undefined> =>
    (await readNewState()).decisions.find((decision) => decision.id === id);

  return {
    async readState() {
      try {
        return await readNewState();
      } catch (error) {
        if (error instanceof errors.CommandError) throw error;
        throw new errors.UnknownResultError(`the log cannot be read: ${(error as Error).message}`);
      }
    },
    async submit(change, timeoutMs) {
      const deadline = Date.now() + timeoutMs;
      let lastFailure = '';
      let isAppended = false;
      do {
        /* eslint-disable no-await-in-loop -- sequential attempts */
        try {
          if (!isAppended) await logClient.append(CONFIG_STREAM, change);
          isAppended = true;
        } catch (error) {
          lastFailure = (error as Error).message;
        }
        try {
          const decision = await findDecision(change.id);
          if (decision) return decision;
        } catch (error) {
          lastFailure = (error as Error).message;
        }
        await timers.setTimeout(RETRY_INTERVAL_MS);
        /* eslint-enable no-await-in-loop */
      } while (Date.now() < deadline);
      throw new errors.UnknownResultError(
        `the result of the change is unknown: ${lastFailure}. It is safe to repeat the command with ` +
          `--change-id ${change.id}`,
      );
    },
    close: () => logClient.close(),
  };
}
