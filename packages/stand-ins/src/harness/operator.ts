/** Runs the `figshed` command against a fleet, as operators do. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import type * as core from '@figshed/core';
import * as childProcesses from './child.js';
import * as fleets from './fleet.js';

export interface CommandResult {
  exitCode: number;
  lines: string[];
}

/**
 * Runs `figshed` with arguments; the command contacts the first host whose proxy runs.
 *
 * @example
 * const { exitCode } = await runCommand(fleet, ['status', '--json']);
 */
export async function runCommand(
  fleet: fleets.Fleet,
  args: readonly string[],
  onLine?: (line: string) => void,
): Promise<CommandResult> {
  const host = fleet.hosts.find(({ proxy }) => proxy?.isRunning());
  const child = childProcesses.startChild('figshed', fleets.cliScriptPath, args, {
    FIGSHED_LOG_URL: fleet.logUrl,
    FIGSHED_FLEET_KEY: fleet.fleetKey,
    FIGSHED_PROXY: host ? `${host.address}:${host.peerPort}` : '',
  });
  if (onLine) child.onLine(onLine);
  const exitCode = Number(await child.exited);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  return { exitCode, lines: child.outputLines };
}

/**
 * Writes resources to a document for `figshed publish` or `amend`, and returns its path.
 *
 * @example
 * const file = writeDocument(fleet, 'contracts', [contract]);
 */
export function writeDocument(
  fleet: fleets.Fleet,
  name: string,
  resources: readonly core.Resource[],
): string {
  const file = path.join(fleet.directory, `${name}.jsonc`);
  fs.writeFileSync(file, JSON.stringify({ resources }, null, 2));
  return file;
}

/**
 * Creates the fleet resource, a service and a route for every service of the topology, and one
 * contract that covers them all.
 */
export function createResources(
  fleet: fleets.Fleet,
  contract: Partial<core.Contract> & { apiKey: string },
): core.Resource[] {
  const { apiKey, ...contractFields } = contract;
  const { services, dataCentres } = fleet.topology;
  return [
    { kind: 'fleet', name: 'fleet', dataCentres },
    ...services.flatMap((name): core.Resource[] => [
      {
        kind: 'service',
        name,
        requestKinds: [
          { name: 'lookup', method: 'GET', pathPrefix: '/', idempotent: true, timeoutMs: 5_000 },
          { name: 'order', method: 'POST', pathPrefix: '/', idempotent: false, timeoutMs: 8_000 },
        ],
      },
      { kind: 'route', name, pathPrefix: `/${name}`, service: name },
    ]),
    {
      kind: 'contract',
      name: 'customer-1',
      keyDigests: [fleets.hashApiKey(apiKey)],
      services: [...services],
      ratePerSecond: 100_000,
      burst: 10_000,
      concurrency: 10_000,
      maxDeadlineMs: 30_000,
      weight: 1,
      kindWeights: {},
      ...contractFields,
    },
  ];
}
