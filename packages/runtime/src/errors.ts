/** Errors raised around the core. */
import * as core from '@figshed/core';

/** The platform's log did not take the record; it is certain that nothing was appended. */
export class LogUnavailableError extends core.FigshedError {
  public constructor(message: string) {
    super('LOG_UNAVAILABLE', message);
  }
}

/** The append was sent and its answer was lost; the record may be on the log. */
export class LogResultUnknownError extends core.FigshedError {
  public constructor(message: string) {
    super('LOG_RESULT_UNKNOWN', message);
  }
}

/** A peer did not answer, or refused. */
export class PeerError extends core.FigshedError {
  public constructor(message: string) {
    super('PEER_UNREACHABLE', message);
  }
}

/** One thing wrong in a file. */
export interface FileFinding {
  file: string;
  /** Counted from 1. */
  line: number;
  /** Counted from 1. */
  column: number;
  path: string;
  message: string;
}

/**
 * Formats a finding on one line, as editors and shells expect it.
 *
 * @example
 * formatFinding({ file: 'a.jsonc', line: 3, column: 7, path: 'rate', message: 'is negative' });
 */
export function formatFinding(finding: FileFinding): string {
  const { file, line, column, path, message } = finding;
  return `${file}:${line}:${column}: ${path ? `${path}: ` : ''}${message}`;
}

/** A file that cannot be used, with everything that is wrong in it. */
export class DocumentError extends core.FigshedError {
  public readonly findings: readonly FileFinding[];

  public constructor(findings: readonly FileFinding[]) {
    super('DOCUMENT_INVALID', findings.map(formatFinding).join('\n'));
    this.findings = findings;
  }
}
