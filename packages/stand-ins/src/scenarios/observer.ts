/** Watches every proxy's configuration from outside, over time. */
import * as core from '@figshed/core';
import type * as fleetModule from '../harness/fleet.js';

/** What the observer saw. */
export interface Observation {
  samples: number;
  /** A process showed a lower position or version than before. */
  regressions: string[];
  /** Two processes showed different digests at one position. */
  differences: string[];
  /** A configuration held a reference without counterpart. */
  dangling: string[];
  /** Broken invariants that the processes counted. */
  invariantFailures: number;
}

interface Status {
  id: string;
  instance: string;
  position: number;
  version: number;
  digest: string;
  ready: boolean;
  metrics: Record<string, number>;
}

/** A running observer. */
export interface Observer {
  stop(): Promise<Observation>;
}

const INTERVAL_MS = 100;
const TIMEOUT_MS = 500;

/**
 * Starts to watch a fleet.
 *
 * @example
 * const observer = startObserver(fleet);
 * const { regressions } = await observer.stop();
 */
export function startObserver(fleet: fleetModule.Fleet): Observer {
  const last = new Map<string, Status>();
  const digests = new Map<number, string>();
  const checkedVersions = new Set<string>();
  const failures = new Map<string, number>();
  const seen: Observation = {
    samples: 0,
    regressions: [],
    differences: [],
    dangling: [],
    invariantFailures: 0,
  };
  let isStopped = false;

  const note = (status: Status): void => {
    seen.samples += 1;
    const before = last.get(status.instance);
    if (before && (status.position < before.position || status.version < before.version)) {
      seen.regressions.push(`${status.id} ${before.position} to ${status.position}`);
    }
    last.set(status.instance, status);
    failures.set(status.instance, status.metrics['invariant-failures'] ?? 0);
    // A process that has just started holds no configuration at all.
    if (status.digest === '') return;
    const digest = digests.get(status.position) ?? status.digest;
    digests.set(status.position, digest);
    if (digest !== status.digest) seen.differences.push(`${status.id} at ${status.position}`);
  };

  const checkReferences = async (host: fleetModule.FleetHost, status: Status): Promise<void> => {
    const key = `${status.position}|${status.digest}`;
    if (checkedVersions.has(key) || status.position < 0) return;
    checkedVersions.add(key);
    const state = (await fleet.request(host, 'config.get', {}, TIMEOUT_MS)) as core.State;
    const resources = new Map(
      Object.entries(state.resources).map(([id, { resource }]) => [id, resource]),
    );
    core
      .checkReferences(resources)
      .forEach(({ path, message }) => seen.dangling.push(`${path} ${message}`));
  };

  const sample = async (host: fleetModule.FleetHost): Promise<void> => {
    try {
      const status = (await fleet.request(host, 'status.get', {}, TIMEOUT_MS)) as Status;
      note(status);
      await checkReferences(host, status);
    } catch {
      // A process that is down or frozen shows nothing.
    }
  };

  const watch = async (): Promise<void> => {
    while (!isStopped) {
      /* eslint-disable no-await-in-loop -- one sample after the other */
      await Promise.all(fleet.hosts.map(sample));
      await new Promise((resolve) => {
        setTimeout(resolve, INTERVAL_MS);
      });
      /* eslint-enable no-await-in-loop */
    }
  };
  const watching = watch();

  return {
    async stop() {
      isStopped = true;
      await watching;
      seen.invariantFailures = [...failures.values()].reduce((sum, count) => sum + count, 0);
      return seen;
    },
  };
}

/**
 * Tells whether everything that was observed is allowed.
 *
 * @example
 * const held = isSound(await observer.stop());
 */
export function isSound(observation: Observation): boolean {
  const { samples, regressions, differences, dangling, invariantFailures } = observation;
  const findings = [...regressions, ...differences, ...dangling];
  return samples > 0 && findings.length === 0 && invariantFailures === 0;
}
