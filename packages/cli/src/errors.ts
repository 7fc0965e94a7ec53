/** Errors of the command line, each with the exit code it leads to. */
import * as core from '@figshed/core';
import * as exitCodesModule from './exit-codes.js';

const { exitCodes } = exitCodesModule;

/** A command that ends without having done what was asked. */
export class CommandError extends core.FigshedError {
  public readonly exitCode: number;

  public constructor(code: string, exitCode: number, message: string) {
    super(code, message);
    this.exitCode = exitCode;
  }
}

/** The command line itself is wrong. */
export class UsageError extends CommandError {
  public constructor(message: string) {
    super('USAGE', exitCodes.usage, message);
  }
}

/** The change was refused; every finding is in the message. */
export class RefusedError extends CommandError {
  public constructor(message: string) {
    super('REFUSED', exitCodes.refused, message);
  }
}

/** The platform or proxy did not answer, or what became of the change is not known. */
export class UnknownResultError extends CommandError {
  public constructor(message: string) {
    super('RESULT_UNKNOWN', exitCodes.unknown, message);
  }
}
