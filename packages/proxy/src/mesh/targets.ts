/** Which targets may be called from here, and what is known of each. */
import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as constants from './constants.js';
import type * as contextModule from './context.js';

/** The targets that this process may call. */
export interface Targets {
  setMember(member: core.Member): void;
  choose(
    service: string,
    tried: ReadonlySet<string>,
    call: { answerKilobytes: number; mayBeLate: boolean },
  ): mesh.Placement | undefined;
  /** Tells whether a target that was not tried is known to have a free slot. */
  hasRoom(service: string, tried: ReadonlySet<string>): boolean;
  noteLoad(hostId: string, load: mesh.TargetLoad): void;
  noteOpened(hostId: string): void;
  noteClosed(hostId: string): void;
  /**
   * The host did not answer an attempt that was opened at `since`; it is passed over for a while
   * unless it was heard on another connection meanwhile.
   */
  noteSilent(hostId: string, since: number): void;
  noteHeard(hostId: string): void;
  endpoint(hostId: string): core.Endpoint | undefined;
}

interface Entry {
  member: core.Member;
  openCalls: number;
  load: mesh.TargetLoad | undefined;
  loadAt: number;
  heardAt: number;
  circuit: core.Circuit;
}

/** One silence is enough: a live peer acknowledges within its bound. */
const circuitOptions: core.CircuitOptions = {
  failuresToOpen: 1,
  windowMs: constants.SILENT_HOST_MS,
  openMs: constants.SILENT_HOST_MS,
};

/**
 * Creates an empty table.
 *
 * @example
 * const targets = createTargets(ctx);
 */
export function createTargets(ctx: contextModule.MeshContext): Targets {
  const { settings, clock, random } = ctx;
  const entries = new Map<string, Entry>();

  const computeReach = ({ id, info }: core.Member): mesh.Reach => {
    if (id === settings.id) return 'own-host';
    if (info.dataCentre === settings.dataCentre) return 'data-centre';
    return info.region === settings.region ? 'region' : 'remote';
  };

  const isCallable = ({ member }: Entry, service: string): boolean =>
    (member.status === 'alive' || member.status === 'suspect') &&
    member.info.ready &&
    member.info.target?.state === 'up' &&
    member.info.target.service === service;

  const listCallable = (service: string): Entry[] =>
    [...entries.values()].filter((entry) => isCallable(entry, service));

  const describe = (entry: Entry, now: number): mesh.PlacementCandidate => ({
    hostId: entry.member.id,
    reach: computeReach(entry.member),
    slots: entry.member.info.target?.slots ?? 1,
    openCalls: entry.openCalls,
    load: entry.load,
    loadAgeMs: now - entry.loadAt,
    isCold: entry.member.info.target?.isCold === true,
  });

  return {
    setMember(member) {
      const known = entries.get(member.id);
      const isSameProcess = known?.member.info.instance === member.info.instance;
      const isSameTarget = isSameProcess && known.member.info.target?.id === member.info.target?.id;
      entries.set(member.id, {
        member,
        openCalls: known?.openCalls ?? 0,
        load: isSameTarget ? known.load : undefined,
        loadAt: isSameTarget ? known.loadAt : 0,
        heardAt: known?.heardAt ?? 0,
        circuit: isSameProcess ? known.circuit : core.createCircuit(circuitOptions),
      });
    },
    choose(service, tried, call) {
      const now = clock.monotonic();
      const callable = listCallable(service);
      const open = callable.filter(({ circuit }) => circuit.mayCall(now));
      const placement = mesh.choosePlacement(
        (open.length > 0 ? open : callable).map((entry) => describe(entry, now)),
        tried,
        call,
        mesh.placementDefaults,
        random,
      );
      if (placement) entries.get(placement.hostId)?.circuit.noteSent(now);
      return placement;
    },
    hasRoom(service, tried) {
      const now = clock.monotonic();
      return listCallable(service).some(
        (entry) =>
          !tried.has(entry.member.id) &&
          entry.circuit.mayCall(now) &&
          mesh.hasFreeSlot(describe(entry, now), mesh.placementDefaults),
      );
    },
    noteLoad(hostId, load) {
      const entry = entries.get(hostId);
      if (!entry) return;
      entry.load = load;
      entry.loadAt = clock.monotonic();
    },
    noteOpened(hostId) {
      const entry = entries.get(hostId);
      if (entry) entry.openCalls += 1;
    },
    noteClosed(hostId) {
      const entry = entries.get(hostId);
      if (entry) entry.openCalls = Math.max(0, entry.openCalls - 1);
    },
    noteSilent(hostId, since) {
      const entry = entries.get(hostId);
      if (entry && entry.heardAt < since) entry.circuit.noteFailure(clock.monotonic());
    },
    noteHeard(hostId) {
      const entry = entries.get(hostId);
      if (!entry) return;
      entry.heardAt = clock.monotonic();
      entry.circuit.noteSuccess();
    },
    endpoint(hostId) {
      const info = entries.get(hostId)?.member.info;
      return info ? { address: info.address, port: info.peerPort } : undefined;
    },
  };
}
