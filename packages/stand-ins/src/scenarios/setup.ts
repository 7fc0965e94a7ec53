import * as timers from 'node:timers/promises';
import * as uuid from 'uuid';
import type * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import type * as childProcesses from '../harness/child.js';
import * as fleets from '../harness/fleet.js';
import * as operator from '../harness/operator.js';
import * as topologies from '../harness/topology.js';
import * as loadGenerator from './load.js';
import type * as types from './types.js';

const TARGETS_TIMEOUT_MS = 10_000;

/** API key of the customer whose calls scenarios send. */
export const API_KEY = 'scenario-key-of-a-customer';

export interface SetupOptions {
  topology?: 'trust' | 'office';
  /** Indexes of the data centres to start; defaults to all. */
  dataCentres?: readonly number[];
  hostsPerDataCentre?: number;
  hasLinks?: boolean;
  hasTargets?: boolean;
  services?: string[];
  contract?: Partial<core.Contract>;
  log?: Partial<{ retentionMs: number; appendsPerSecond: number }>;
  settings?: Record<string, unknown>;
  target?: fleets.FleetOptions['target'];
  chooseService?: fleets.FleetOptions['chooseService'];
}

/** A fleet that also keeps the output of targets that were replaced. */
export interface ScenarioFleet extends fleets.Fleet {
  resources: core.Resource[];
  /** Lists the output lines of all targets, replaced ones included. */
  listTargetLines(): string[];
  /** Lists the hosts whose proxy runs and is ready for calls. */
  listReadyHosts(): fleets.FleetHost[];
  /** Starts the target of a host again and keeps the output of the replaced one. */
  replaceTarget(host: fleets.FleetHost): Promise<void>;
}

export const defaultLoadOptions = {
  apiKey: API_KEY,
  callsPerSecond: 60,
  orderShare: 0.3,
  repeats: 4,
} satisfies Partial<loadGenerator.LoadOptions>;

/** Waits until every proxy lists all targets as up; the gossip of their announcements takes time. */
async function waitForTargets(fleet: fleets.Fleet): Promise<void> {
  const deadline = performance.now() + TARGETS_TIMEOUT_MS;
  const countTargets = async (host: fleets.FleetHost): Promise<number> => {
    const { members } = (await fleet.request(host, 'members.sync', { digest: '' })) as {
      members: core.Member[];
    };
    return members.filter(({ info }) => info.ready && info.target?.state === 'up').length;
  };
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polls until done
    const counts = await Promise.all(fleet.hosts.map(countTargets));
    if (counts.every((count) => count === fleet.hosts.length)) return;
    if (performance.now() > deadline)
      throw new Error(`not all targets came up in time; up at each proxy: ${counts.join(', ')}`);
    // eslint-disable-next-line no-await-in-loop -- paces the polls
    await timers.setTimeout(100);
  }
}

/**
 * Starts a fleet and publishes a first configuration; resolves once it is in force everywhere.
 *
 * @throws Error when publishing fails, or when a target is not up at every proxy in time.
 * @example
 * const fleet = await setUpFleet(context, { dataCentres: [0, 2] });
 */
