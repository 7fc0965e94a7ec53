/**
 * A circuit breaker per target: it opens after repeated failures and admits a probe call after a
 * pause.
 */

export type CircuitState = 'closed' | 'open' | 'half-open';

/** Options of a circuit breaker; durations in milliseconds. */
export interface CircuitBreakerOptions {
  failuresToOpen: number;
  /** Time within which the failures must occur. */
  windowMs: number;
  /** Time from opening until a probe is admitted, and from an unanswered probe until the next. */
  openMs: number;
}

export const circuitBreakerDefaults: CircuitBreakerOptions = {
  failuresToOpen: 5,
  windowMs: 5_000,
  openMs: 2_000,
};

/** The circuit breaker of one target. All times are monotonic and in milliseconds. */
export interface CircuitBreaker {
  getState(now: number): CircuitState;
  /** Whether a call may be sent. A half-open circuit admits one probe per `openMs`. */
  mayCall(now: number): boolean;
  /** Records that a call was sent; in the half-open state it counts as the probe. */
  recordSent(now: number): void;
  /** Closes the circuit. */
  recordSuccess(): void;
  /** Records a failure. Opens the circuit at the threshold; restarts `openMs` when not closed. */
  recordFailure(now: number): void;
}

/**
 * Creates a circuit breaker in the closed state.
 *
 * @example
 * const circuit = createCircuitBreaker(circuitBreakerDefaults);
 */
export function createCircuitBreaker(options: CircuitBreakerOptions): CircuitBreaker {
  let failures: number[] = [];
  let openedAt: number | undefined;
  let probeSentAt: number | undefined;

  const getState = (now: number): CircuitState => {
    if (openedAt === undefined) return 'closed';
    return now - openedAt >= options.openMs ? 'half-open' : 'open';
  };

  return {
    getState,
    mayCall(now) {
      const state = getState(now);
      if (state !== 'half-open') return state === 'closed';
      return probeSentAt === undefined || now - probeSentAt >= options.openMs;
    },
    recordSent(now) {
      if (getState(now) === 'half-open') probeSentAt = now;
    },
    recordSuccess() {
      failures = [];
      openedAt = undefined;
      probeSentAt = undefined;
    },
    recordFailure(now) {
      failures = [...failures.filter((at) => now - at < options.windowMs), now];
      const wasOpened = openedAt !== undefined;
      if (!wasOpened && failures.length < options.failuresToOpen) return;
      openedAt = now;
      probeSentAt = undefined;
    },
  };
}
