/**
 * Claims the orders (calls that are not idempotent) of one partition on the log, with many claims
 * in one record. Several claimers may be active for one partition: the record with the lower offset
 * wins, and each claimer reads the stream up to its own record before it answers. When the response
 * to an append is lost, the same batch is appended again, which is safe because repeated entries
 * change nothing.
 */
import * as claimTable from './claim-table.js';
import type * as schemas from './schemas.js';

/** Result of a request to claim an order. */
export type ClaimResult =
  | { type: 'granted' }
  | { type: 'taken'; claimId: string; fingerprint: string; answer: schemas.OrderAnswer | null }
  | { type: 'unavailable'; reason: string };

/** An action that the caller of the claimer must perform. */
export type ClaimerEffect =
  | { type: 'append'; batch: schemas.OrderBatch }
  /** Read records from offset `from` on; `to` is the last one needed, or undefined for the head. */
  | { type: 'read'; from: number; to: number | undefined }
  | { type: 'answer'; requestId: string; result: ClaimResult };

/** Options of a claimer; durations in milliseconds. */
export interface ClaimerOptions {
  /** Minimum time between two appends to the partition's stream. */
  minAppendIntervalMs: number;
  /** How long a request may wait for the log. */
  requestTimeoutMs: number;
  maxBatchEntries: number;
  /** How long claims are kept. Requests with older keys must be refused. */
  windowMs: number;
}

export const claimerDefaults: ClaimerOptions = {
  minAppendIntervalMs: 200,
  requestTimeoutMs: 2_000,
  maxBatchEntries: 500,
  windowMs: 1_800_000,
};

const READ_RETRY_MS = 250;
const EXPIRY_INTERVAL_MS = 10_000;

/**
 * The claimer of one partition. Each method returns the effects to perform. `now` is monotonic time
 * in milliseconds.
 */
export interface Claimer {
  /** Requests that an entry be recorded. An `answer` effect with the same `requestId` follows. */
  request(requestId: string, entry: schemas.OrderEntry, now: number): ClaimerEffect[];
  /** Handles a successful append of the current batch at `offset`. */
  receiveAppended(offset: number, now: number): ClaimerEffect[];
  /** Handles an append that failed or whose response was lost. */
  receiveAppendFailure(now: number): ClaimerEffect[];
  /**
   * Handles the records that were read. `first` is the oldest retained offset, `head` the offset of
   * the next record to be appended.
   */
  receiveRecords(
    records: readonly { offset: number; body: unknown }[],
    first: number,
    head: number,
    now: number,
  ): ClaimerEffect[];
  receiveReadFailure(now: number): ClaimerEffect[];
  /**
   * Expires timed-out requests and old claims, and starts the appends and reads that are due.
   * `wallClockNow` is in milliseconds since the Unix epoch.
   */
  tick(now: number, wallClockNow: number): ClaimerEffect[];
  /** Returns the state for status pages; `orders` is the number of claimed keys. */
  getStats(): { orders: number; waiting: number; position: number; isReady: boolean };
}

interface PendingRequest {
  requestId: string;
  entry: schemas.OrderEntry;
  receivedAt: number;
}

interface InFlightBatch {
  batch: schemas.OrderBatch;
  requests: PendingRequest[];
  /** Offset of the batch on the log; undefined until its append has succeeded. */
  offset: number | undefined;
  isAppending: boolean;
}

/**
 * Creates a claimer. It reads its partition's stream before it claims anything.
 *
 * @example
 * const claimer = createClaimer(claimerDefaults, () => uuid.v4());
 */