export async function setUpFleet(
  context: types.ScenarioContext,
  options: SetupOptions = {},
): Promise<ScenarioFleet> {
  const topology = topologies.loadTopology(options.topology ?? 'trust');
  const dataCentres = options.dataCentres
    ? topology.dataCentres.filter((_, index) => options.dataCentres?.includes(index))
    : topology.dataCentres;
  const services = options.services ?? [topology.services[0] as string];
  context.print(`starting ${dataCentres.length} data centres`);
  const fleet = await fleets.startFleet({
    topology: { ...topology, dataCentres, services },
    hostsPerDataCentre: options.hostsPerDataCentre ?? 2,
    hasLinks: options.hasLinks ?? true,
    hasTargets: options.hasTargets ?? true,
    ...(options.log ? { log: options.log } : {}),
    ...(options.settings ? { settings: options.settings } : {}),
    ...(options.target ? { target: options.target } : {}),
    ...(options.chooseService ? { chooseService: options.chooseService } : {}),
  });
  const resources = operator.createResources(fleet, { apiKey: API_KEY, ...options.contract });
  const document = operator.writeDocument(fleet, 'first', resources);
  const result = await operator.runCommand(fleet, ['publish', document, '--wait']);
  if (result.exitCode !== 0) {
    await fleet.stop();
    throw new Error(`publish failed: ${result.lines.join('\n')}`);
  }
  if (options.hasTargets ?? true) await waitForTargets(fleet);
  const replacedTargets: childProcesses.ChildHandle[] = [];
  context.print(`${fleet.hosts.length} proxies run, first version in force`);
  return {
    ...fleet,
    resources,
    listTargetLines: () =>
      [...replacedTargets, ...fleet.hosts.map(({ target }) => target)].flatMap(
        (target) => target?.outputLines ?? [],
      ),
    listReadyHosts: () => fleet.hosts.filter(({ proxy, isReady }) => isReady && proxy?.isRunning()),
    async replaceTarget(host) {
      if (host.target) replacedTargets.push(host.target);
      await fleet.startTarget(host);
    },
  };
}

export interface AppendedChange {
  id: string;
  offset: number;
}

/**
 * Appends a change of the customer's weight directly to the log, without the operators' command.
 *
 * @example
 * const { offset } = await appendChange(fleet, 3, revision);
 */
export async function appendChange(
  fleet: ScenarioFleet,
  weight: number,
  base: number,
): Promise<AppendedChange> {
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

/** Fields of a proxy's status that scenarios read. */
export interface ProxyStatus {
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
 * Reads the status of hosts and omits those that do not respond.
 *
 * @example
 * const statuses = await readStatuses(fleet, fleet.hosts);
 */
export async function readStatuses(
  fleet: fleets.Fleet,
  hosts: readonly fleets.FleetHost[],
): Promise<ProxyStatus[]> {
  const statuses = await Promise.all(
    hosts.map((host) => fleet.request(host, 'status.get').catch(() => undefined)),
  );
  return statuses.filter((status): status is ProxyStatus => status !== undefined);
}

/**
 * Waits until every host reports at least a position, and returns the elapsed milliseconds.
 *
 * @throws Error when a host does not reach it within `timeoutMs`.
 * @example
 * const ms = await waitForPosition(fleet, fleet.hosts, offset, 10_000);
 */
export async function waitForPosition(
  fleet: fleets.Fleet,
  hosts: readonly fleets.FleetHost[],
  position: number,
  timeoutMs: number,
): Promise<number> {
  const startedAt = performance.now();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polls until done
    const statuses = await readStatuses(fleet, hosts);
    const reached = statuses.filter((status) => status.position >= position);
    const elapsedMs = performance.now() - startedAt;
    if (reached.length === hosts.length) return elapsedMs;
    if (elapsedMs > timeoutMs) {
      const ids = reached.map(({ id }) => id);
      const missing = hosts.filter(({ id }) => !ids.includes(id)).map(({ id }) => id);
      throw new Error(`position ${position} was not reached at ${missing.join(', ')}`);
    }
    // eslint-disable-next-line no-await-in-loop -- paces the polls
    await timers.setTimeout(20);
  }
}

/** Runs an action with a fleet, and stops the fleet even when the action fails. */
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
 * Starts a load of calls to the first service through all running proxies.
 *
 * @example
 * const load = startLoad(fleet, context, { callsPerSecond: 120 });
 */
export function startLoad(
  fleet: ScenarioFleet,
  context: types.ScenarioContext,
  options: Partial<loadGenerator.LoadOptions> = {},
): loadGenerator.RunningLoad {
  return loadGenerator.startLoad(
    {
      ...defaultLoadOptions,
      service: fleet.topology.services[0] as string,
      listHosts: fleet.listReadyHosts,
      ...options,
    },
    context.random,
    fleet.listTargetLines,
  );
}
