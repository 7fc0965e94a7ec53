/** Splits the calls of a route among its services in proportion to their weights. */
import type * as clock from '../shared/clock.js';
import type * as types from './types.js';

export interface TrafficSplitter {
  /** Returns the service for the next call of a route; an empty string if it has no parts. */
  chooseService(route: types.RoutePolicy): string;
}

/**
 * Creates a splitter that uses smooth weighted round-robin, which matches the weights even over
 * few calls. Each process starts with random current weights, so that not all processes call the
 * services with small weights at the same time.
 *
 * @example
 * const splitter = createTrafficSplitter(random);
 * splitter.chooseService(route); // 'catalogue'
 */
export function createTrafficSplitter(random: clock.Random): TrafficSplitter {
  const splitsByRoute = new Map<string, { partsKey: string; currentWeights: number[] }>();

  const getCurrentWeights = (route: types.RoutePolicy): number[] => {
    const partsKey = route.parts.map(({ service, weight }) => `${service}=${weight}`).join(',');
    const split = splitsByRoute.get(route.name);
    if (split?.partsKey === partsKey) return split.currentWeights;
    const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
    const currentWeights = route.parts.map(() => random() * total);
    splitsByRoute.set(route.name, { partsKey, currentWeights });
    return currentWeights;
  };

  return {
    chooseService(route) {
      const [firstPart] = route.parts;
      if (!firstPart) return '';
      if (route.parts.length === 1) return firstPart.service;
      const currentWeights = getCurrentWeights(route);
      const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
      let chosenIndex = 0;
      route.parts.forEach(({ weight }, index) => {
        currentWeights[index] = (currentWeights[index] ?? 0) + weight;
        if ((currentWeights[index] ?? 0) > (currentWeights[chosenIndex] ?? 0)) chosenIndex = index;
      });
      currentWeights[chosenIndex] = (currentWeights[chosenIndex] ?? 0) - total;
      return route.parts[chosenIndex]?.service ?? firstPart.service;
    },
  };
}
