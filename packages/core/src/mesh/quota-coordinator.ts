/**
 * The granting side of the quotas. A coordinator uses the shares of the limits that hosts have leased
 * to it, each to one coordinator at a time. All coordinators together therefore never grant more than
 * the limit, however many there are and whoever can reach whom.
 */
import type * as clock from '../shared/clock.js';
import * as allowances from './quota-allowance.js';
import * as assignments from './quota-assignment.js';
import * as clockCheck from './clock-check.js';
import * as leaseTables from './quota-leases.js';
import type * as messages from './quota-messages.js';
import type * as types from './types.js';

export interface QuotaCoordinator {
  /** Replaces the limits; a lower one is in force at once. */
  setAccounts(accounts: readonly types.ClientAccount[]): void;
  /** Sets the number of hosts that this one knows and that have not left. */
  setKnownHosts(count: number): void;
  /** Grants tokens; returns undefined for a duplicated request. */
  receive(request: messages.QuotaRequest): messages.QuotaReply | undefined;
  /** Returns the hosts whose shares are leased to this coordinator. */
  countHosts(): number;
}

export interface QuotaCoordinatorInput {
  id: string;
  clock: clock.Clock;
  random: clock.Random;
  options: messages.QuotaOptions;
  /** Called when the machine was suspended or its clock was stepped, and all leases are void. */
  onSuspended?: () => void;
}

interface AccountEntry {
  account: types.ClientAccount;
  allowance: allowances.QuotaAllowance;
  rate: number;
  burst: number;
  share: number;
  /** Refused calls that have been told to return and whose token has not come yet. */
  backlog: number;
  backlogAt: number;
}

const MS_PER_SECOND = 1_000;
/** Part of the burst that is kept for calls that wait; tokens for expected calls may lapse unused. */
const RESERVED_SHARE = 0.5;

/** Answer for an account that this coordinator does not know or has no share of. */
const EMPTY_ANSWER: messages.QuotaAnswer = { granted: 0, nextMs: 0, spacingMs: 0, share: 0 };

/**
 * Creates a coordinator without shares.
 *
 * @example
 * const coordinator = createQuotaCoordinator({ id: 'host-1', clock, random, options: quotaDefaults });
 * coordinator.setAccounts(config.accounts ?? []);
 * const reply = coordinator.receive(request);
 */
export function createQuotaCoordinator(input: QuotaCoordinatorInput): QuotaCoordinator {
  const { id, random, options, onSuspended } = input;
  const { monotonic, now: wallClock } = input.clock;
  const leases = leaseTables.createQuotaLeases(id, assignments.createQuotaAssignment());
  const clocks = clockCheck.createClockCheck(input.clock, options.maxClockDriftMs);
  const entries = new Map<string, AccountEntry>();
  let instance = wallClock();

  const updateEntry = (entry: AccountEntry, now: number): void => {
    const { account, allowance } = entry;
    const { ratePerSecond, burst } = account;
    const { exclusive, provisional } = leases.computeShare(account.name);
    const provisionalRate = Math.min(ratePerSecond, options.provisionalPerSecond) * provisional;
    const provisionalBurst = Math.min(burst, options.provisionalBurst) * provisional;
    entry.share = Math.min(1, exclusive + provisional);
    entry.rate = ratePerSecond * exclusive + provisionalRate;
    entry.burst = burst * exclusive + provisionalBurst;
    allowance.setShare(account, entry.rate, entry.burst, now);
  };

  const updateShares = (now: number): void => {
    if (clocks.takeJump()) {
      leases.clear();
      // Void also what earlier stamps would prove.
      instance = Math.max(instance + 1, wallClock());
      onSuspended?.();
    }
    clocks.accept();
    if (leases.update(now)) entries.forEach((entry) => updateEntry(entry, now));
  };

  /** Counts the refused calls of an ask and returns the delay after which these find a token. */
  const countRefused = (entry: AccountEntry, refused: number, now: number): number => {
    const elapsedMs = now - entry.backlogAt;
    const returned = (elapsedMs * entry.rate) / MS_PER_SECOND;
    entry.backlog = Math.max(0, entry.backlog - returned);
    entry.backlogAt = now;
    const delayMs =
      entry.allowance.computeDelayMs(1, now) + (entry.backlog * MS_PER_SECOND) / entry.rate;
    const maxBacklog = (options.maxRetryAfterMs * entry.rate) / MS_PER_SECOND;
    entry.backlog = Math.min(maxBacklog, entry.backlog + refused);
    return Math.min(options.maxRetryAfterMs, delayMs);
  };

  const grantTokens = (entry: AccountEntry, ask: messages.QuotaAsk, now: number): number => {
    const { allowance, burst } = entry;
    const granted = allowance.takeUpTo(ask.waiting, now);
    const mayGrantAhead =
      granted === ask.waiting &&
      ask.ahead > 0 &&
      allowance.computeDelayMs(ask.ahead + burst * RESERVED_SHARE, now) === 0;
    return mayGrantAhead ? granted + allowance.takeUpTo(ask.ahead, now) : granted;
  };

  const answerAsk = (ask: messages.QuotaAsk, now: number): messages.QuotaAnswer => {
    const entry = entries.get(ask.account);
    if (!entry || entry.rate === 0) return EMPTY_ANSWER;
    const granted = grantTokens(entry, ask, now);
    const missing = Math.max(0, ask.waiting - granted);
    // A call that waits is refused by each coordinator of its account, and returns to one of them.
    const nextMs = countRefused(entry, missing * entry.share + ask.refused, now);
    return { granted, nextMs, spacingMs: MS_PER_SECOND / entry.rate, share: entry.share };
  };

  return {
    setAccounts(accounts) {
      const now = monotonic();
      updateShares(now);
      const limited = accounts.filter(({ ratePerSecond }) => ratePerSecond > 0);
      const names = new Set(limited.map(({ name }) => name));
      [...entries.keys()]
        .filter((name) => !names.has(name))
        .forEach((name) => entries.delete(name));
      limited.forEach((account) => {
        const entry = entries.get(account.name) ?? {
          account,
          allowance: allowances.createQuotaAllowance(random(), now),
          rate: 0,
          burst: 0,
          share: 0,
          backlog: 0,
          backlogAt: now,
        };
        entry.account = account;
        entries.set(account.name, entry);
        updateEntry(entry, now);
      });
    },
    setKnownHosts: leases.setKnownHosts,
    receive(request) {
      const now = monotonic();
      updateShares(now);
      const { echo, asks, sequence } = request;
      const isProven =
        echo !== undefined &&
        echo.instance === instance &&
        echo.at <= now &&
        now < echo.at + options.leaseMs;
      if (leases.isDuplicate(request)) return undefined;
      if (isProven) {
        leases.renew(request, echo.at + options.leaseMs);
        updateShares(now);
      }
      return {
        sequence,
        from: id,
        stamp: { instance, at: now },
        heldGeneration: leases.getHeldGeneration(request),
        answers: isProven ? asks.map((ask) => answerAsk(ask, now)) : [],
      };
    },
    countHosts() {
      updateShares(monotonic());
      return leases.countHosts();
    },
  };
}
