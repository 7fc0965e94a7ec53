/** Runs the operators' command as its users do. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import type * as core from '@figshed/core';
import * as childModule from './child.js';
import * as fleetModule from './fleet.js';

/** What a command printed and how it ended. */
export interface CommandResult {
  exitCode: number;
  lines: string[];
}

/**
 * Runs `figshed` with arguments against a fleet.
 *
 * @example
 * const { exitCode } = await runCommand(fleet, ['status', '--json']);
 */
export async function runCommand(
  fleet: fleetModule.Fleet,
  args: readonly string[],
  onLine?: (line: string) => void,
): Promise<CommandResult> {
  const host = fleet.hosts.find(({ proxy }) => proxy?.isRunning());
  const child = childModule.startChild('figshed', fleetModule.cliScript, args, {
    FIGSHED_LOG_URL: fleet.logUrl,
    FIGSHED_FLEET_KEY: fleet.fleetKey,
    FIGSHED_PROXY: host ? `${host.address}:${host.peerPort}` : '',
  });
  if (onLine) child.onLine(onLine);
  const exitCode = Number(await child.exited);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  return { exitCode, lines: child.lines };
}

/**
 * Writes resources into a document for the operators' command.
 *
 * @example
 * const file = writeDocument(fleet, 'contracts', [contract]);
 */
export function writeDocument(
  fleet: fleetModule.Fleet,
  name: string,
  resources: readonly core.Resource[],
): string {
  const file = path.join(fleet.directory, `${name}.jsonc`);
  fs.writeFileSync(file, JSON.stringify({ resources }, null, 2));
  return file;
}

/** Resources for every service of a topology, and one contract for all of them. */
export function createResources(
  fleet: fleetModule.Fleet,
  contract: Partial<core.Contract> & { key: string },
): core.Resource[] {
  const { key, ...terms } = contract;
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
      keyDigests: [fleetModule.hashKey(key)],
      services: [...services],
      ratePerSecond: 100_000,
      burst: 10_000,
      concurrency: 10_000,
      maxDeadlineMs: 30_000,
      weight: 1,
      kindWeights: {},
      ...terms,
    },
  ];
}
