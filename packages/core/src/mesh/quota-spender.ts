/**
 * The spending side of the quotas, at the host where calls arrive. A call takes a token that a
 * coordinator of its account has granted, and waits for one while a request is under way. Without
 * coordinators, the host uses its own share of the limit.
 */
import type * as clock from '../shared/clock.js';
import * as tokenCache from '../limits/token-cache.js';
import * as quotaAnswers from './quota-answers.js';
import * as assignments from './quota-assignment.js';
import * as clockCheck from './clock-check.js';
import * as floors from './quota-floor.js';
import type * as messages from './quota-messages.js';
import * as quotaRequests from './quota-requests.js';
import * as shares from './quota-share.js';
import type * as types from './types.js';
import * as verdicts from './quota-verdict.js';

export interface QuotaSpender {
  setView(view: shares.QuotaMembership): void;
  /** Decides at once, or returns undefined and calls `settle` later. */
  admit(
    account: types.ClientAccount,
    settle: (verdict: verdicts.QuotaVerdict) => void,
  ): verdicts.QuotaVerdict | undefined;
  /** Returns the requests to send now. */
  takeRequests(): quotaRequests.AddressedRequest[];
  /** Returns false for a reply to no request. */
  receive(reply: messages.QuotaReply): boolean;
  /** Processes elapsed timers; must be called every 100 ms, and every 20 ms while calls wait. */
  tick(): void;
  countWaiting(): number;
  /** Lists the coordinators in use. */
  getCoordinators(): readonly string[];
}

export interface QuotaSpenderInput {
  id: string;
  clock: clock.Clock;
  random: clock.Random;
  options: messages.QuotaOptions;
  /** Monotonic time at which the process started. */
  startedAt: number;
}

interface Waiter extends quotaRequests.WaitingCall {
  account: types.ClientAccount;
  settle: (verdict: verdicts.QuotaVerdict) => void;
  startedAt: number;
  /** Coordinators that it has been asked for at. */
  tried: Set<string>;
  /** Time at which it is asked for again. */
  retryAt: number;
  hasRetried: boolean;
}

interface AccountState {
  answers: quotaAnswers.QuotaAnswers;
  floor: floors.QuotaFloor;
  usedAt: number;
}

/**
 * Part of a limit whose coordinators must have refused before a call counts as beyond the limit; more
 * than one of the two coordinators of an account holds.
 */
const MIN_REFUSED_SHARE = 0.6;
/** Delay before a call is asked for again while coordinators lack shares, or none is known. */
const MOVING_RETRY_MS = 50;
const IDLE_MS = 10_000;

/**
 * Creates a spender without tokens.
 *
 * @example
 * const spender = createQuotaSpender({ id: 'host-1', clock, random, options: quotaDefaults });
 * const verdict = spender.admit(account, settle);
 * spender.takeRequests().forEach(send);
 */
