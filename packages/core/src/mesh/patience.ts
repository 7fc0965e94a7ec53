/**
 * Learns how long to wait for a sign of life before a connection counts as silent. Load pattern:
 * hosts on narrow links, whose acknowledgements wait behind large answers of their own.
 */
import * as deviation from './deviation.js';

/** Settings of an estimate, in milliseconds. */
export interface PatienceOptions {
  minMs: number;
  maxMs: number;
  /** Weight of the newest sample. */
  gain: number;
  /** Mean deviations above the mean. */
  deviations: number;
  /** Share by which the wait grows each time that it was too short or in vain. */
  growth: number;
}

/** The usual choice for retransmission time-outs: a gain of one in eight and four deviations. */
export const patienceDefaults: Omit<PatienceOptions, 'minMs' | 'maxMs'> = {
  gain: 0.125,
  deviations: 4,
  growth: 0.5,
};

/** The estimate for one peer. */
export interface PatienceEstimate {
  note(tookMs: number): void;
  /** No sign of life came in time. */
  noteTimeout(): void;
  timeoutMs(): number;
}

/**
 * Creates an estimate that begins with the shortest wait.
 *
 * @example
 * const patience = createPatienceEstimate({ ...patienceDefaults, minMs: 300, maxMs: 900 });
 */
export function createPatienceEstimate(options: PatienceOptions): PatienceEstimate {
  const times: deviation.Deviation = { meanMs: 0, deviationMs: 0 };
  let grownMs = 0;

  return {
    note(tookMs) {
      deviation.addSample(times, tookMs, options.gain);
      grownMs *= 1 - options.gain;
    },
    noteTimeout() {
      grownMs = Math.min(options.maxMs, Math.max(grownMs, options.minMs) * (1 + options.growth));
    },
    timeoutMs() {
      const learnedMs = deviation.computeBoundMs(times, options.deviations);
      return Math.min(options.maxMs, Math.max(options.minMs, grownMs, learnedMs));
    },
  };
}
