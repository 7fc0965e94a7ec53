/** Faults that the soak injects from outside the processes. */
import * as timers from 'node:timers/promises';
import type * as meshFleet from '../mesh/mesh-fleet.js';
import type * as meshTarget from '../mesh/mesh-target.js';
import type * as checks from './checks.js';
import type * as faultLink from './fault-link.js';

/** What a fault may act on. */
export interface SoakWorld {
  fleet: meshFleet.MeshFleet;
  /** Links to the targets, by host name. */
  links: ReadonlyMap<string, faultLink.FaultLink>;
  random: () => number;
  leavings: checks.Leaving[];
  /** Targets that are gone; their runs still count. */
  formerTargets: meshTarget.MeshTarget[];
  /** Starts a new target on a host. */
  replaceTarget(host: meshFleet.MeshHost): Promise<void>;
  /** Publishes the next version. */
  publishNext(): void;
  /** Publishes the version before the newest again, as a store that was restored would show it. */
  publishOlder(): void;
}

/** Injects one fault, ends it, and returns whether it took place. */
export type Fault = (world: SoakWorld, durationMs: number) => Promise<boolean>;

const RESTART_MS = 100;
/** How long a leaving target goes on serving; the platform's bound. */
const DRAIN_MS = 2_000;
const STORM_GAP_MS = 60;
const SLOW_MS = 300;
const LINK_DELAY_MS = 80;

function pickHost({ fleet, random }: SoakWorld): meshFleet.MeshHost {
  return fleet.hosts[Math.floor(random() * fleet.hosts.length)] as meshFleet.MeshHost;
}

const turns = new WeakMap<object, Promise<unknown>>();

/** Runs steps on one host one after the other, so that no process or target is started twice. */
function runInTurn(host: meshFleet.MeshHost, step: () => Promise<boolean>): Promise<boolean> {
  const turn = (turns.get(host) ?? Promise.resolve()).then(step);
  turns.set(
    host,
    turn.catch(() => undefined),
  );
  return turn;
}

function restart(host: meshFleet.MeshHost, signal: NodeJS.Signals): Promise<boolean> {
  return runInTurn(host, async () => {
    await host.stop(signal);
    await timers.setTimeout(RESTART_MS);
    host.start();
    return true;
  });
}

/** Changes in force on one set of switches, in the order of their begin. */
const overlays = new WeakMap<object, { base: object; changes: object[] }>();

/** Holds a change for a while; others that overlap it stay in force when it ends. */
async function withChange<T extends object>(
  switches: T,
  durationMs: number,
  change: Partial<T>,
): Promise<boolean> {
  const state = overlays.get(switches) ?? { base: { ...switches }, changes: [] };
  overlays.set(switches, state);
  const apply = (): void => {
    Object.assign(switches, state.base, ...state.changes);
  };
  state.changes.push(change);
  apply();
  await timers.setTimeout(durationMs);
  state.changes = state.changes.filter((other) => other !== change);
  apply();
  return true;
}

type StoreFaults = meshFleet.MeshFleet['store']['faults'];

const withStoreFault = (
  { fleet }: SoakWorld,
  durationMs: number,
  change: Partial<StoreFaults>,
): Promise<boolean> => withChange(fleet.store.faults, durationMs, change);

const withTargetFault = (
  world: SoakWorld,
  durationMs: number,
  change: Partial<meshTarget.TargetFaults>,
): Promise<boolean> => withChange(pickHost(world).target.faults, durationMs, change);

async function withLinkFault(
  world: SoakWorld,
  durationMs: number,
  change: Partial<faultLink.LinkFaults>,
): Promise<boolean> {
  const link = world.links.get(pickHost(world).name);
  return link ? withChange(link.faults, durationMs, change) : false;
}

/** Every fault by its name. */
export const faults: Readonly<Record<string, Fault>> = {
  'kill-process': (world) => restart(pickHost(world), 'SIGKILL'),
  'stop-process': (world) => restart(pickHost(world), 'SIGTERM'),
  'freeze-process': async function (world, durationMs) {
    const { child } = pickHost(world);
    const isFrozen = child?.kill('SIGSTOP') === true;
    await timers.setTimeout(durationMs);
    child?.kill('SIGCONT');
    return isFrozen;
  },
  'kill-all': async function ({ fleet }) {
    await Promise.all(fleet.hosts.map((host) => restart(host, 'SIGKILL')));
    return true;
  },
  'crash-target': function (world, durationMs) {
    const host = pickHost(world);
    return runInTurn(host, async () => {
      const { target } = host;
      await target.close();
      world.formerTargets.push(target);
      await timers.setTimeout(durationMs / 2);
      await world.replaceTarget(host);
      return true;
    });
  },
  'drain-target': function (world) {
    const host = pickHost(world);
    return runInTurn(host, async () => {
      const { target } = host;
      target.stopBeats();
      const acknowledged = (await target.announce('draining')) === 200;
      if (acknowledged) world.leavings.push({ target, acknowledgedAt: Date.now() });
      await timers.setTimeout(DRAIN_MS * 1.5);
      await target.deregister();
      await target.close();
      world.formerTargets.push(target);
      await world.replaceTarget(host);
      return true;
    });
  },
  'lose-answers': (world, durationMs) =>
    withTargetFault(world, durationMs, { lostAnswerShare: 0.3 }),
  'extra-answers': (world, durationMs) =>
    withTargetFault(world, durationMs, { extraAnswerShare: 0.4 }),
  'cut-answers': (world, durationMs) =>
    withTargetFault(world, durationMs, { cutAnswerShare: 0.2, unframedCutShare: 0.2 }),
  'fail-answers': (world, durationMs) =>
    withTargetFault(world, durationMs, { errorResponseShare: 0.5 }),
  'delay-target': (world, durationMs) =>
    withLinkFault(world, durationMs, { delayMs: LINK_DELAY_MS }),
  'silence-target': (world, durationMs) => withLinkFault(world, durationMs, { isSilent: true }),
  'one-way-target': (world, durationMs) => withLinkFault(world, durationMs, { dropsAnswers: true }),
  'reset-target': async function (world) {
    return (world.links.get(pickHost(world).name)?.resetAll() ?? 0) >= 0;
  },
  'silence-open-target': async function (world) {
    return (world.links.get(pickHost(world).name)?.silenceOpen() ?? 0) >= 0;
  },
  'store-silent': (world, durationMs) => withStoreFault(world, durationMs, { isSilent: true }),
  'store-busy': (world, durationMs) => withStoreFault(world, durationMs, { isBusy: true }),
  'store-resets': (world, durationMs) => withStoreFault(world, durationMs, { isResetting: true }),
  'store-slow': (world, durationMs) => withStoreFault(world, durationMs, { slowMs: SLOW_MS }),
  'store-loses-answers': (world, durationMs) =>
    withStoreFault(world, durationMs, { losesAnswers: true }),
  'store-forgets': async function ({ fleet }) {
    const { topics } = fleet.store;
    topics.trim('keyed.op', topics.bounds('keyed.op').endOffset);
    return true;
  },
  'change-configuration': async function (world) {
    world.publishNext();
    return true;
  },
  'show-older-configuration': async function (world, durationMs) {
    world.publishOlder();
    await timers.setTimeout(durationMs);
    world.publishNext();
    return true;
  },
  'storm-of-configurations': async function (world, durationMs) {
    const until = Date.now() + durationMs;
    while (Date.now() < until) {
      world.publishNext();
      // eslint-disable-next-line no-await-in-loop -- a change each gap
      await timers.setTimeout(STORM_GAP_MS);
    }
    return true;
  },
};
