/**
 * Claims orders of one partition on the log, many in one record. Two claimers of one partition
 * are harmless: whoever's record has the lower offset wins, and the other reads that before it
 * answers. A lost append answer is settled by appending the same batch again.
 */
import * as ledgers from './ledger.js';
import type * as schemas from './schemas.js';

/** What became of a request to claim an order. */
export type ClaimResult =
  | { type: 'granted' }
  | { type: 'taken'; claimId: string; fingerprint: string; answer: schemas.OrderAnswer | null }
  | { type: 'unavailable'; reason: string };

/** What the claimer asks its surroundings to do. */
export type ClaimerEffect =
  | { type: 'append'; batch: schemas.OrderBatch }
  /** Read every record from `from` on, up to and with `to`, or up to the head. */
  | { type: 'read'; from: number; to: number | undefined }
  | { type: 'answer'; requestId: string; result: ClaimResult };

/** Settings of a claimer; durations in milliseconds. */
export interface ClaimerOptions {
  /** Least time between two appends to the partition's stream. */
  minAppendIntervalMs: number;
  /** How long a request may wait for the log. */
  requestTimeoutMs: number;
  maxBatchEntries: number;
  /** How long claims are remembered; keys that are older must be refused. */
  windowMs: number;
}

export const claimerDefaults: ClaimerOptions = {
  minAppendIntervalMs: 200,
  requestTimeoutMs: 2_000,
  maxBatchEntries: 500,
  windowMs: 1_800_000,
};

const READ_RETRY_MS = 250;
const FORGET_INTERVAL_MS = 10_000;

/** The claimer of one partition. */
export interface Claimer {
  request(requestId: string, entry: schemas.OrderEntry, now: number): ClaimerEffect[];
  /** Takes the offset at which the batch in flight was appended. */
  receiveAppended(offset: number, now: number): ClaimerEffect[];
  /** Takes the news that the append failed or its answer was lost. */
  receiveAppendFailure(now: number): ClaimerEffect[];
  /** Takes records read; `first` is the oldest offset retained, `head` the next one to be given. */
  receiveRecords(
    records: readonly { offset: number; body: unknown }[],
    first: number,
    head: number,
    now: number,
  ): ClaimerEffect[];
  receiveReadFailure(now: number): ClaimerEffect[];
  tick(now: number, wallNow: number): ClaimerEffect[];
  stats(): { orders: number; waiting: number; position: number; isReady: boolean };
}

interface Waiter {
  requestId: string;
  entry: schemas.OrderEntry;
  since: number;
}

interface Flight {
  batch: schemas.OrderBatch;
  waiters: Waiter[];
  /** Offset of the batch once it is known. */
  offset: number | undefined;
  isAppending: boolean;
}

/**
 * Creates a claimer that first reads its partition's stream.
 *
 * @example
 * const claimer = createClaimer(claimerDefaults, () => uuid.v4());
 */
