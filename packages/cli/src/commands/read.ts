/** The commands that only look: `validate`, `get`, `status`, `explain` and `hash-key`. */
import * as citty from 'citty';
import * as core from '@figshed/core';
import * as documents from '../documents.js';
import * as errors from '../errors.js';
import * as fleetModule from '../fleet.js';
import * as outputModule from '../output.js';
import * as platformModule from '../platform.js';
import * as shared from './arguments.js';
import * as run from './run.js';

const INDENT = 2;

function createFleet(proxy: string | undefined): fleetModule.FleetClient {
  return fleetModule.createFleetClient(
    proxy ?? process.env.FIGSHED_PROXY,
    process.env.FIGSHED_FLEET_KEY,
  );
}

async function readExisting(log: string | undefined): Promise<Map<string, core.Resource>> {
  if (!log) return new Map();
  const platform = platformModule.createPlatform(log);
  try {
    const { resources } = await platform.readState();
    return new Map(Object.entries(resources).map(([id, { resource }]) => [id, resource]));
  } finally {
    await platform.close();
  }
}

/** Checks documents without publishing them. */
export const validateCommand = citty.defineCommand({
  meta: { name: 'validate', description: 'Check documents, without any network unless --log' },
  args: { ...shared.logArgument, ...shared.jsonArgument },
  run: ({ args }) =>
    run.runAction(args.json, async () => {
      if (args._.length === 0) throw new errors.UsageError('name at least one document');
      const { resources } = documents.loadDocuments(args._, await readExisting(args.log));
      const output = outputModule.createOutput(args.json);
      output.printResult(`${resources.length} resources are valid`, {
        valid: true,
        resources: resources.length,
      });
    }),
});

/** Prints resources in force, with their revisions. */
export const getCommand = citty.defineCommand({
  meta: { name: 'get', description: 'Print the resources in force, or one: get contract/NAME' },
  args: { ...shared.logArgument, ...shared.jsonArgument },
  run: ({ args }) =>
    run.runAction(args.json, async () => {
      const platform = platformModule.createPlatform(run.resolveLogUrl(args.log));
      try {
        const state = await platform.readState();
        const [id] = args._;
        const output = outputModule.createOutput(args.json);
        if (id === undefined) {
          const lines = Object.entries(state.resources).map(
            ([name, { revision }]) => `${name} revision ${revision}`,
          );
          output.printResult([`version ${state.version}`, ...lines].join('\n'), state);
          return;
        }
        const stored = state.resources[id];
        if (!stored) throw new errors.RefusedError(`${id} does not exist`);
        output.printResult(JSON.stringify(stored, null, INDENT), stored);
      } finally {
        await platform.close();
      }
    }),
});

function formatStatus(status: fleetModule.ProxyStatus): string {
  if (status.version === undefined) return `${status.id} does not answer`;
  const state = status.ready ? 'ready' : 'not ready';
  return `${status.id} ${status.dataCentre ?? ''} version ${status.version} ${state}, ${
    status.inFlight ?? 0
  } calls open`;
}

/** Prints the version and state of every proxy. */
export const statusCommand = citty.defineCommand({
  meta: { name: 'status', description: 'Show every proxy, its version and its state' },
  args: { ...shared.proxyArgument, ...shared.jsonArgument },
  run: ({ args }) =>
    run.runAction(args.json, async () => {
      const fleet = createFleet(args.proxy);
      try {
        const statuses = await fleet.readStatus();
        const output = outputModule.createOutput(args.json);
        output.printResult(statuses.map(formatStatus).join('\n'), statuses);
        const silent = statuses.filter(({ version }) => version === undefined);
        if (silent.length > 0) {
          throw new errors.UnknownResultError(`${silent.length} proxies do not answer`);
        }
      } finally {
        await fleet.close();
      }
    }),
});

/** Prints what one proxy enforces for a customer. */
export const explainCommand = citty.defineCommand({
  meta: { name: 'explain', description: 'Show what one proxy enforces for a customer now' },
  args: {
    customer: { type: 'positional', description: 'Name of the contract', required: true },
    ...shared.proxyArgument,
    ...shared.jsonArgument,
  },
  run: ({ args }) =>
    run.runAction(args.json, async () => {
      const fleet = createFleet(args.proxy);
      try {
        const explained = await fleet.request('contract.explain', { customer: args.customer });
        const { contract } = explained as { contract: unknown };
        if (!contract) throw new errors.RefusedError(`${args.customer} has no contract here`);
        const output = outputModule.createOutput(args.json);
        output.printResult(JSON.stringify(explained, null, INDENT), explained);
      } finally {
        await fleet.close();
      }
    }),
});

async function readInput(): Promise<string> {
  const chunks: Buffer[] = [];
  process.stdin.on('data', (chunk: Buffer) => chunks.push(chunk));
  await new Promise((resolve, reject) => {
    process.stdin.once('end', resolve).once('error', reject);
  });
  return Buffer.concat(chunks).toString().trim();
}

/** Prints the digest of an API key, for a contract. */
export const hashKeyCommand = citty.defineCommand({
  meta: { name: 'hash-key', description: 'Read an API key from standard input, print its digest' },
  args: { ...shared.jsonArgument },
  run: ({ args }) =>
    run.runAction(args.json, async () => {
      const key = await readInput();
      if (!key) throw new errors.UsageError('write the API key to standard input');
      const digest = core.computeDigest(key);
      outputModule.createOutput(args.json).printResult(digest, { digest });
    }),
});
