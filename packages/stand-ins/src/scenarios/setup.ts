/** Starts the fleets of scenarios, with a first configuration in force. */
import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import type * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import type * as childModule from '../harness/child.js';
import * as fleetModule from '../harness/fleet.js';
import * as operator from '../harness/operator.js';
import * as topologyModule from '../harness/topology.js';
import * as loadModule from './load.js';
import type * as types from './types.js';

const TARGETS_TIMEOUT_MS = 10_000;

/** API key of the customer that scenarios call as. */
export const API_KEY = 'scenario-key-of-a-customer';

/** What a scenario's fleet is made of. */
export interface SetupOptions {
  topology?: 'trust' | 'office';
  /** Data centres to take, by index; all when left out. */
  dataCentres?: readonly number[];
  hostsPerDataCentre?: number;
  hasLinks?: boolean;
  hasTargets?: boolean;
  services?: string[];
  contract?: Partial<core.Contract>;
  log?: Partial<{ retentionMs: number; appendsPerSecond: number }>;
  settings?: Record<string, unknown>;
  target?: fleetModule.FleetOptions['target'];
  serviceOf?: fleetModule.FleetOptions['serviceOf'];
}

/** A fleet of a scenario, and what was printed by targets that are gone. */
export interface ScenarioFleet extends fleetModule.Fleet {
  resources: core.Resource[];
  /** Every line that any target printed so far. */
  listTargetLines(): string[];
  listRunning(): fleetModule.FleetHost[];
  /** Starts the target of a host again, keeping the lines of the one before. */
  replaceTarget(host: fleetModule.FleetHost): Promise<void>;
}

/** Loads of a scenario use these unless it says otherwise. */
export const loadDefaults = {
  key: API_KEY,
  callsPerSecond: 60,
  orderShare: 0.3,
  repeats: 4,
} satisfies Partial<loadModule.LoadOptions>;

/** Waits until every proxy knows the target of every other, as announcements take their time. */
async function waitForTargets(fleet: fleetModule.Fleet): Promise<void> {
  const until = performance.now() + TARGETS_TIMEOUT_MS;
  const countTargets = async (host: fleetModule.FleetHost): Promise<number> => {
    const { members } = (await fleet.request(host, 'members.sync', { digest: '' })) as {
      members: core.Member[];
    };
    return members.filter(({ info }) => info.ready && info.target?.state === 'up').length;
  };
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- one question after the other
    const counts = await Promise.all(fleet.hosts.map(countTargets));
    if (counts.every((count) => count === fleet.hosts.length)) return;
    if (performance.now() > until) throw new Error(`targets known: ${counts.join(', ')}`);
    // eslint-disable-next-line no-await-in-loop -- paces the questions
    await timers.setTimeout(100);
  }
}

/**
 * Starts a fleet and publishes a first configuration.
 *
 * @example
 * const fleet = await setUpFleet(context, { dataCentres: [0, 2] });
 */
export async function setUpFleet(
  context: types.ScenarioContext,
  options: SetupOptions = {},
): Promise<ScenarioFleet> {
  const whole = topologyModule.loadTopology(options.topology ?? 'trust');
  const dataCentres = options.dataCentres
    ? whole.dataCentres.filter((_, index) => options.dataCentres?.includes(index))
    : whole.dataCentres;
  const services = options.services ?? [whole.services[0] as string];
  context.say(`starting ${dataCentres.length} data centres`);
  const fleet = await fleetModule.startFleet({
    topology: { ...whole, dataCentres, services },
    hostsPerDataCentre: options.hostsPerDataCentre ?? 2,
    hasLinks: options.hasLinks ?? true,
    hasTargets: options.hasTargets ?? true,
    ...(options.log ? { log: options.log } : {}),
    ...(options.settings ? { settings: options.settings } : {}),
    ...(options.target ? { target: options.target } : {}),
    ...(options.serviceOf ? { serviceOf: options.serviceOf } : {}),
  });
  const resources = operator.createResources(fleet, { key: API_KEY, ...options.contract });
  const document = operator.writeDocument(fleet, 'first', resources);
  const published = await operator.runCommand(fleet, ['publish', document, '--wait']);
  if (published.exitCode !== 0) {
    await fleet.stop();
    throw new Error(`publish failed: ${published.lines.join('\n')}`);
  }
  if (options.hasTargets ?? true) await waitForTargets(fleet);
  const oldTargets: childModule.Child[] = [];
  context.say(`${fleet.hosts.length} proxies run, first version in force`);
  return {
    ...fleet,
    resources,
    listTargetLines: () =>
      [...oldTargets, ...fleet.hosts.map(({ target }) => target)].flatMap(
        (target) => target?.lines ?? [],
      ),
    listRunning: () => fleet.hosts.filter(({ proxy, isReady }) => isReady && proxy?.isRunning()),
    async replaceTarget(host) {
      if (host.target) oldTargets.push(host.target);
      await fleet.startTarget(host);
    },
  };
}

