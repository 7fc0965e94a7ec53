/**
 * Adaptive acknowledgement time-out of a peer, after which a connection counts as half-open. It
 * adapts because hosts on narrow links send acknowledgements late, queued behind their own large
 * responses.
 */
import * as movingAverage from './moving-average.js';

export interface AckTimeoutOptions {
  /** Minimum time-out, which is also the initial one, in milliseconds. */
  minMs: number;
  maxMs: number;
  /** Weight of the newest sample in the moving averages. */
  gain: number;
  /** The time-out is the mean plus this many mean deviations. */
  deviationFactor: number;
  /** Share by which the back-off increases each time that the time-out elapses. */
  backOffShare: number;
}

/** Gain and factor are those of the TCP retransmission time-out; its deviation gain is 0.25. */
export const ackTimeoutDefaults: Omit<AckTimeoutOptions, 'minMs' | 'maxMs'> = {
  gain: 0.125,
  deviationFactor: 4,
  backOffShare: 0.5,
};

export interface AckTimeout {
  /** Records the time until an acknowledgement arrived; reduces the back-off. */
  addSample(tookMs: number): void;
  /** Records that the time-out has elapsed without an acknowledgement; increases the back-off. */
  recordTimeout(): void;
  getTimeoutMs(): number;
}

/**
 * Creates a time-out that starts at its minimum.
 *
 * @example
 * const timeout = createAckTimeout({ ...ackTimeoutDefaults, minMs: 300, maxMs: 900 });
 */
export function createAckTimeout(options: AckTimeoutOptions): AckTimeout {
  const ackTimes: movingAverage.MovingAverage = { meanMs: 0, deviationMs: 0 };
  let backOffMs = 0;

  return {
    addSample(tookMs) {
      movingAverage.addSample(ackTimes, tookMs, options.gain);
      backOffMs *= 1 - options.gain;
    },
    recordTimeout() {
      backOffMs = Math.min(
        options.maxMs,
        Math.max(backOffMs, options.minMs) * (1 + options.backOffShare),
      );
    },
    getTimeoutMs() {
      const estimatedMs = movingAverage.computeUpperBoundMs(ackTimes, options.deviationFactor);
      return Math.min(options.maxMs, Math.max(options.minMs, backOffMs, estimatedMs));
    },
  };
}
