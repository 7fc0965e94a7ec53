import type * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as configLogClient from '../config-log.js';
import * as errors from '../errors.js';
import * as codes from '../exit-codes.js';

const { exitCodes } = codes;

interface Failure {
  exitCode: number;
  value: unknown;
  text: string;
}

function describeFailure(error: unknown): Failure {
  if (error instanceof runtime.DocumentError) {
    const value = { error: error.code, findings: error.findings };
    return { exitCode: exitCodes.refused, value, text: error.message };
  }
  if (error instanceof errors.CommandError) {
    const value = { error: error.code, message: error.message };
    return { exitCode: error.exitCode, value, text: error.message };
  }
  const { message } = error as Error;
  return { exitCode: exitCodes.unknown, value: { error: 'FAILED', message }, text: message };
}

/**
 * Runs the action of a command. Prints its error to standard error and sets the exit code.
 *
 * @example
 * await runAction(args.json, () => submitChange(args, true));
 */
export async function runAction(isJson: boolean, action: () => Promise<void>): Promise<void> {
  try {
    await action();
  } catch (error) {
    const { exitCode, value, text } = describeFailure(error);
    process.stderr.write(isJson ? `${JSON.stringify(value)}\n` : `${text}\n`);
    process.exitCode = exitCode;
  }
}

/**
 * Resolves the log's URL from the argument or the environment.
 *
 * @throws UsageError when neither is set.
 * @example
 * const url = resolveLogUrl(args.log);
 */
export function resolveLogUrl(argument: string | undefined): string {
  const url = argument ?? process.env.FIGSHED_LOG_URL;
  if (!url) throw new errors.UsageError('this command needs --log URL');
  return url;
}

/**
 * Reads the resources in force from the log; returns none without its URL.
 *
 * @throws UnknownResultError when the log cannot be read.
 * @example
 * const existing = await readResourcesInForce(args.log);
 */
export async function readResourcesInForce(
  logUrl: string | undefined,
): Promise<Map<string, core.Resource>> {
  if (!logUrl) return new Map();
  const configLog = configLogClient.createConfigLog(logUrl);
  try {
    const { resources } = await configLog.readState();
    return new Map(Object.entries(resources).map(([id, { resource }]) => [id, resource]));
  } finally {
    await configLog.close();
  }
}
