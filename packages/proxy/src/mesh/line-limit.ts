import type * as core from '@figshed/core';

/** Limits the log lines of one kind and counts those that were omitted. */
export interface LineLimit {
  /** Returns whether a line may be written now; counts it as omitted if not. */
  tryTake(): boolean;
  /** Returns the number of lines omitted since the last call; undefined if there were none. */
  takeOmitted(): number | undefined;
}

const SECOND_MS = 1_000;

/**
 * Creates a limit of `linesPerSecond`.
 *
 * @example
 * if (limit.tryTake()) log.info('call', { omitted: limit.takeOmitted() });
 */
export function createLineLimit(linesPerSecond: number, clock: core.Clock): LineLimit {
  let currentSecond = 0;
  let linesInSecond = 0;
  let omittedLines = 0;
  return {
    tryTake() {
      const second = Math.floor(clock.monotonic() / SECOND_MS);
      if (second !== currentSecond) {
        currentSecond = second;
        linesInSecond = 0;
      }
      linesInSecond += 1;
      if (linesInSecond <= linesPerSecond) return true;
      omittedLines += 1;
      return false;
    },
    takeOmitted() {
      const omitted = omittedLines || undefined;
      omittedLines = 0;
      return omitted;
    },
  };
}
