/**
 * Turns of queued calls by weighted fair queueing: within one rank, accounts share the starts in
 * proportion to expected work instead of counts. Within one account, calls that come back after a
 * refusal precede newcomers, and earlier objectives precede later ones.
 */
import * as fairClocks from '../admission/fair-clock.js';

/** A queued call; `turn` orders the calls of one rank. */
export interface TurnHolder {
  account?: string | undefined;
  rank: number;
  wasRejected?: boolean;
  objectiveAt: number;
  turn: number;
}

export interface FairTurns {
  /** Gives a call its turn among the queued ones, at the cost of its expected work. */
  add(call: TurnHolder, queued: readonly TurnHolder[], cost: number): void;
  /** Takes back the turn of a call that will not start; `queued` are the others. */
  remove(call: TurnHolder, queued: readonly TurnHolder[], cost: number): void;
  recordStart(call: TurnHolder): void;
  /** Forgets what has been charged; to be called when nothing waits. */
  clear(): void;
}

/** Calls without an account, such as those of public routes, share the turns of one. */
const NO_ACCOUNT = '';

const getParty = ({ account }: TurnHolder): string => account ?? NO_ACCOUNT;

const compareWithinAccount = (left: TurnHolder, right: TurnHolder): number =>
  Number(right.wasRejected ?? false) - Number(left.wasRejected ?? false) ||
  left.objectiveAt - right.objectiveAt ||
  left.turn - right.turn;

/**
 * Creates turns without calls.
 *
 * @example
 * const fairTurns = createFairTurns();
 * fairTurns.add(call, waiting, expectedMs);
 */
export function createFairTurns(): FairTurns {
  const clocks = new Map<number, fairClocks.FairClock>();

  const getClock = (rank: number): fairClocks.FairClock => {
    const existing = clocks.get(rank);
    if (existing) return existing;
    const clock = fairClocks.createFairClock();
    clocks.set(rank, clock);
    return clock;
  };

  const listPeers = (call: TurnHolder, queued: readonly TurnHolder[]): TurnHolder[] =>
    queued.filter(
      (other) => other !== call && other.rank === call.rank && getParty(other) === getParty(call),
    );

  /** Gives the calls the first turns of `turns`, in the order within their account. */
  const assignTurns = (calls: TurnHolder[], turns: number[]): void => {
    turns.sort((left, right) => left - right);
    calls.sort(compareWithinAccount).forEach((call, index) => {
      Object.assign(call, { turn: turns[index] ?? call.turn });
    });
  };

  return {
    add(call, queued, cost) {
      Object.assign(call, { turn: getClock(call.rank).charge(getParty(call), cost) });
      const calls = [...listPeers(call, queued), call];
      if (calls.length > 1)
        assignTurns(
          calls,
          calls.map(({ turn }) => turn),
        );
    },
    remove(call, queued, cost) {
      getClock(call.rank).refund(getParty(call), cost);
      const peers = listPeers(call, queued);
      if (peers.length > 0) assignTurns(peers, [call.turn, ...peers.map(({ turn }) => turn)]);
    },
    recordStart: (call) => getClock(call.rank).recordStart(call.turn),
    clear: () => clocks.forEach((clock) => clock.clear()),
  };
}
