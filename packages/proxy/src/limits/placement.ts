/**
 * Placement of the coordinators of shares: per customer group, one process in each data centre and
 * one for the fleet.
 */
import * as core from '@figshed/core';
import type * as configTask from '../tasks/config-task.js';
import type * as gossipTask from '../tasks/gossip-task.js';
import * as constants from './constants.js';

/** Finds the coordinators of a customer group by rendezvous hashing. */
export interface Placement {
  findCoordinator(dataCentre: string, group: number): core.Member | undefined;
  findFleetCoordinator(group: number): core.Member | undefined;
}

/**
 * Computes the group of a customer from a hash of its name.
 *
 * @example
 * computeGroup('school'); // 0 to 3
 */
export function computeGroup(customer: string): number {
  return core.computeHash32(customer) % constants.GROUP_COUNT;
}

/**
 * Creates the placement from the members that this process has observed.
 *
 * @example
 * const coordinator = createPlacement('khomas-1', gossip, config).findCoordinator('khomas-1', 0);
 */
export function createPlacement(
  ownDataCentre: string,
  gossip: gossipTask.GossipTask,
  config: configTask.ConfigTask,
): Placement {
  const findCoordinator = (dataCentre: string, group: number): core.Member | undefined => {
    const candidates = gossip.listDutyCandidates({ dataCentre });
    const ids = candidates.map(({ id }) => id);
    const [id] = core.chooseByRendezvousHash(`limits|${dataCentre}|${group}`, ids, 1);
    return candidates.find((member) => member.id === id);
  };

  const findFleetCoordinator = (group: number): core.Member | undefined => {
    const dataCentres = config.getCurrent()?.dataCentres ?? [];
    const [dataCentre] = core.chooseByRendezvousHash(`limits|${group}`, dataCentres, 1);
    return findCoordinator(dataCentre ?? ownDataCentre, group);
  };

  return { findCoordinator, findFleetCoordinator };
}
