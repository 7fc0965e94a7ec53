/** Divides the calls of a route among its parts in the proportions of their weights. */
import type * as clock from '../shared/clock.js';
import type * as types from './types.js';

/** Chooses a part for each call. */
export interface Splitter {
  choose(route: types.RoutePolicy): string;
}

/**
 * Creates a splitter by smooth weighted round-robin, which keeps to the weights also over few
 * calls. Each process starts at a random place, so that small parts are not all called at once.
 *
 * @example
 * const splitter = createSplitter(random);
 * splitter.choose(route); // 'catalogue'
 */
export function createSplitter(random: clock.Random): Splitter {
  const credits = new Map<string, { shape: string; values: number[] }>();

  const open = (route: types.RoutePolicy): number[] => {
    const shape = route.parts.map(({ service, weight }) => `${service}=${weight}`).join(',');
    const known = credits.get(route.name);
    if (known?.shape === shape) return known.values;
    const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
    const values = route.parts.map(() => random() * total);
    credits.set(route.name, { shape, values });
    return values;
  };

  return {
    choose(route) {
      const [first] = route.parts;
      if (!first) return '';
      if (route.parts.length === 1) return first.service;
      const values = open(route);
      const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
      let best = 0;
      route.parts.forEach(({ weight }, index) => {
        values[index] = (values[index] ?? 0) + weight;
        if ((values[index] ?? 0) > (values[best] ?? 0)) best = index;
      });
      values[best] = (values[best] ?? 0) - total;
      return route.parts[best]?.service ?? first.service;
    },
  };
}
