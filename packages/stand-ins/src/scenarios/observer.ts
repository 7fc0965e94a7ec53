import * as core from '@figshed/core';
import type * as fleets from '../harness/fleet.js';

/** Violations that the observer found; its fields are printed as JSON. */
export interface Observation {
  samples: number;
  /** Processes that reported a lower position or version than before. */
  regressions: string[];
  /** Processes that reported another digest than others at the same position. */
  differences: string[];
  /** References in a configuration to resources that it does not contain. */
  dangling: string[];
  /** Sum of the invariant failures that the processes counted. */
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

/** Samples the configuration of every proxy until it is stopped. */
export interface Observer {
  stop(): Promise<Observation>;
}

const SAMPLE_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 500;

/**
 * Starts to sample the status of every proxy every 100 ms.
 *
 * @example
 * const observer = startObserver(fleet);
 * const { regressions } = await observer.stop();
 */
export function startObserver(fleet: fleets.Fleet): Observer {
  const lastStatuses = new Map<string, Status>();
  const digestByPosition = new Map<number, string>();
  const checkedStates = new Set<string>();
  const failureCounts = new Map<string, number>();
  const result: Observation = {
    samples: 0,
    regressions: [],
    differences: [],
    dangling: [],
    invariantFailures: 0,
  };
  let isStopped = false;

  const recordStatus = (status: Status): void => {
    result.samples += 1;
    const before = lastStatuses.get(status.instance);
    if (before && (status.position < before.position || status.version < before.version)) {
      result.regressions.push(`${status.id} ${before.position} to ${status.position}`);
    }
    lastStatuses.set(status.instance, status);
    failureCounts.set(status.instance, status.metrics['invariant-failures'] ?? 0);
    // A process has no configuration right after its start.
    if (status.digest === '') return;
    const digest = digestByPosition.get(status.position) ?? status.digest;
    digestByPosition.set(status.position, digest);
    if (digest !== status.digest) result.differences.push(`${status.id} at ${status.position}`);
  };

  const checkReferences = async (host: fleets.FleetHost, status: Status): Promise<void> => {
    const key = `${status.position}|${status.digest}`;
    if (checkedStates.has(key) || status.position < 0) return;
    checkedStates.add(key);
    const state = (await fleet.request(host, 'config.get', {}, REQUEST_TIMEOUT_MS)) as core.State;
    const resources = new Map(
      Object.entries(state.resources).map(([id, { resource }]) => [id, resource]),
    );
    core
      .checkReferences(resources)
      .forEach(({ path, message }) => result.dangling.push(`${path} ${message}`));
  };

  const sampleHost = async (host: fleets.FleetHost): Promise<void> => {
    try {
      const status = (await fleet.request(host, 'status.get', {}, REQUEST_TIMEOUT_MS)) as Status;
      recordStatus(status);
      await checkReferences(host, status);
    } catch {
      // A process that is down or frozen does not respond.
    }
  };

  const runSampling = async (): Promise<void> => {
    while (!isStopped) {
      /* eslint-disable no-await-in-loop -- one sample after the other */
      await Promise.all(fleet.hosts.map(sampleHost));
      await new Promise((resolve) => {
        setTimeout(resolve, SAMPLE_INTERVAL_MS);
      });
      /* eslint-enable no-await-in-loop */
    }
  };
  const sampling = runSampling();

  return {
    async stop() {
      isStopped = true;
      await sampling;
      result.invariantFailures = [...failureCounts.values()].reduce((sum, count) => sum + count, 0);
      return result;
    },
  };
}

/**
 * Checks that the observation has samples and no violations.
 *
 * @example
 * const held = hasNoViolations(await observer.stop());
 */
export function hasNoViolations(observation: Observation): boolean {
  const { samples, regressions, differences, dangling, invariantFailures } = observation;
  const findings = [...regressions, ...differences, ...dangling];
  return samples > 0 && findings.length === 0 && invariantFailures === 0;
}
