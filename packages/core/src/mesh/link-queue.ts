/**
 * Orders the large responses of a host that wait for its link. Designed for a link that is offered
 * more than it transmits: in the order of arrival all responses would then wait until shortly before
 * their deadline. Those that can meet the latency objective of their call are sent first, one after
 * another; the others get what these leave. The estimates include the responses of calls that are
 * still running, so that a call is refused before it runs if its response would be late.
 */
import * as lateShares from './late-share.js';
import type * as linkPacers from './link-pacer.js';

/** A response that has been read whole and waits for the link. */
export interface Transfer {
  id: string;
  /** Name of the route; sizes are estimated per kind. */
  kind: string;
  bytes: number;
  /** Monotonic time of the call's latency objective, in milliseconds. */
  objectiveAt: number;
}

export interface LinkQueue {
  /** Counts the response of a call that has been admitted; its size is estimated by its kind. */
  expect(id: string, kind: string, mayBeLate: boolean): void;
  /** Adds a response, in place of the expected one with its id. */
  add(transfer: Transfer): void;
  /** Removes a response that waits or is expected; does nothing if there is none. */
  remove(id: string): void;
  /** Starts the next response and returns its id; undefined while the link is busy or none waits. */
  takeNext(now: number): string | undefined;
  /** Returns the time until `takeNext` can start a response; undefined if none waits. */
  computeDelayMs(now: number): number | undefined;
  /**
   * Estimates the queueing delay of a new response of a kind, in milliseconds; 0 for a small one.
   * With `mayBeLate`, that of a response which others overtake.
   */
  estimateWaitMs(kind: string, mayBeLate: boolean, now: number): number;
  /** Returns the queueing delay of a response that can meet its objective, in milliseconds. */
  getBacklogMs(now: number): number;
}

type Pacer = Pick<
  linkPacers.LinkPacer,
  'isLarge' | 'getMeanBytes' | 'reserve' | 'getBacklogMs' | 'computeTransmissionMs'
>;

/**
 * Creates an empty queue for the link of `pacer`.
 *
 * @example
 * const queue = createLinkQueue(pacer);
 * queue.add({ id: 'c-1', kind: 'download', bytes: 90_000, objectiveAt: now + 800 });
 * queue.takeNext(now); // 'c-1'
 */
export function createLinkQueue(pacer: Pacer): LinkQueue {
  const lateShare = lateShares.createLateShare(lateShares.lateShareDefaults);
  /** In the order of arrival. */
  const waiting = new Map<string, Transfer>();
  const expected = new Map<string, { bytes: number; mayBeLate: boolean }>();

  const isLate = ({ bytes, objectiveAt }: Transfer, now: number): boolean =>
    now + pacer.computeTransmissionMs(bytes) > objectiveAt;

  const computeAheadMs = (mayBeLate: boolean, now: number): number => {
    const bytes = [
      ...[...waiting.values()].filter((transfer) => mayBeLate || !isLate(transfer, now)),
      ...[...expected.values()].filter((entry) => mayBeLate || !entry.mayBeLate),
    ].reduce((sum, entry) => sum + entry.bytes, 0);
    return pacer.getBacklogMs(now) + pacer.computeTransmissionMs(bytes);
  };

  const remove = (id: string): void => {
    waiting.delete(id);
    expected.delete(id);
  };

  return {
    expect(id, kind, mayBeLate) {
      const bytes = pacer.getMeanBytes(kind);
      if (pacer.isLarge(bytes)) expected.set(id, { bytes, mayBeLate });
    },
    add(transfer) {
      remove(transfer.id);
      waiting.set(transfer.id, transfer);
    },
    remove,
    takeNext(now) {
      if (waiting.size === 0 || pacer.getBacklogMs(now) > 0) return undefined;
      const transfers = [...waiting.values()];
      const inTime = transfers.find((transfer) => !isLate(transfer, now));
      const next = inTime ?? transfers[0];
      if (!next) return undefined;
      if (transfers.some((transfer) => isLate(transfer, now)))
        lateShare.recordStart(inTime === undefined, now);
      waiting.delete(next.id);
      pacer.reserve(next.kind, next.bytes, now);
      return next.id;
    },
    computeDelayMs: (now) => (waiting.size === 0 ? undefined : pacer.getBacklogMs(now)),
    estimateWaitMs(kind, mayBeLate, now) {
      if (!pacer.isLarge(pacer.getMeanBytes(kind))) return 0;
      const aheadMs = computeAheadMs(mayBeLate, now);
      return mayBeLate ? aheadMs / lateShare.estimate(now) : aheadMs;
    },
    getBacklogMs: (now) => computeAheadMs(false, now),
  };
}
