/** Commands that change the configuration: `publish` and `amend`. */
import * as citty from 'citty';
import * as core from '@figshed/core';
import * as uuid from 'uuid';
import * as documents from '../documents.js';
import * as errors from '../errors.js';
import * as fleetClient from '../fleet-client.js';
import * as commandOutput from '../output.js';
import * as configLogClient from '../config-log.js';
import * as sharedArguments from './arguments.js';
import * as commandRunner from './run.js';

const DEFAULT_TIMEOUT_S = '10';
const MS_PER_SECOND = 1_000;

const changeArguments = {
  ...sharedArguments.logArgument,
  ...sharedArguments.proxyArgument,
  ...sharedArguments.jsonArgument,
  base: {
    type: 'string',
    description: 'Revisions on which the change is based: ID=REVISION,... or "current"',
  },
  remove: { type: 'string', description: 'Resources to remove: ID,...' },
  author: { type: 'string', description: 'Author of the change', default: '' },
  'change-id': {
    type: 'string',
    description: 'Change ID of an earlier attempt, to repeat it safely',
  },
  wait: {
    type: 'boolean',
    description: 'Wait until every proxy applies the version',
    default: false,
  },
  timeout: { type: 'string', description: 'Seconds to wait', default: DEFAULT_TIMEOUT_S },
} as const;

interface ChangeArguments {
  _: string[];
  log?: string | undefined;
  proxy?: string | undefined;
  json: boolean;
  base?: string | undefined;
  remove?: string | undefined;
  author: string;
  'change-id'?: string | undefined;
  wait: boolean;
  timeout: string;
}

function parseBase(text: string | undefined): Record<string, number> {
  if (!text || text === 'current') return {};
  return Object.fromEntries(
    text.split(',').map((pair) => {
      const match = /^([a-z]+\/[a-z0-9-]+)=(\d+)$/.exec(pair.trim());
      if (!match) throw new errors.UsageError(`--base: "${pair}" is not ID=REVISION`);
      return [match[1], Number(match[2])];
    }),
  );
}

function parseTimeoutMs(text: string): number {
  const seconds = Number(text);
  if (!(seconds > 0)) throw new errors.UsageError('--timeout must be a number of seconds');
  return seconds * MS_PER_SECOND;
}

function resolveBase(
  args: ChangeArguments,
  changedIds: readonly string[],
  documentBase: Readonly<Record<string, number>>,
  state: core.State,
  isPublish: boolean,
): Record<string, number> {
  const argumentBase = parseBase(args.base);
  const missing: string[] = [];
  const entries = changedIds.map((id) => {
    const current = state.resources[id]?.revision ?? 0;
    const fallback = isPublish ? 0 : undefined;
    const revision =
      args.base === 'current' ? current : (argumentBase[id] ?? documentBase[id] ?? fallback);
    if (revision === undefined) missing.push(`${id} (now at ${current})`);
    return [id, revision ?? 0] as const;
  });
  if (missing.length > 0) {
    throw new errors.UsageError(
      `amend needs the revision of each resource, by --base or "base" in the document: ${missing.join(
        ', ',
      )}`,
    );
  }
  return Object.fromEntries(entries);
}

function createChange(args: ChangeArguments, state: core.State, isPublish: boolean): core.Change {
  const existing = new Map(
    Object.entries(state.resources).map(([id, { resource }]) => [id, resource]),
  );
  const remove = args.remove ? args.remove.split(',').map((id) => id.trim()) : [];
  remove.forEach((id) => existing.delete(id));
  const loaded = documents.loadDocuments(args._, existing);
  const changedIds = [...loaded.resources.map(core.formatResourceId), ...remove];
  if (changedIds.length === 0) throw new errors.UsageError('at least one document is needed');
  return core.changeSchema.parse({
    type: 'change',
    id: args['change-id'] ?? uuid.v7(),
    author: args.author,
    base: resolveBase(args, changedIds, loaded.base, state, isPublish),
    put: loaded.resources,
    remove,
  });
}

function checkDecision(decision: core.Decision): void {
  if (decision.accepted) return;
  const lines = decision.findings.map(({ path, message }) => `${path}: ${message}`);
  throw new errors.RefusedError(`the change was refused\n${lines.join('\n')}`);
}

async function submitChange(args: ChangeArguments, isPublish: boolean): Promise<void> {
  const output = commandOutput.createOutput(args.json);
  const timeoutMs = parseTimeoutMs(args.timeout);
  const fleet = args.wait
    ? fleetClient.createFleetClient(
        args.proxy ?? process.env.FIGSHED_PROXY,
        process.env.FIGSHED_FLEET_KEY,
      )
    : undefined;
  const configLog = configLogClient.createConfigLog(commandRunner.resolveLogUrl(args.log));
  try {
    const state = await configLog.readState();
    const change = createChange(args, state, isPublish);
    const decision = await configLog.submit(change, timeoutMs);
    checkDecision(decision);
    output.print(`accepted as version ${decision.offset}`);
    const progress = await fleet?.waitForVersion(
      decision.offset,
      timeoutMs,
      ({ inForce, total, pendingIds }) => {
        const waitingText = pendingIds.length > 0 ? `; waiting for ${pendingIds.join(', ')}` : '';
        output.print(`in force on ${inForce} of ${total} proxies${waitingText}`);
      },
    );
    output.printResult(`version ${decision.offset}`, {
      changeId: change.id,
      version: decision.offset,
      ...(progress ? { inForce: progress.inForce, total: progress.total } : {}),
    });
  } finally {
    await configLog.close();
    await fleet?.close();
  }
}

export const publishCommand = citty.defineCommand({
  meta: { name: 'publish', description: 'Publish new resources; none of them may exist yet' },
  args: changeArguments,
  run: ({ args }) => commandRunner.runAction(args.json, () => submitChange(args, true)),
});

export const amendCommand = citty.defineCommand({
  meta: { name: 'amend', description: 'Change or remove resources at known revisions' },
  args: changeArguments,
  run: ({ args }) => commandRunner.runAction(args.json, () => submitChange(args, false)),
});
