/** Topologies of the fleets that the demo, scenarios and measurements start. */
import * as fs from 'node:fs';
import * as zod from 'zod';

const { z } = zod;

const topologySchema = z.object({
  dataCentres: z.array(z.object({ name: z.string(), region: z.string() })),
  /** One-way delays, in milliseconds. */
  sameRegionMs: z.number(),
  betweenRegionsMs: z.number(),
  storeRegion: z.string(),
  slots: z.number(),
  services: z.array(z.string()),
});

export type Topology = zod.infer<typeof topologySchema>;

/**
 * Loads a topology file from the `topologies` directory of this package.
 *
 * @example
 * loadTopology('trust').dataCentres.length; // 6
 */
export function loadTopology(name: string): Topology {
  const file = new URL(`../../topologies/${name}.json`, import.meta.url);
  return topologySchema.parse(JSON.parse(fs.readFileSync(file, 'utf8')));
}

/**
 * Computes the one-way delay between two data centres, in milliseconds.
 *
 * @example
 * computeDelayMs(topology, 'khomas-1', 'erongo-1'); // 12
 */
export function computeDelayMs(topology: Topology, from: string, to: string): number {
  const findRegion = (name: string) =>
    topology.dataCentres.find((dataCentre) => dataCentre.name === name)?.region;
  return findRegion(from) === findRegion(to) ? topology.sameRegionMs : topology.betweenRegionsMs;
}
