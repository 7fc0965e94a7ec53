import * as timers from 'node:timers/promises';
import type * as meshFleet from '../mesh/mesh-fleet.js';
import type * as meshTarget from '../mesh/mesh-target.js';
import type * as targetFaults from '../mesh/target-faults.js';
import type * as checks from './checks.js';
import type * as faultLink from './fault-link.js';

/** State that faults act on and that the checks read at the end. */
export interface SoakContext {
  fleet: meshFleet.MeshFleet;
  /** Links in front of the targets, by host name. */
  links: ReadonlyMap<string, faultLink.FaultLink>;
  random: () => number;
  drainedTargets: checks.DrainedTarget[];
  limitedTargets: checks.LimitedTarget[];
  /** Targets that were replaced; the checks include their executions. */
  closedTargets: meshTarget.MeshTarget[];
  /** Starts a new target on a host. */
  replaceTarget(host: meshFleet.MeshHost): Promise<void>;
  publishNextVersion(): void;
  /** Publishes the version before the newest again, as a store restored from a backup would. */
  publishPreviousVersion(): void;
}

/** Injects one fault, ends it, and returns whether it took effect. */
export type FaultInjector = (context: SoakContext, durationMs: number) => Promise<boolean>;

const HTTP_OK = 200;
const RESTART_DELAY_MS = 100;
const MAX_LATE_ATTEMPTS = 30;
/** The platform's limit on sending requests to a draining target. */
const DRAIN_LIMIT_MS = 2_000;
/** Below a target's share of the load, and longer than the limit takes to be in force. */
const LIMITED_CALLS_PER_SECOND = 5;
const LIMIT_DURATION_MS = 8_000;
const PUBLISH_INTERVAL_MS = 60;
const STORE_DELAY_MS = 300;
const LINK_DELAY_MS = 80;

function pickHost({ fleet, random }: SoakContext): meshFleet.MeshHost {
  return fleet.hosts[Math.floor(random() * fleet.hosts.length)] as meshFleet.MeshHost;
}

const queues = new WeakMap<object, Promise<unknown>>();

/** Serialises steps per host, so that no process or target is started twice. */
function runExclusively(host: meshFleet.MeshHost, step: () => Promise<boolean>): Promise<boolean> {
  const queued = (queues.get(host) ?? Promise.resolve()).then(step);
  queues.set(
    host,
    queued.catch(() => undefined),
  );
  return queued;
}

function restartHost(host: meshFleet.MeshHost, signal: NodeJS.Signals): Promise<boolean> {
  return runExclusively(host, async () => {
    await host.stop(signal);
    await timers.setTimeout(RESTART_DELAY_MS);
    host.start();
    return true;
  });
}

/** Overrides in force for a fault settings object, oldest first. */
const overrides = new WeakMap<object, { base: object; changes: object[] }>();

/** Overrides settings for a duration; overlapping overrides stay in force when this one ends. */
async function overrideTemporarily<T extends object>(
  settings: T,
  durationMs: number,
  change: Partial<T>,
): Promise<boolean> {
  const state = overrides.get(settings) ?? { base: { ...settings }, changes: [] };
  overrides.set(settings, state);
  const apply = (): void => {
    Object.assign(settings, state.base, ...state.changes);
  };
  state.changes.push(change);
  apply();
  await timers.setTimeout(durationMs);
  state.changes = state.changes.filter((other) => other !== change);
  apply();
  return true;
}

type StoreFaults = meshFleet.MeshFleet['store']['faults'];

const injectStoreFault = (
  { fleet }: SoakContext,
  durationMs: number,
  change: Partial<StoreFaults>,
): Promise<boolean> => overrideTemporarily(fleet.store.faults, durationMs, change);

const injectTargetFault = (
  context: SoakContext,
  durationMs: number,
  change: Partial<targetFaults.TargetFaults>,
): Promise<boolean> => overrideTemporarily(pickHost(context).target.faults, durationMs, change);

async function injectLinkFault(
  context: SoakContext,
  durationMs: number,
  change: Partial<faultLink.LinkFaults>,
): Promise<boolean> {
  const link = context.links.get(pickHost(context).name);
  return link ? overrideTemporarily(link.faults, durationMs, change) : false;
}

/** Sends a heartbeat that was sent before a deregistration, until the new process has received it. */
async function announceLate(target: meshTarget.MeshTarget): Promise<void> {
  for (let attempt = 0; attempt < MAX_LATE_ATTEMPTS; attempt += 1) {
    // eslint-disable-next-line no-await-in-loop -- until the process listens
    if ((await target.announce('ready')) === HTTP_OK) return;
    // eslint-disable-next-line no-await-in-loop -- as above
    await timers.setTimeout(RESTART_DELAY_MS);
  }
}

/** Lets a target leave and replaces it; `announceLeaving` returns the status of its message. */
function removeTarget(
  context: SoakContext,
  announceLeaving: (target: meshTarget.MeshTarget, host: meshFleet.MeshHost) => Promise<number>,
): Promise<boolean> {
  const host = pickHost(context);
  return runExclusively(host, async () => {
    const { target } = host;
    target.stopHeartbeats();
    const isAcknowledged = (await announceLeaving(target, host)) === HTTP_OK;
    if (isAcknowledged) context.drainedTargets.push({ target, acknowledgedAt: Date.now() });
    await timers.setTimeout(DRAIN_LIMIT_MS * 1.5);
    await target.deregister();
    await target.close();
    context.closedTargets.push(target);
    await context.replaceTarget(host);
    return true;
  });
}

