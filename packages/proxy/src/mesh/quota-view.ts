/** What the membership tells the quotas: the coordinators, and how many hosts there are. */
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';
import type * as gossipMembers from './gossip-members.js';

export interface QuotaView {
  /** Reads the membership; returns false while too little of it is known. */
  update(): boolean;
  get(): mesh.QuotaMembership;
  /** Returns the address and the `peerPort` of a host; undefined if it is not known. */
  findEndpoint(id: string): core.Endpoint | undefined;
  isOwnCoordinator(coordinators: readonly string[]): boolean;
}

/** Part of the hosts that must be alive in the first view; a small one names other coordinators. */
const MIN_FIRST_SHARE = 0.5;
/** Time after which a first view is used whatever it contains; gossip needs less after a start. */
const MAX_FIRST_VIEW_MS = 1_500;
/** Interval of the later views; the membership takes longer to notice anything. */
const VIEW_INTERVAL_MS = 400;

/**
 * Creates an empty view.
 *
 * @example
 * const view = createQuotaView(ctx, members, quotaDefaults.maxCoordinators);
 */
export function createQuotaView(
  { settings, clock }: Pick<context.MeshContext, 'settings' | 'clock'>,
  members: Pick<gossipMembers.Members, 'list' | 'countKnownHosts'>,
  maxCoordinators: number,
): QuotaView {
  const firstViewUntil = clock.monotonic() + MAX_FIRST_VIEW_MS;
  let nextAt = 0;
  let endpoints = new Map<string, core.Endpoint>();
  let rankedHosts = '';
  let membership: mesh.QuotaMembership = { coordinators: [], others: [], knownHosts: undefined };

  return {
    update() {
      if (clock.monotonic() < nextAt) return true;
      const list = members.list();
      const present = list.filter(({ status }) => status === 'alive' || status === 'suspect');
      const listed = members.countKnownHosts();
      const isFirst = membership.coordinators.length === 0 && clock.monotonic() < firstViewUntil;
      const ready = present.filter(({ info }) => info.ready);
      if (isFirst && (listed === undefined || ready.length < listed * MIN_FIRST_SHARE))
        return false;
      nextAt = clock.monotonic() + VIEW_INTERVAL_MS;
      // Without the host registry, the members that gossip tells of are all that is known.
      const known = list.filter(({ status }) => status !== 'left');
      const knownHosts = listed ?? known.length;
      const others = known.map(({ id }) => id).filter((id) => id !== settings.id);
      membership = { ...membership, others, knownHosts };
      // A host that stops is not ready, and hands its accounts over while it still responds.
      const candidates = ready.length > 0 ? ready : present;
      endpoints = new Map(
        list.map(({ id, info }) => [id, { address: info.address, port: info.peerPort }]),
      );
      const key = candidates
        .map(({ id, info }) => `${id} ${info.address} ${info.linkMbps}`)
        .sort()
        .join('|');
      if (key === rankedHosts) return true;
      rankedHosts = key;
      const coordinators = mesh
        .rankReaders(candidates.map(({ id, info }) => ({ id, linkMbps: info.linkMbps })))
        .slice(0, maxCoordinators);
      membership = { coordinators, others, knownHosts };
      return true;
    },
    get: () => membership,
    findEndpoint: (id) => endpoints.get(id),
    isOwnCoordinator: (ids) => ids.includes(settings.id),
  };
}
