import type * as context from './context.js';

/** Wraps the callbacks of one call or attempt, so that an exception ends it and not the process. */
export interface CallGuard {
  /** Wraps a callback; `cleanUp` runs after an exception, before the call is ended. */
  wrap<A extends unknown[]>(
    callback: (...args: A) => void,
    cleanUp?: () => void,
  ): (...args: A) => void;
  /** Wraps all functions of an object; the others keep their values. */
  wrapAll<T extends object>(callbacks: T, cleanUp?: () => void): T;
}

/**
 * Creates a guard. After an exception it calls `end`, which must end the call as one that may have run
 * unless it is certain that it has not, and give back what the call holds. `end` may be called again.
 *
 * @example
 * const guard = createCallGuard(ctx, call.callId, () => fail('internal-error'));
 * request.on('response', guard.wrap(handleResponse));
 */
export function createCallGuard(
  ctx: Pick<context.MeshContext, 'log' | 'metrics'>,
  callId: string | undefined,
  end: () => void,
): CallGuard {
  const recordFailure = (step: string, error: unknown): void => {
    const { message, stack } = error as Error;
    ctx.metrics.count('callback_failures_total', { step });
    ctx.log.error('callback-failed', { call: callId, step, message, stack });
  };

  const tryStep = (step: string, run: () => void): void => {
    try {
      run();
    } catch (error) {
      recordFailure(step, error);
    }
  };

  const handleFailure = (error: unknown, cleanUp: (() => void) | undefined): void => {
    recordFailure('callback', error);
    if (cleanUp) tryStep('clean-up', cleanUp);
    tryStep('end', end);
  };

  const guardFunction =
    <A extends unknown[], R>(callback: (...args: A) => R, cleanUp?: () => void) =>
    (...args: A): R | undefined => {
      try {
        return callback(...args);
      } catch (error) {
        handleFailure(error, cleanUp);
        return undefined;
      }
    };

  return {
    wrap: guardFunction,
    wrapAll(callbacks, cleanUp) {
      const entries = Object.entries(callbacks).map(([name, value]: [string, unknown]) => [
        name,
        typeof value === 'function'
          ? guardFunction(value as (...args: unknown[]) => unknown, cleanUp)
          : value,
      ]);
      return Object.fromEntries(entries) as typeof callbacks;
    },
  };
}