/** Every fault by its name. */
export const faults: Readonly<Record<string, FaultInjector>> = {
  'kill-process': (context) => restartHost(pickHost(context), 'SIGKILL'),
  'stop-process': (context) => restartHost(pickHost(context), 'SIGTERM'),
  'freeze-process': async function (context, durationMs) {
    const { child } = pickHost(context);
    const isFrozen = child?.kill('SIGSTOP') === true;
    await timers.setTimeout(durationMs);
    child?.kill('SIGCONT');
    return isFrozen;
  },
  'kill-all': async function ({ fleet }) {
    await Promise.all(fleet.hosts.map((host) => restartHost(host, 'SIGKILL')));
    return true;
  },
  'crash-target': function (context, durationMs) {
    const host = pickHost(context);
    return runExclusively(host, async () => {
      const { target } = host;
      await target.close();
      context.closedTargets.push(target);
      await timers.setTimeout(durationMs / 2);
      await context.replaceTarget(host);
      return true;
    });
  },
  'drain-target': (context) => removeTarget(context, (target) => target.announce('draining')),
  'deregister-target': (context) =>
    removeTarget(context, async (target) => {
      const status = await target.deregister();
      // A heartbeat that was sent before the deregistration and arrives after it.
      await target.announce('ready');
      return status;
    }),
  'deregister-target-and-kill-all': (context) =>
    removeTarget(context, async (target, leavingHost) => {
      const status = await target.deregister();
      // Not awaited: the queue of another host may wait for the queue of this one, which runs this step.
      context.fleet.hosts
        .filter((host) => host !== leavingHost)
        .forEach((host) => {
          restartHost(host, 'SIGKILL').catch(() => undefined);
        });
      await leavingHost.stop('SIGKILL');
      leavingHost.start();
      await announceLate(target);
      return status;
    }),
  'limit-target': async function (context) {
    const { target } = pickHost(context);
    if (Object.keys(target.noticeHeaders).length > 0) return false;
    const statedAt = Date.now();
    target.noticeHeaders = { 'server-limit': String(LIMITED_CALLS_PER_SECOND) };
    await timers.setTimeout(LIMIT_DURATION_MS);
    target.noticeHeaders = {};
    context.limitedTargets.push({
      target,
      callsPerSecond: LIMITED_CALLS_PER_SECOND,
      statedAt,
      endedAt: Date.now(),
    });
    return true;
  },
  'lose-answers': (context, durationMs) =>
    injectTargetFault(context, durationMs, { lostResponseShare: 0.3 }),
  'extra-answers': (context, durationMs) =>
    injectTargetFault(context, durationMs, { unsolicitedResponseShare: 0.4 }),
  'cut-answers': (context, durationMs) =>
    injectTargetFault(context, durationMs, {
      truncatedResponseShare: 0.2,
      truncatedCloseDelimitedShare: 0.2,
    }),
  'spoil-heads': (context, durationMs) =>
    injectTargetFault(context, durationMs, { unwritableHeadShare: 0.2 }),
  'fail-answers': (context, durationMs) =>
    injectTargetFault(context, durationMs, { errorResponseShare: 0.5 }),
  'delay-target': (context, durationMs) =>
    injectLinkFault(context, durationMs, { delayMs: LINK_DELAY_MS }),
  'silence-target': (context, durationMs) =>
    injectLinkFault(context, durationMs, { isBlackholed: true }),
  'one-way-target': (context, durationMs) =>
    injectLinkFault(context, durationMs, { shouldDropResponses: true }),
  'reset-target': async function (context) {
    return (context.links.get(pickHost(context).name)?.resetConnections() ?? 0) >= 0;
  },
  'silence-open-target': async function (context) {
    return (context.links.get(pickHost(context).name)?.blackholeOpenConnections() ?? 0) >= 0;
  },
  'store-silent': (context, durationMs) =>
    injectStoreFault(context, durationMs, { isSilent: true }),
  'store-busy': (context, durationMs) =>
    injectStoreFault(context, durationMs, { isUnavailable: true }),
  'store-resets': (context, durationMs) =>
    injectStoreFault(context, durationMs, { shouldResetConnections: true }),
  'store-slow': (context, durationMs) =>
    injectStoreFault(context, durationMs, { delayMs: STORE_DELAY_MS }),
  'store-loses-answers': (context, durationMs) =>
    injectStoreFault(context, durationMs, { shouldDropResponses: true }),
  'store-forgets': async function ({ fleet }) {
    const { topics } = fleet.store;
    topics.trim('keyed.op', topics.getBounds('keyed.op').endOffset);
    return true;
  },
  'change-configuration': async function (context) {
    context.publishNextVersion();
    return true;
  },
  'show-older-configuration': async function (context, durationMs) {
    context.publishPreviousVersion();
    await timers.setTimeout(durationMs);
    context.publishNextVersion();
    return true;
  },
  'storm-of-configurations': async function (context, durationMs) {
    const deadline = Date.now() + durationMs;
    while (Date.now() < deadline) {
      context.publishNextVersion();
      // eslint-disable-next-line no-await-in-loop -- publishes at a steady rate
      await timers.setTimeout(PUBLISH_INTERVAL_MS);
    }
    return true;
  },
};
