/** What the coordinators of an account have last answered to one host. */
import type * as messages from './quota-messages.js';

export interface QuotaAnswers {
  record(coordinator: string, answer: messages.QuotaAnswer, isRefusal: boolean, now: number): void;
  /** Returns whether a coordinator has just stated that there is no token yet. */
  hasNone(coordinator: string, now: number): boolean;
  /** Computes the part of the limit that the coordinators hold which have refused lately. */
  computeRefusedShare(now: number): number;
  /** Returns when a coordinator expects the next token for a call that is refused now. */
  getNextAt(): number;
  /** Counts a call that is refused without asking; returns a delay after which it may return. */
  refuse(now: number, random: number): number;
  /** Returns the calls refused since the last call of this function, for one coordinator. */
  takeRefused(coordinator: string): number;
  getAnsweredAt(): number | undefined;
}

interface LastAnswer extends messages.QuotaAnswer {
  isRefusal: boolean;
  answeredAt: number;
  refused: number;
}

/** Age from which on an answer tells nothing of the present. */
const MAX_ANSWER_AGE_MS = 1_000;
/** Time without another request to a coordinator that has no share of the account. */
const NO_SHARE_MS = 50;
/** Part of a delay by which it is prolonged at most, at random, so that callers do not return together. */
const SPREAD = 0.25;

/**
 * Creates an empty record for one account. Times are monotonic and in milliseconds.
 *
 * @example
 * const answers = createQuotaAnswers(quotaDefaults);
 */
export function createQuotaAnswers({
  maxNoneMs,
  maxRetryAfterMs,
}: Pick<messages.QuotaOptions, 'maxNoneMs' | 'maxRetryAfterMs'>): QuotaAnswers {
  const answers = new Map<string, LastAnswer>();
  let answeredAt: number | undefined;

  const listRefusals = (): LastAnswer[] =>
    [...answers.values()].filter(
      (answer) => answer.isRefusal && answer.answeredAt > (answeredAt ?? 0) - MAX_ANSWER_AGE_MS,
    );

  /** Returns the refusal whose coordinator expects a token first. */
  const findSoonest = (): LastAnswer | undefined =>
    listRefusals()
      .filter(({ share }) => share > 0)
      .sort((left, right) => left.answeredAt + left.nextMs - right.answeredAt - right.nextMs)[0];

  return {
    record(coordinator, answer, isRefusal, now) {
      answers.forEach((each, id) => {
        if (each.answeredAt <= now - MAX_ANSWER_AGE_MS) answers.delete(id);
      });
      answers.set(coordinator, { ...answer, isRefusal, answeredAt: now, refused: 0 });
      answeredAt = now;
    },
    hasNone(coordinator, now) {
      const answer = answers.get(coordinator);
      if (!answer?.isRefusal) return false;
      const noneMs = answer.share > 0 ? Math.min(maxNoneMs, answer.nextMs) : NO_SHARE_MS;
      return now < answer.answeredAt + noneMs;
    },
    computeRefusedShare: (now) =>
      listRefusals()
        .filter((answer) => answer.answeredAt > now - MAX_ANSWER_AGE_MS)
        .reduce((sum, { share }) => sum + share, 0),
    getNextAt() {
      const soonest = findSoonest();
      return soonest ? soonest.answeredAt + soonest.nextMs : Number.POSITIVE_INFINITY;
    },
    refuse(now, random) {
      const soonest = findSoonest();
      if (!soonest) return maxRetryAfterMs;
      const delayMs = Math.max(0, soonest.answeredAt + soonest.nextMs - now);
      const queueMs = (soonest.refused + random) * soonest.spacingMs;
      soonest.refused += 1;
      return Math.min(maxRetryAfterMs, delayMs + queueMs) * (1 + SPREAD * random);
    },
    takeRefused(coordinator) {
      const answer = answers.get(coordinator);
      const refused = answer?.refused ?? 0;
      if (answer) answer.refused = 0;
      return refused;
    },
    getAnsweredAt: () => answeredAt,
  };
}