export function createClaimer(options: ClaimerOptions, createId: () => string): Claimer {
  const ledger = ledgers.createLedger();
  let isReady = false;
  let isReading = false;
  let nextReadAt = 0;
  let lastAppendAt = -Infinity;
  let nextForgetAt = 0;
  let queue: Waiter[] = [];
  let flight: Flight | undefined;
  /** Repeats of unfinished orders, which wait for what other claimers may have recorded. */
  let repeats: Waiter[] = [];

  const resolveEntry = (entry: schemas.OrderEntry): ClaimResult => {
    if (entry.type !== 'claim') return { type: 'granted' };
    const order = ledger.find(entry.key);
    if (!order) return { type: 'unavailable', reason: 'claim was released' };
    if (order.claimId === entry.claimId && !order.answer) return { type: 'granted' };
    return {
      type: 'taken',
      claimId: order.claimId,
      fingerprint: order.fingerprint,
      answer: order.answer ?? null,
    };
  };

  const answer = ({ requestId, entry }: Waiter): ClaimerEffect => ({
    type: 'answer',
    requestId,
    result: resolveEntry(entry),
  });

  const append = (now: number): ClaimerEffect[] => {
    if (!flight) return [];
    lastAppendAt = now;
    flight.isAppending = true;
    return [{ type: 'append', batch: flight.batch }];
  };

  const startFlight = (now: number): ClaimerEffect[] => {
    if (!isReady || flight || queue.length === 0) return [];
    if (now - lastAppendAt < options.minAppendIntervalMs) return [];
    // What the ledger has already decided needs no record.
    const decided = queue.filter(
      ({ entry }) => entry.type === 'claim' && ledger.find(entry.key) !== undefined,
    );
    const open = queue.filter((waiter) => !decided.includes(waiter));
    const waiters = open.slice(0, options.maxBatchEntries);
    queue = open.slice(options.maxBatchEntries);
    const effects = decided.map(answer);
    if (waiters.length === 0) return effects;
    const entries = waiters.map(({ entry }) => entry);
    flight = {
      batch: { type: 'orders', batchId: createId(), entries },
      waiters,
      offset: undefined,
      isAppending: false,
    };
    return [...effects, ...append(now)];
  };

  const startRead = (to: number | undefined): ClaimerEffect[] => {
    if (isReading) return [];
    isReading = true;
    return [{ type: 'read', from: ledger.position() + 1, to }];
  };

  const finishFlight = (now: number): ClaimerEffect[] => {
    if (!flight || flight.offset === undefined) return [];
    if (ledger.position() < flight.offset) return startRead(flight.offset);
    const { waiters } = flight;
    flight = undefined;
    return [...waiters.map(answer), ...startFlight(now)];
  };

  const expire = (now: number): ClaimerEffect[] => {
    const isLate = ({ since }: Waiter) => now - since >= options.requestTimeoutMs;
    const late = [...queue, ...repeats, ...(flight?.waiters ?? [])].filter(isLate);
    repeats = repeats.filter((waiter) => !isLate(waiter));
    queue = queue.filter((waiter) => !isLate(waiter));
    if (flight) flight.waiters = flight.waiters.filter((waiter) => !isLate(waiter));
    return late.map(({ requestId }) => ({
      type: 'answer',
      requestId,
      result: { type: 'unavailable', reason: 'log did not answer in time' },
    }));
  };

  const answerRepeats = (): ClaimerEffect[] => {
    const decided = repeats.filter(({ entry }) => ledger.find(entry.key) !== undefined);
    queue.push(...repeats.filter((waiter) => !decided.includes(waiter)));
    repeats = [];
    return decided.map(answer);
  };

  return {
    request(requestId, entry, now) {
      const waiter = { requestId, entry, since: now };
      const order = isReady && entry.type === 'claim' ? ledger.find(entry.key) : undefined;
      if (order?.answer) return [answer(waiter)];
      if (order) {
        repeats.push(waiter);
        return startRead(undefined);
      }
      queue.push(waiter);
      return startFlight(now);
    },
    receiveAppended(offset, now) {
      if (!flight) return [];
      flight.isAppending = false;
      flight.offset = offset;
      if (offset === ledger.position() + 1 && !isReading) ledger.applyRecord(offset, flight.batch);
      return finishFlight(now);
    },
    receiveAppendFailure() {
      if (!flight) return [];
      flight.isAppending = false;
      // Nobody waits for it any more; if it did land, the next append shows a gap and is read.
      if (flight.waiters.length === 0) flight = undefined;
      return [];
    },
    receiveRecords(records, first, head, now) {
      isReading = false;
      if (ledger.position() + 1 < first) ledger.skipTo(first);
      records
        .filter(({ offset }) => offset > ledger.position())
        .forEach(({ offset, body }) => ledger.applyRecord(offset, body));
      if (!isReady && ledger.position() + 1 < head) return startRead(undefined);
      isReady = true;
      const effects = answerRepeats();
      return [...effects, ...(flight ? finishFlight(now) : startFlight(now))];
    },
    receiveReadFailure(now) {
      isReading = false;
      nextReadAt = now + READ_RETRY_MS;
      return answerRepeats();
    },
    tick(now, wallNow) {
      if (now >= nextForgetAt) {
        nextForgetAt = now + FORGET_INTERVAL_MS;
        ledger.forgetBefore(wallNow - options.windowMs);
      }
      const effects = expire(now);
      if (!isReady && now >= nextReadAt) effects.push(...startRead(undefined));
      if (flight?.offset !== undefined && now >= nextReadAt) effects.push(...finishFlight(now));
      const mayAppend = now - lastAppendAt >= options.minAppendIntervalMs;
      if (flight && flight.offset === undefined && !flight.isAppending && mayAppend) {
        effects.push(...append(now));
      }
      return [...effects, ...startFlight(now)];
    },
    stats: () => ({
      orders: ledger.size(),
      waiting: queue.length + repeats.length + (flight?.waiters.length ?? 0),
      position: ledger.position(),
      isReady,
    }),
  };
}
