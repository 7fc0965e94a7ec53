/** Which process keeps the shares of a group of customers. */
import * as core from '@figshed/core';
import type * as configTask from '../tasks/config-task.js';
import type * as gossipTask from '../tasks/gossip-task.js';
import * as constants from './constants.js';

/** Finds keepers. */
export interface Placement {
  findKeeper(dataCentre: string, group: number): core.Member | undefined;
  findFleetKeeper(group: number): core.Member | undefined;
}

/**
 * Computes the group of a customer.
 *
 * @example
 * findGroup('school'); // 0 to 3
 */
export function findGroup(customer: string): number {
  return core.computeHash32(customer) % constants.GROUPS;
}

/**
 * Creates the placement by this process's view of the members.
 *
 * @example
 * const keeper = createPlacement('khomas-1', gossip, config).findKeeper('khomas-1', 0);
 */
export function createPlacement(
  ownDataCentre: string,
  gossip: gossipTask.GossipTask,
  config: configTask.ConfigTask,
): Placement {
  const findKeeper = (dataCentre: string, group: number): core.Member | undefined => {
    const holders = gossip.listHolders({ dataCentre });
    const ids = holders.map(({ id }) => id);
    const [id] = core.chooseHolders(`limits|${dataCentre}|${group}`, ids, 1);
    return holders.find((member) => member.id === id);
  };

  const findFleetKeeper = (group: number): core.Member | undefined => {
    const names = config.current()?.dataCentres ?? [];
    const [dataCentre] = core.chooseHolders(`limits|${group}`, names, 1);
    return findKeeper(dataCentre ?? ownDataCentre, group);
  };

  return { findKeeper, findFleetKeeper };
}
