/** What one process knows of every target: who runs it, how loaded it is, whether it answers. */
import type * as membershipTypes from '../membership/types.js';
import type * as clock from '../shared/clock.js';
import * as choice from './choice.js';
import * as circuits from './circuit.js';

/** Load that a target's proxy reports with each answer. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** Mean time between two slots that free at the target while it is full, in milliseconds. */
  slotFreeMs: number;
}

/** How an attempt ended, as far as the target's circuit is concerned. */
export type AttemptHealth = 'success' | 'failure' | 'neutral';

/** The table of targets. */
export interface TargetTable {
  setMember(member: membershipTypes.Member, now: number): void;
  /** Passes over targets that are full for the customer. */
  choose(
    service: string,
    customer: string,
    excluded: ReadonlySet<string>,
    now: number,
  ): choice.Choice | undefined;
  noteSent(id: string, now: number): void;
  noteFinished(id: string, health: AttemptHealth, now: number): void;
  noteLoad(id: string, load: LoadReport, now: number): void;
  /** Notes that a target had no room for a customer; it has none until a slot frees. */
  noteFull(id: string, customer: string, now: number): void;
  /** Tells whether a target of the service is known to have no room for the customer now. */
  isFull(service: string, customer: string, now: number): boolean;
  /** Notes that a target refused work because it drains, ahead of the gossip about it. */
  noteDraining(id: string): void;
  list(
    service: string,
    now: number,
  ): { id: string; inFlight: number; circuit: circuits.CircuitState }[];
}

/** What the table needs. */
export interface TargetTableInput {
  dataCentre: string;
  region: string;
  choice: choice.ChoiceOptions;
  circuit: circuits.CircuitOptions;
  random: clock.Random;
}

interface Entry {
  member: membershipTypes.Member;
  service: string;
  slots: number;
  upSince: number;
  inFlight: number;
  load: number;
  loadAt: number;
  slotFreeMs: number;
  /** Until when the target has no room, for each customer; monotonic time in milliseconds. */
  fullUntil: Map<string, number>;
  circuit: circuits.Circuit;
}

function isUsable(member: membershipTypes.Member): boolean {
  const isLive = member.status === 'alive' || member.status === 'suspect';
  return isLive && member.info.ready && member.info.target?.state === 'up';
}

/**
 * Creates an empty table.
 *
 * @example
 * const table = createTargetTable({ dataCentre: 'khomas-1', region: 'khomas', choice, circuit, random });
 */
export function createTargetTable(input: TargetTableInput): TargetTable {
  const entries = new Map<string, Entry>();
  const services = new Map<string, Map<string, Entry>>();

  const remove = (id: string): void => {
    const entry = entries.get(id);
    if (!entry) return;
    entries.delete(id);
    services.get(entry.service)?.delete(id);
  };

  const readDistance = ({ info }: membershipTypes.Member): choice.Distance => {
    if (info.dataCentre === input.dataCentre) return 'data-centre';
    return info.region === input.region ? 'region' : 'remote';
  };

  const insert = (member: membershipTypes.Member, now: number): void => {
    const { target } = member.info;
    if (!target) return;
    const known = entries.get(member.id);
    const isSame =
      known?.member.info.instance === member.info.instance && known.service === target.service;
    if (known && !isSame) remove(member.id);
    const entry: Entry = {
      upSince: now,
      inFlight: 0,
      load: 0,
      loadAt: -Infinity,
      slotFreeMs: 0,
      fullUntil: new Map<string, number>(),
      circuit: circuits.createCircuit(input.circuit),
      ...(isSame ? known : {}),
      member,
      service: target.service,
      slots: target.slots,
    };
    entries.set(member.id, entry);
    const group = services.get(target.service) ?? new Map<string, Entry>();
    services.set(target.service, group.set(member.id, entry));
  };

  const describe = (entry: Entry, now: number): choice.Candidate => ({
    id: entry.member.id,
    distance: readDistance(entry.member),
    slots: entry.slots,
    inFlight: entry.inFlight,
    reportedLoad: entry.load,
    reportAgeMs: now - entry.loadAt,
    upForMs: now - entry.upSince,
    mayCall: entry.circuit.mayCall(now),
  });

  const isFullFor = (entry: Entry, customer: string, now: number): boolean =>
    (entry.fullUntil.get(customer) ?? 0) > now;

  return {
    setMember(member, now) {
      if (isUsable(member)) insert(member, now);
      else remove(member.id);
    },
    choose(service, customer, excluded, now) {
      const group = services.get(service);
      if (!group) return undefined;
      const candidates = [...group.values()]
        .filter((entry) => !isFullFor(entry, customer, now))
        .map((entry) => describe(entry, now));
      return choice.chooseTarget(candidates, excluded, input.choice, input.random);
    },
    noteSent(id, now) {
      const entry = entries.get(id);
      if (!entry) return;
      entry.inFlight += 1;
      entry.circuit.noteSent(now);
    },
    noteFinished(id, health, now) {
      const entry = entries.get(id);
      if (!entry) return;
      entry.inFlight = Math.max(0, entry.inFlight - 1);
      if (health === 'success') entry.circuit.noteSuccess();
      if (health === 'failure') entry.circuit.noteFailure(now);
    },
    noteLoad(id, load, now) {
      const entry = entries.get(id);
      if (!entry) return;
      entry.load = load.running + load.waiting;
      entry.slotFreeMs = load.slotFreeMs;
      entry.loadAt = now;
    },
    noteFull(id, customer, now) {
      const entry = entries.get(id);
      entry?.fullUntil.set(customer, now + entry.slotFreeMs);
    },
    isFull: (service, customer, now) =>
      [...(services.get(service)?.values() ?? [])].some((entry) => isFullFor(entry, customer, now)),
    noteDraining: remove,
    list: (service, now) =>
      [...(services.get(service)?.values() ?? [])].map(({ member, inFlight, circuit }) => ({
        id: member.id,
        inFlight,
        circuit: circuit.state(now),
      })),
  };
}
