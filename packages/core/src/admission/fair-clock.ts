/** Virtual clock of weighted fair queueing. */
export interface FairClock {
  /** Charges `cost` to a party and returns the virtual finish time of the request that causes it. */
  charge(party: string, cost: number): number;
  /** Takes back the cost of a request that will not start, so that it does not count against its party. */
  refund(party: string, cost: number): void;
  /** Advances the clock to the virtual finish time of a request that starts. */
  recordStart(virtualFinish: number): void;
  /** Forgets what the parties have been charged; to be called when nothing waits. */
  clear(): void;
}

/**
 * Creates a clock at which nothing has been charged. Requests that start in the order of their virtual
 * finish times share the server fairly among their parties.
 *
 * @example
 * const fairClock = createFairClock();
 * const virtualFinish = fairClock.charge('customer', 1 / weight);
 */
export function createFairClock(): FairClock {
  let virtualTime = 0;
  const lastFinishByParty = new Map<string, number>();
  const getLastFinish = (party: string): number =>
    Math.max(virtualTime, lastFinishByParty.get(party) ?? 0);

  return {
    charge(party, cost) {
      const virtualFinish = getLastFinish(party) + cost;
      lastFinishByParty.set(party, virtualFinish);
      return virtualFinish;
    },
    refund(party, cost) {
      lastFinishByParty.set(party, Math.max(virtualTime, getLastFinish(party) - cost));
    },
    recordStart(virtualFinish) {
      virtualTime = Math.max(virtualTime, virtualFinish);
    },
    clear: () => lastFinishByParty.clear(),
  };
}
