/** Commands that change nothing: `validate`, `get`, `status`, `explain` and `hash-key`. */
import * as citty from 'citty';
import * as core from '@figshed/core';
import * as documents from '../documents.js';
import * as errors from '../errors.js';
import * as fleetClient from '../fleet-client.js';
import * as commandOutput from '../output.js';
import * as configLogClient from '../config-log.js';
import * as sharedArguments from './arguments.js';
import * as commandRunner from './run.js';

const INDENT = 2;

function createFleetClient(proxy: string | undefined): fleetClient.FleetClient {
  return fleetClient.createFleetClient(
    proxy ?? process.env.FIGSHED_PROXY,
    process.env.FIGSHED_FLEET_KEY,
  );
}

export const validateCommand = citty.defineCommand({
  meta: { name: 'validate', description: 'Check documents; uses the network only with --log' },
  args: { ...sharedArguments.logArgument, ...sharedArguments.jsonArgument },
  run: ({ args }) =>
    commandRunner.runAction(args.json, async () => {
      if (args._.length === 0) throw new errors.UsageError('at least one document is needed');
      const { resources } = documents.loadDocuments(
        args._,
        await commandRunner.readResourcesInForce(args.log),
      );
      const output = commandOutput.createOutput(args.json);
      output.printResult(`${resources.length} resources are valid`, {
        valid: true,
        resources: resources.length,
      });
    }),
});

export const getCommand = citty.defineCommand({
  meta: { name: 'get', description: 'Print the resources in force, or one: get contract/NAME' },
  args: { ...sharedArguments.logArgument, ...sharedArguments.jsonArgument },
  run: ({ args }) =>
    commandRunner.runAction(args.json, async () => {
      const configLog = configLogClient.createConfigLog(commandRunner.resolveLogUrl(args.log));
      try {
        const state = await configLog.readState();
        const [id] = args._;
        const output = commandOutput.createOutput(args.json);
        if (id === undefined) {
          const lines = Object.entries(state.resources).map(
            ([name, { revision }]) => `${name} revision ${revision}`,
          );
          output.printResult([`version ${state.version}`, ...lines].join('\n'), state);
          return;
        }
        const storedResource = state.resources[id];
        if (!storedResource) throw new errors.RefusedError(`${id} does not exist`);
        output.printResult(JSON.stringify(storedResource, null, INDENT), storedResource);
      } finally {
        await configLog.close();
      }
    }),
});

function formatStatus(status: fleetClient.ProxyStatus): string {
  if (status.version === undefined) return `${status.id} does not respond`;
  const readiness = status.ready ? 'ready' : 'not ready';
  return `${status.id} ${status.dataCentre ?? ''} version ${status.version} ${readiness}, ${
    status.inFlight ?? 0
  } calls open`;
}

export const statusCommand = citty.defineCommand({
  meta: { name: 'status', description: 'Show every proxy, its version and its state' },
  args: { ...sharedArguments.proxyArgument, ...sharedArguments.jsonArgument },
  run: ({ args }) =>
    commandRunner.runAction(args.json, async () => {
      const fleet = createFleetClient(args.proxy);
      try {
        const statuses = await fleet.readStatus();
        const output = commandOutput.createOutput(args.json);
        output.printResult(statuses.map(formatStatus).join('\n'), statuses);
        const unreachable = statuses.filter(({ version }) => version === undefined);
        if (unreachable.length > 0) {
          throw new errors.UnknownResultError(`${unreachable.length} proxies do not respond`);
        }
      } finally {
        await fleet.close();
      }
    }),
});

export const explainCommand = citty.defineCommand({
  meta: {
    name: 'explain',
    description: 'Show the contract and limits that one proxy enforces for a customer',
  },
  args: {
    customer: { type: 'positional', description: 'Name of the contract', required: true },
    ...sharedArguments.proxyArgument,
    ...sharedArguments.jsonArgument,
  },
  run: ({ args }) =>
    commandRunner.runAction(args.json, async () => {
      const fleet = createFleetClient(args.proxy);
      try {
        const explanation = await fleet.request('contract.explain', { customer: args.customer });
        const { contract } = explanation as { contract: unknown };
        if (!contract)
          throw new errors.RefusedError(`${args.customer} has no contract on this proxy`);
        const output = commandOutput.createOutput(args.json);
        output.printResult(JSON.stringify(explanation, null, INDENT), explanation);
      } finally {
        await fleet.close();
      }
    }),
});

async function readStandardInput(): Promise<string> {
  const chunks: Buffer[] = [];
  process.stdin.on('data', (chunk: Buffer) => chunks.push(chunk));
  await new Promise((resolve, reject) => {
    process.stdin.once('end', resolve).once('error', reject);
  });
  return Buffer.concat(chunks).toString().trim();
}

/** Prints the digest of an API key, as contracts contain it. */
export const hashKeyCommand = citty.defineCommand({
  meta: { name: 'hash-key', description: 'Read an API key from standard input, print its digest' },
  args: { ...sharedArguments.jsonArgument },
  run: ({ args }) =>
    commandRunner.runAction(args.json, async () => {
      const key = await readStandardInput();
      if (!key) throw new errors.UsageError('write the API key to standard input');
      const digest = core.computeDigest(key);
      commandOutput.createOutput(args.json).printResult(digest, { digest });
    }),
});
