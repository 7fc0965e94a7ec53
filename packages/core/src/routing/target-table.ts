/**
 * The targets as one process observes them: the member beside each one, its reported load and the
 * state of its circuit breaker.
 */
import type * as membershipTypes from '../membership/types.js';
import type * as clock from '../shared/clock.js';
import * as circuitBreaker from './circuit-breaker.js';
import * as targetChoice from './target-choice.js';

/** Load that a target's proxy reports with each response; `running` and `waiting` count calls. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** Mean time between two slots becoming free while the target is full, in milliseconds. */
  slotFreeMs: number;
}

/** How the target's circuit breaker counts an attempt; `neutral` changes nothing. */
export type AttemptHealth = 'success' | 'failure' | 'neutral';

/** The targets of all services. All times are monotonic and in milliseconds. */
export interface TargetTable {
  /** Adds or updates the target of a member; removes it when the member cannot take calls. */
  setMember(member: membershipTypes.Member, now: number): void;
  /** Chooses a target of the service, skipping targets that are full for the customer. */
  chooseTarget(
    service: string,
    customer: string,
    excluded: ReadonlySet<string>,
    now: number,
  ): targetChoice.TargetChoice | undefined;
  recordSent(id: string, now: number): void;
  recordFinished(id: string, health: AttemptHealth, now: number): void;
  recordLoad(id: string, load: LoadReport, now: number): void;
  /**
   * Records that the target had no capacity for a customer. It is skipped for that customer until
   * its next slot is expected to become free.
   */
  recordFull(id: string, customer: string, now: number): void;
  /** Whether any target of the service is currently recorded as full for the customer. */
  isFull(service: string, customer: string, now: number): boolean;
  /** Removes a target that refused a call while draining, before gossip reports that state. */
  removeDraining(id: string): void;
  /** Lists the targets of a service for status pages. */
  list(
    service: string,
    now: number,
  ): { id: string; inFlight: number; circuit: circuitBreaker.CircuitState }[];
}

/** Options of the table; `dataCentre` and `region` are those of this process. */
export interface TargetTableOptions {
  dataCentre: string;
  region: string;
  choice: targetChoice.TargetChoiceOptions;
  circuit: circuitBreaker.CircuitBreakerOptions;
  random: clock.Random;
}

interface TargetEntry {
  member: membershipTypes.Member;
  service: string;
  slots: number;
  upSince: number;
  inFlight: number;
  reportedLoad: number;
  reportedAt: number;
  slotFreeMs: number;
  /** Monotonic time in milliseconds until which the target is skipped, by customer. */
  fullUntilByCustomer: Map<string, number>;
  circuit: circuitBreaker.CircuitBreaker;
}

function canTakeCalls(member: membershipTypes.Member): boolean {
  const isReachable = member.status === 'alive' || member.status === 'suspect';
  return isReachable && member.info.ready && member.info.target?.state === 'up';
}

/**
 * Creates an empty table.
 *
 * @example
 * const table = createTargetTable({ dataCentre: 'khomas-1', region: 'khomas', choice, circuit, random });
 */
export function createTargetTable(options: TargetTableOptions): TargetTable {
  const entries = new Map<string, TargetEntry>();
  const entriesByService = new Map<string, Map<string, TargetEntry>>();

  const remove = (id: string): void => {
    const entry = entries.get(id);
    if (!entry) return;
    entries.delete(id);
    entriesByService.get(entry.service)?.delete(id);
  };

  const computeLocality = ({ info }: membershipTypes.Member): targetChoice.Locality => {
    if (info.dataCentre === options.dataCentre) return 'data-centre';
    return info.region === options.region ? 'region' : 'remote';
  };

  const insert = (member: membershipTypes.Member, now: number): void => {
    const { target } = member.info;
    if (!target) return;
    const existing = entries.get(member.id);
    const isSameInstance =
      existing?.member.info.instance === member.info.instance &&
      existing.service === target.service;
    if (existing && !isSameInstance) remove(member.id);
    const entry: TargetEntry = {
      upSince: now,
      inFlight: 0,
      reportedLoad: 0,
      reportedAt: -Infinity,
      slotFreeMs: 0,
      fullUntilByCustomer: new Map<string, number>(),
      circuit: circuitBreaker.createCircuitBreaker(options.circuit),
      ...(isSameInstance ? existing : {}),
      member,
      service: target.service,
      slots: target.slots,
    };
    entries.set(member.id, entry);
    const entriesOfService = entriesByService.get(target.service) ?? new Map<string, TargetEntry>();
    entriesByService.set(target.service, entriesOfService.set(member.id, entry));
  };

  const toCandidate = (entry: TargetEntry, now: number): targetChoice.TargetCandidate => ({
    id: entry.member.id,
    locality: computeLocality(entry.member),
    slots: entry.slots,
    inFlight: entry.inFlight,
    reportedLoad: entry.reportedLoad,
    reportAgeMs: now - entry.reportedAt,
    upForMs: now - entry.upSince,
    mayCall: entry.circuit.mayCall(now),
  });

  const isFullFor = (entry: TargetEntry, customer: string, now: number): boolean =>
    (entry.fullUntilByCustomer.get(customer) ?? 0) > now;

  return {
    setMember(member, now) {
      if (canTakeCalls(member)) insert(member, now);
      else remove(member.id);
    },
    chooseTarget(service, customer, excluded, now) {
      const entriesOfService = entriesByService.get(service);
      if (!entriesOfService) return undefined;
      const candidates = [...entriesOfService.values()]
        .filter((entry) => !isFullFor(entry, customer, now))
        .map((entry) => toCandidate(entry, now));
      return targetChoice.chooseTarget(candidates, excluded, options.choice, options.random);
    },
    recordSent(id, now) {
      const entry = entries.get(id);
      if (!entry) return;
      entry.inFlight += 1;
      entry.circuit.recordSent(now);
    },
    recordFinished(id, health, now) {
      const entry = entries.get(id);
      if (!entry) return;
      entry.inFlight = Math.max(0, entry.inFlight - 1);
      if (health === 'success') entry.circuit.recordSuccess();
      if (health === 'failure') entry.circuit.recordFailure(now);
    },
    recordLoad(id, load, now) {
      const entry = entries.get(id);
      if (!entry) return;
      entry.reportedLoad = load.running + load.waiting;
      entry.slotFreeMs = load.slotFreeMs;
      entry.reportedAt = now;
    },
    recordFull(id, customer, now) {
      const entry = entries.get(id);
      entry?.fullUntilByCustomer.set(customer, now + entry.slotFreeMs);
    },
    isFull: (service, customer, now) =>
      [...(entriesByService.get(service)?.values() ?? [])].some((entry) =>
        isFullFor(entry, customer, now),
      ),
    removeDraining: remove,
    list: (service, now) =>
      [...(entriesByService.get(service)?.values() ?? [])].map(({ member, inFlight, circuit }) => ({
        id: member.id,
        inFlight,
        circuit: circuit.getState(now),
      })),
  };
}
