import * as core from '@figshed/core';

/** The platform's log could not be read, or a record could not be appended; none was added. */
export class LogUnavailableError extends core.FigshedError {
  public constructor(message: string) {
    super('LOG_UNAVAILABLE', message);
  }
}

/** An append was sent but its response was lost; the record may be on the log. */
export class LogResultUnknownError extends core.FigshedError {
  public constructor(message: string) {
    super('LOG_RESULT_UNKNOWN', message);
  }
}

/** A peer did not respond, or refused the request. */
export class PeerError extends core.FigshedError {
  public constructor(message: string) {
    super('PEER_UNREACHABLE', message);
  }
}

/** The body of a response was longer than allowed and was not read to its end. */
export class ResponseTooLargeError extends core.FigshedError {
  public constructor(maxBytes: number) {
    super('RESPONSE_TOO_LARGE', `the response is longer than ${maxBytes} bytes`);
  }
}

/** Bytes from another process that are not a message. */
export class InvalidMessageError extends core.FigshedError {
  public constructor(message = 'the message is not valid') {
    super('INVALID_MESSAGE', message);
  }
}

/** A problem at a position of a file. */
export interface FileFinding {
  file: string;
  /** Line number, starting at 1. */
  line: number;
  /** Column number, starting at 1. */
  column: number;
  /** Path of the value, such as `resources.0.name`; empty for the whole file. */
  path: string;
  message: string;
}

/**
 * Formats a finding on one line as `file:line:column: path: message`, the form that editors and
 * shells expect.
 *
 * @example
 * formatFinding({ file: 'a.jsonc', line: 3, column: 7, path: 'rate', message: 'is negative' });
 */
export function formatFinding(finding: FileFinding): string {
  const { file, line, column, path, message } = finding;
  return `${file}:${line}:${column}: ${path ? `${path}: ` : ''}${message}`;
}

/** An invalid file, with all findings. */
export class DocumentError extends core.FigshedError {
  public readonly findings: readonly FileFinding[];

  public constructor(findings: readonly FileFinding[]) {
    super('DOCUMENT_INVALID', findings.map(formatFinding).join('\n'));
    this.findings = findings;
  }
}