/** What an operator was told of a change made straight on the log. */
export interface ChangeTry {
  id: string;
  offset: number;
}

/**
 * Appends a change of the customer's weight straight to the log, as a small operator's client.
 *
 * @example
 * const { offset } = await appendChange(fleet, 3, revision);
 */
export async function appendChange(
  fleet: ScenarioFleet,
  weight: number,
  base: number,
): Promise<ChangeTry> {
  const contract = fleet.resources.find(({ kind }) => kind === 'contract') as core.Contract;
  const change: core.Change = {
    type: 'change',
    id: uuid.v7(),
    author: 'scenario',
    base: { 'contract/customer-1': base },
    put: [{ ...contract, weight }],
    remove: [],
  };
  const log = runtime.createLogClient({ url: fleet.logUrl, timeoutMs: 1_000 });
  try {
    return { id: change.id, offset: await log.append('config', change) };
  } finally {
    await log.close();
  }
}

/** Status of one proxy, as far as scenarios read it. */
export interface Status {
  id: string;
  version: number;
  position: number;
  ready: boolean;
  members: number;
  inFlight: number;
  metrics: Record<string, number>;
  target: core.TargetInfo | null;
  quarantine: { fingerprint: string; quarantined: boolean; deaths: number }[];
  controlBytes: { sent: number; received: number };
  cpuMs: number;
  memoryBytes: number;
}

/**
 * Reads the status of hosts; those that do not answer are left out.
 *
 * @example
 * const statuses = await readStatuses(fleet, fleet.hosts);
 */
export async function readStatuses(
  fleet: fleetModule.Fleet,
  hosts: readonly fleetModule.FleetHost[],
): Promise<Status[]> {
  const answers = await Promise.all(
    hosts.map((host) => fleet.request(host, 'status.get').catch(() => undefined)),
  );
  return answers.filter((answer): answer is Status => answer !== undefined);
}

/**
 * Waits until every host shows a position, and returns the time that took in milliseconds.
 *
 * @throws Error when the time is over before that.
 * @example
 * const ms = await waitForPosition(fleet, fleet.hosts, offset, 10_000);
 */
export async function waitForPosition(
  fleet: fleetModule.Fleet,
  hosts: readonly fleetModule.FleetHost[],
  position: number,
  timeoutMs: number,
): Promise<number> {
  const startedAt = performance.now();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- one question after the other
    const statuses = await readStatuses(fleet, hosts);
    const done = statuses.filter((status) => status.position >= position);
    const elapsedMs = performance.now() - startedAt;
    if (done.length === hosts.length) return elapsedMs;
    if (elapsedMs > timeoutMs) {
      const ids = done.map(({ id }) => id);
      const missing = hosts.filter(({ id }) => !ids.includes(id)).map(({ id }) => id);
      throw new Error(`position ${position} is missing at ${missing.join(', ')}`);
    }
    // eslint-disable-next-line no-await-in-loop -- paces the questions
    await timers.setTimeout(20);
  }
}

/** Runs an action with a fleet, and stops the fleet whatever happens. */
export async function withFleet(
  context: types.ScenarioContext,
  options: SetupOptions,
  action: (fleet: ScenarioFleet) => Promise<types.ScenarioResult>,
): Promise<types.ScenarioResult> {
  const fleet = await setUpFleet(context, options);
  try {
    return await action(fleet);
  } finally {
    await fleet.stop();
  }
}

/**
 * Starts a flow of calls to the first service through all running proxies.
 *
 * @example
 * const load = startLoad(fleet, context, { callsPerSecond: 120 });
 */
export function startLoad(
  fleet: ScenarioFleet,
  context: types.ScenarioContext,
  options: Partial<loadModule.LoadOptions> = {},
): loadModule.Load {
  return loadModule.startLoad(
    {
      ...loadDefaults,
      service: fleet.topology.services[0] as string,
      listHosts: fleet.listRunning,
      ...options,
    },
    context.random,
    fleet.listTargetLines,
  );
}
