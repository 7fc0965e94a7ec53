import * as core from '@figshed/core';
import * as codes from './exit-codes.js';

const { exitCodes } = codes;

/** A command failed; carries the exit code of the process. */
export class CommandError extends core.FigshedError {
  public readonly exitCode: number;

  public constructor(code: string, exitCode: number, message: string) {
    super(code, message);
    this.exitCode = exitCode;
  }
}

/** The command line is invalid. */
export class UsageError extends CommandError {
  public constructor(message: string) {
    super('USAGE', exitCodes.usage, message);
  }
}

/** The request was refused; the message lists the reasons. */
export class RefusedError extends CommandError {
  public constructor(message: string) {
    super('REFUSED', exitCodes.refused, message);
  }
}

/** The platform or a proxy did not respond, or the result of the change is unknown. */
export class UnknownResultError extends CommandError {
  public constructor(message: string) {
    super('RESULT_UNKNOWN', exitCodes.unknown, message);
  }
}