export function createClaimer(options: ClaimerOptions, createId: () => string): Claimer {
  const claims = claimTable.createClaimTable();
  let isReady = false;
  let isReading = false;
  let nextReadAt = 0;
  let lastAppendAt = -Infinity;
  let nextExpiryAt = 0;
  let queue: PendingRequest[] = [];
  let inFlight: InFlightBatch | undefined;
  /** Repeated requests for unfinished orders; each waits for a read of the newest records. */
  let repeatedRequests: PendingRequest[] = [];

  const resolveEntry = (entry: schemas.OrderEntry): ClaimResult => {
    if (entry.type !== 'claim') return { type: 'granted' };
    const order = claims.findOrder(entry.key);
    if (!order) return { type: 'unavailable', reason: 'claim was released' };
    if (order.claimId === entry.claimId && !order.answer) return { type: 'granted' };
    return {
      type: 'taken',
      claimId: order.claimId,
      fingerprint: order.fingerprint,
      answer: order.answer ?? null,
    };
  };

  const createAnswer = ({ requestId, entry }: PendingRequest): ClaimerEffect => ({
    type: 'answer',
    requestId,
    result: resolveEntry(entry),
  });

  const append = (now: number): ClaimerEffect[] => {
    if (!inFlight) return [];
    lastAppendAt = now;
    inFlight.isAppending = true;
    return [{ type: 'append', batch: inFlight.batch }];
  };

  const startBatch = (now: number): ClaimerEffect[] => {
    if (!isReady || inFlight || queue.length === 0) return [];
    if (now - lastAppendAt < options.minAppendIntervalMs) return [];
    // Claims of keys that are already claimed are answered without another record.
    const resolved = queue.filter(
      ({ entry }) => entry.type === 'claim' && claims.findOrder(entry.key) !== undefined,
    );
    const unresolved = queue.filter((request) => !resolved.includes(request));
    const requests = unresolved.slice(0, options.maxBatchEntries);
    queue = unresolved.slice(options.maxBatchEntries);
    const effects = resolved.map(createAnswer);
    if (requests.length === 0) return effects;
    const entries = requests.map(({ entry }) => entry);
    inFlight = {
      batch: { type: 'orders', batchId: createId(), entries },
      requests,
      offset: undefined,
      isAppending: false,
    };
    return [...effects, ...append(now)];
  };

  const startRead = (to: number | undefined): ClaimerEffect[] => {
    if (isReading) return [];
    isReading = true;
    return [{ type: 'read', from: claims.getPosition() + 1, to }];
  };

  const finishBatch = (now: number): ClaimerEffect[] => {
    if (!inFlight || inFlight.offset === undefined) return [];
    if (claims.getPosition() < inFlight.offset) return startRead(inFlight.offset);
    const { requests } = inFlight;
    inFlight = undefined;
    return [...requests.map(createAnswer), ...startBatch(now)];
  };

  const expireRequests = (now: number): ClaimerEffect[] => {
    const isExpired = ({ receivedAt }: PendingRequest) =>
      now - receivedAt >= options.requestTimeoutMs;
    const expired = [...queue, ...repeatedRequests, ...(inFlight?.requests ?? [])].filter(
      isExpired,
    );
    repeatedRequests = repeatedRequests.filter((request) => !isExpired(request));
    queue = queue.filter((request) => !isExpired(request));
    if (inFlight) inFlight.requests = inFlight.requests.filter((request) => !isExpired(request));
    return expired.map(({ requestId }) => ({
      type: 'answer',
      requestId,
      result: { type: 'unavailable', reason: 'log did not answer in time' },
    }));
  };

  const resolveRepeatedRequests = (): ClaimerEffect[] => {
    const resolved = repeatedRequests.filter(
      ({ entry }) => claims.findOrder(entry.key) !== undefined,
    );
    queue.push(...repeatedRequests.filter((request) => !resolved.includes(request)));
    repeatedRequests = [];
    return resolved.map(createAnswer);
  };

  return {
    request(requestId, entry, now) {
      const request = { requestId, entry, receivedAt: now };
      const order = isReady && entry.type === 'claim' ? claims.findOrder(entry.key) : undefined;
      if (order?.answer) return [createAnswer(request)];
      if (order) {
        repeatedRequests.push(request);
        return startRead(undefined);
      }
      queue.push(request);
      return startBatch(now);
    },
    receiveAppended(offset, now) {
      if (!inFlight) return [];
      inFlight.isAppending = false;
      inFlight.offset = offset;
      if (offset === claims.getPosition() + 1 && !isReading)
        claims.applyRecord(offset, inFlight.batch);
      return finishBatch(now);
    },
    receiveAppendFailure() {
      if (!inFlight) return [];
      inFlight.isAppending = false;
      // Drops a batch that has no request left. If it was appended after all, the next append
      // returns an offset after a gap, and the record is then read.
      if (inFlight.requests.length === 0) inFlight = undefined;
      return [];
    },
    receiveRecords(records, first, head, now) {
      isReading = false;
      if (claims.getPosition() + 1 < first) claims.skipTo(first);
      records
        .filter(({ offset }) => offset > claims.getPosition())
        .forEach(({ offset, body }) => claims.applyRecord(offset, body));
      if (!isReady && claims.getPosition() + 1 < head) return startRead(undefined);
      isReady = true;
      const effects = resolveRepeatedRequests();
      return [...effects, ...(inFlight ? finishBatch(now) : startBatch(now))];
    },
    receiveReadFailure(now) {
      isReading = false;
      nextReadAt = now + READ_RETRY_MS;
      return resolveRepeatedRequests();
    },
    tick(now, wallClockNow) {
      if (now >= nextExpiryAt) {
        nextExpiryAt = now + EXPIRY_INTERVAL_MS;
        claims.removeBefore(wallClockNow - options.windowMs);
      }
      const effects = expireRequests(now);
      if (!isReady && now >= nextReadAt) effects.push(...startRead(undefined));
      if (inFlight?.offset !== undefined && now >= nextReadAt) effects.push(...finishBatch(now));
      const mayAppend = now - lastAppendAt >= options.minAppendIntervalMs;
      if (inFlight && inFlight.offset === undefined && !inFlight.isAppending && mayAppend) {
        effects.push(...append(now));
      }
      return [...effects, ...startBatch(now)];
    },
    getStats: () => ({
      orders: claims.countClaims(),
      waiting: queue.length + repeatedRequests.length + (inFlight?.requests.length ?? 0),
      position: claims.getPosition(),
      isReady,
    }),
  };
}
