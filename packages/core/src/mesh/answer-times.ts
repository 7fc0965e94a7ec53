/**
 * Learns how long answers of each kind take, and from when on one counts as overdue. Load pattern:
 * single targets that turn slow, fall silent or lose answers while most others are well; their
 * calls are worth a second send long before their deadline, the slow tail of a healthy target is
 * not.
 */
import * as deviation from './deviation.js';

/** Settings of the times. */
export interface AnswerTimesOptions {
  /** Weight of the newest answer. */
  gain: number;
  /** Answers before anything counts as overdue. */
  minSamples: number;
  /** An answer is overdue this many mean deviations above the mean, */
  deviations: number;
  /** and never before this multiple of the mean. */
  minMultiple: number;
}

export const answerTimesDefaults: AnswerTimesOptions = {
  gain: 0.05,
  minSamples: 20,
  // Three in a hundred answers of a long-tailed target; well within the budget of second sends.
  deviations: 4,
  minMultiple: 2,
};

/** Times of one process. */
export interface AnswerTimes {
  note(kind: string, tookMs: number): void;
  /** Time after which an attempt of a kind is overdue; undefined while too little is known. */
  overdueAfterMs(kind: string): number | undefined;
}

interface Times extends deviation.Deviation {
  samples: number;
}

/**
 * Creates times without samples.
 *
 * @example
 * const times = createAnswerTimes(answerTimesDefaults);
 * times.note('read', 120);
 */
export function createAnswerTimes(options: AnswerTimesOptions): AnswerTimes {
  const kinds = new Map<string, Times>();
  return {
    note(kind, tookMs) {
      const times = kinds.get(kind) ?? { samples: 0, meanMs: tookMs, deviationMs: 0 };
      times.samples += 1;
      const gain = Math.max(options.gain, 1 / times.samples);
      deviation.addSample(times, tookMs, gain);
      kinds.set(kind, times);
    },
    overdueAfterMs(kind) {
      const times = kinds.get(kind);
      if (!times || times.samples < options.minSamples) return undefined;
      const boundMs = deviation.computeBoundMs(times, options.deviations);
      return Math.max(times.meanMs * options.minMultiple, boundMs);
    },
  };
}