export function createQuotaSpender(input: QuotaSpenderInput): QuotaSpender {
  const { id, random, options } = input;
  const { monotonic } = input.clock;
  const cacheOptions = { intervalMs: options.aheadMs, tokenTtlMs: options.tokenTtlMs };
  const assignment = assignments.createQuotaAssignment();
  const share = shares.createQuotaShare(options, input.startedAt);
  const clocks = clockCheck.createClockCheck(input.clock, options.maxClockDriftMs);
  const waiters = new Set<Waiter>();
  const states = new Map<string, AccountState>();
  let tokens = tokenCache.createTokenCache(cacheOptions);
  let demandUpdatedAt = monotonic();

  const getState = (name: string, now: number): AccountState => {
    const state = states.get(name) ?? {
      answers: quotaAnswers.createQuotaAnswers(options),
      floor: floors.createQuotaFloor(share, random),
      usedAt: now,
    };
    states.set(name, state);
    state.usedAt = now;
    return state;
  };

  const requests = quotaRequests.createQuotaRequests<Waiter>({
    id,
    instance: input.clock.now(),
    random,
    options,
    share,
    describeAsk: (account, coordinator) => ({
      ahead: Math.floor((tokens.getDemandPerSecond(account) * options.aheadMs) / 1_000),
      refused: states.get(account)?.answers.takeRefused(coordinator) ?? 0,
    }),
  });

  const settle = (waiter: Waiter, verdict: verdicts.QuotaVerdict): void => {
    waiters.delete(waiter);
    waiter.isSettled = true;
    waiter.settle(verdict);
  };

  const listCoordinators = (name: string): readonly string[] =>
    assignment.listCoordinators(name, share.getCoordinators());

  /** Decides a call for which no request is under way. */
  const decide = (account: types.ClientAccount, now: number): verdicts.QuotaVerdict => {
    const state = getState(account.name, now);
    const coordinators = listCoordinators(account.name);
    const floorDelayMs = state.floor.take(account, coordinators, now);
    if (floorDelayMs === 0) return { type: 'admitted' };
    const refusedShare = state.answers.computeRefusedShare(now);
    const answeredAt = state.answers.getAnsweredAt();
    const details = {
      refusedShare,
      answerAgeMs: answeredAt === undefined ? undefined : now - answeredAt,
      silentCoordinators: coordinators.filter(requests.isSilent).length,
      usesOwnShare: floorDelayMs !== undefined,
    };
    if (refusedShare >= MIN_REFUSED_SHARE) {
      const retryAfterMs = state.answers.refuse(now, random());
      return { type: 'over-limit', retryAfterMs, ...details };
    }
    const untilFloorMs = Math.min(floorDelayMs ?? 0, options.maxRetryAfterMs);
    const retryAfterMs = Math.max(untilFloorMs, verdicts.computeUnknownRetryMs(random()));
    return { type: 'quota-unknown', retryAfterMs, ...details };
  };

  /** Chooses the coordinator to ask next; undefined if none may have a token. */
  const chooseCoordinator = (
    { account: { name }, tried }: Pick<Waiter, 'account' | 'tried'>,
    now: number,
  ): string | undefined => {
    const { answers } = getState(name, now);
    const candidates = listCoordinators(name).filter(
      (each) =>
        !tried.has(each) &&
        !answers.hasNone(each, now) &&
        (!requests.isSilent(each) || share.mayUse(each, now)),
    );
    const responsive = candidates.filter((each) => !requests.isSilent(each));
    if (responsive.includes(id)) return id;
    const [first, second] = responsive.length > 0 ? responsive : candidates;
    return random() < 1 / 2 ? first : (second ?? first);
  };

  const findRetryAt = (waiter: Waiter, now: number): number => {
    const { answers } = getState(waiter.account.name, now);
    const isOverLimit = answers.computeRefusedShare(now) >= MIN_REFUSED_SHARE;
    const coordinators = listCoordinators(waiter.account.name);
    const mayHear = coordinators.length === 0 || !coordinators.every(requests.isSilent);
    if (!isOverLimit && mayHear && share.isMoving(now)) return now + MOVING_RETRY_MS;
    if (waiter.hasRetried) return Number.POSITIVE_INFINITY;
    const nextAt = answers.getNextAt();
    return nextAt - now <= options.maxTokenDelayMs
      ? Math.max(now, nextAt)
      : Number.POSITIVE_INFINITY;
  };

  /** Asks for a token of a waiting call, or decides it. */
  const advance = (waiter: Waiter, now: number): void => {
    if (waiter.isSettled) return;
    const coordinator = chooseCoordinator(waiter, now);
    if (coordinator !== undefined) {
      waiter.tried.add(coordinator);
      requests.addCall(coordinator, waiter.account.name, waiter);
      return;
    }
    if (waiter.openRequests > 0) return;
    const retryAt = findRetryAt(waiter, now);
    if (retryAt < waiter.startedAt + options.maxWaitMs) waiter.retryAt = retryAt;
    else settle(waiter, decide(waiter.account, now));
  };

  const discardAfterSuspension = (): void => {
    if (!clocks.takeJump()) {
      clocks.accept();
      return;
    }
    tokens = tokenCache.createTokenCache(cacheOptions);
    states.clear();
    requests.clear();
    [...waiters].forEach((waiter) => settle(waiter, verdicts.createUnknownVerdict(random())));
  };

  /** Hands granted tokens to the calls of the account that wait, and keeps the rest. */
  const distribute = (name: string, granted: number, batch: Waiter[], sentAt: number): void => {
    const others = [...waiters].filter(({ account }) => account.name === name);
    const served = [...new Set([...batch.filter(({ isSettled }) => !isSettled), ...others])];
    served.slice(0, granted).forEach((waiter) => settle(waiter, { type: 'admitted' }));
    tokens.addTokens(name, granted - served.length, sentAt);
  };

  const applyReply = (
    reply: messages.QuotaReply,
    sent: quotaRequests.SentRequest<Waiter>,
    now: number,
  ): void => {
    const isInTime = now < sent.sentAt + options.tokenTtlMs;
    sent.batches.forEach(({ account, calls }, index) => {
      const answer = reply.answers[index];
      if (answer) {
        const isRefusal = answer.granted < calls.length;
        getState(account, now).answers.record(reply.from, answer, isRefusal, now);
        if (isInTime) distribute(account, answer.granted, calls, sent.sentAt);
      } else {
        // The coordinator did not know how recent the request was; the next one carries its stamp.
        calls.forEach(({ tried }) => tried.delete(reply.from));
      }
      calls.forEach((waiter) => advance(waiter, now));
    });
  };

  const updateDemand = (now: number): void => {
    if (now - demandUpdatedAt < options.aheadMs) return;
    demandUpdatedAt = now;
    tokens.computeTokenRequests(now);
    states.forEach(({ usedAt }, name) => {
      if (now - usedAt > IDLE_MS) states.delete(name);
    });
  };

  return {
    setView: (view) => share.setView(view, monotonic()),
    admit(account, settleLater) {
      if (account.ratePerSecond <= 0) return { type: 'admitted' };
      discardAfterSuspension();
      const now = monotonic();
      if (tokens.takeToken(account.name, now)) return { type: 'admitted' };
      const waiter: Waiter = {
        account,
        settle: settleLater,
        startedAt: now,
        tried: new Set(),
        retryAt: Number.POSITIVE_INFINITY,
        hasRetried: false,
        openRequests: 0,
        isSettled: false,
      };
      const mustDecide =
        chooseCoordinator(waiter, now) === undefined &&
        findRetryAt(waiter, now) === Number.POSITIVE_INFINITY;
      if (mustDecide) return decide(account, now);
      waiters.add(waiter);
      advance(waiter, now);
      return undefined;
    },
    takeRequests: () => requests.takeRequests(monotonic()),
    receive(reply) {
      discardAfterSuspension();
      const now = monotonic();
      const sent = requests.takeSent(reply);
      if (!sent) return false;
      share.recordReply(reply, now);
      applyReply(reply, sent, now);
      return true;
    },
    tick() {
      discardAfterSuspension();
      const now = monotonic();
      share.update(now);
      updateDemand(now);
      requests.takeUnanswered(now).forEach((waiter) => advance(waiter, now));
      waiters.forEach((waiter) => {
        if (now - waiter.startedAt >= options.maxWaitMs) {
          settle(waiter, decide(waiter.account, now));
        } else if (waiter.retryAt <= now) {
          waiter.retryAt = Number.POSITIVE_INFINITY;
          waiter.hasRetried = true;
          waiter.tried.clear();
          advance(waiter, now);
        }
      });
    },
    countWaiting: () => waiters.size,
    getCoordinators: share.getCoordinators,
  };
}
