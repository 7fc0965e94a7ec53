/** Requests of one host to the coordinators: what they ask for, and which have no reply yet. */
import type * as clock from '../shared/clock.js';
import type * as messages from './quota-messages.js';
import type * as shares from './quota-share.js';

/** A call that waits for a token. */
export interface WaitingCall {
  /** Requests under way that ask for it and have not timed out. */
  openRequests: number;
  isSettled: boolean;
}

export interface AddressedRequest {
  to: string;
  request: messages.QuotaRequest;
}

export interface SentRequest<C extends WaitingCall> {
  to: string;
  sentAt: number;
  batches: { account: string; calls: C[] }[];
  isTimedOut: boolean;
}

export interface QuotaRequests<C extends WaitingCall> {
  /** Asks a coordinator for a token of the call, with the next request to it. */
  addCall(coordinator: string, account: string, call: C): void;
  /** Returns the requests that are due, which count as sent now. */
  takeRequests(now: number): AddressedRequest[];
  /** Returns the request that a reply belongs to, once. */
  takeSent(reply: messages.QuotaReply): SentRequest<C> | undefined;
  /** Returns the calls whose requests have timed out since the last call of this function. */
  takeUnanswered(now: number): C[];
  /** Returns whether the last request to a coordinator has timed out. */
  isSilent(coordinator: string): boolean;
  clear(): void;
}

export interface QuotaRequestsInput {
  id: string;
  instance: number;
  random: clock.Random;
  options: messages.QuotaOptions;
  share: shares.QuotaShare;
  describeAsk(account: string, coordinator: string): Pick<messages.QuotaAsk, 'ahead' | 'refused'>;
}

/** Shortest time between two requests that only renew a lease. */
const MIN_REPORT_GAP_MS = 50;
/** Time after which a host that has not replied yet is contacted again, after the start. */
const FIRST_CONTACT_GAP_MS = 200;
/** Replies to requests of an earlier process must not match those of this one. */
const MAX_FIRST_SEQUENCE = 2 ** 40;
export const MAX_ASKS_PER_REQUEST = 128;

/**
 * Creates an empty set of requests. Times are monotonic and in milliseconds.
 *
 * @example
 * const requests = createQuotaRequests({ id, instance, random, options, share, describeAsk });
 */
export function createQuotaRequests<C extends WaitingCall>(
  input: QuotaRequestsInput,
): QuotaRequests<C> {
  const { id, instance, random, options, share, describeAsk } = input;
  const waiting = new Map<string, Map<string, C[]>>();
  const sentRequests = new Map<number, SentRequest<C>>();
  const lastSentAt = new Map<string, number>();
  const silent = new Set<string>();
  let sequence = Math.floor(random() * MAX_FIRST_SEQUENCE);

  const isReportDue = (coordinator: string, now: number): boolean => {
    const gapMs = now - (lastSentAt.get(coordinator) ?? Number.NEGATIVE_INFINITY);
    if (share.isOutdated(coordinator))
      return gapMs >= (share.getEcho(coordinator) ? MIN_REPORT_GAP_MS : FIRST_CONTACT_GAP_MS);
    return gapMs >= options.reportMs;
  };

  const createRequest = (
    to: string,
    batches: SentRequest<C>['batches'],
    now: number,
  ): AddressedRequest => {
    sequence += 1;
    sentRequests.set(sequence, { to, sentAt: now, batches, isTimedOut: false });
    lastSentAt.set(to, now);
    const asks = batches.map(({ account, calls }) => ({
      account,
      waiting: calls.length,
      ...describeAsk(account, to),
    }));
    const echo = share.getEcho(to);
    const delegation = share.getDelegation();
    return { to, request: { sequence, from: id, instance, echo, delegation, asks } };
  };

  const takeBatches = (coordinator: string): SentRequest<C>['batches'] => {
    const batches = [...(waiting.get(coordinator) ?? new Map<string, C[]>())]
      .map(([account, calls]) => ({
        account,
        calls: calls.filter(({ isSettled }) => !isSettled),
      }))
      .filter(({ calls }) => calls.length > 0);
    waiting.delete(coordinator);
    return batches;
  };

  return {
    addCall(coordinator, account, call) {
      call.openRequests += 1;
      const accounts = waiting.get(coordinator) ?? new Map<string, C[]>();
      waiting.set(coordinator, accounts);
      accounts.set(account, [...(accounts.get(account) ?? []), call]);
    },
    takeRequests(now) {
      const due: AddressedRequest[] = [];
      [...waiting.keys()].forEach((coordinator) => {
        const batches = takeBatches(coordinator);
        for (let first = 0; first < batches.length; first += MAX_ASKS_PER_REQUEST)
          due.push(
            createRequest(coordinator, batches.slice(first, first + MAX_ASKS_PER_REQUEST), now),
          );
      });
      share
        .listContacts()
        .filter((coordinator) => isReportDue(coordinator, now))
        .forEach((coordinator) => due.push(createRequest(coordinator, [], now)));
      return due;
    },
    takeSent(reply) {
      const sent = sentRequests.get(reply.sequence);
      if (sent?.to !== reply.from) return undefined;
      sentRequests.delete(reply.sequence);
      silent.delete(sent.to);
      if (!sent.isTimedOut)
        sent.batches.forEach(({ calls }) =>
          calls.forEach((call) => {
            call.openRequests -= 1;
          }),
        );
      return sent;
    },
    takeUnanswered(now) {
      const calls: C[] = [];
      sentRequests.forEach((sent, each) => {
        const ageMs = now - sent.sentAt;
        if (ageMs >= options.tokenTtlMs) sentRequests.delete(each);
        if (sent.isTimedOut || ageMs < options.askTimeoutMs) return;
        sent.isTimedOut = true;
        silent.add(sent.to);
        sent.batches.forEach((batch) =>
          batch.calls.forEach((call) => {
            call.openRequests -= 1;
            calls.push(call);
          }),
        );
      });
      const contacts = new Set(share.listContacts());
      lastSentAt.forEach((_, each) => {
        if (contacts.has(each)) return;
        lastSentAt.delete(each);
        silent.delete(each);
      });
      return calls;
    },
    isSilent: (coordinator) => silent.has(coordinator),
    clear() {
      waiting.clear();
      sentRequests.clear();
    },
  };
}
