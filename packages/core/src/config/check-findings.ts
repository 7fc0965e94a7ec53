/** Findings of a check of a configuration before it is sent, and the text of its report. */

/** An `error` is refused or breaks calls; with a `warning` some entry has no effect as written. */
export type Severity = 'error' | 'warning';

/** A finding of a check; `code` is stable and documented in docs/errors.md. */
export interface CheckFinding {
  severity: Severity;
  code: string;
  path: string;
  message: string;
}

/** A finding with its position, where a document gives it. */
export interface LocatedCheckFinding extends CheckFinding {
  file?: string;
  line?: number;
  column?: number;
}

/** One field that differs between two configurations. */
export interface FieldDifference {
  type: 'added' | 'removed' | 'changed';
  path: string;
  before?: unknown;
  after?: unknown;
}

/** Result of a check. */
export interface CheckReport {
  findings: readonly LocatedCheckFinding[];
  /** Name of the version that the document was compared with; null if it was not compared. */
  against: string | null;
  differences: readonly FieldDifference[] | null;
}

const KEPT_DIGEST_DIGITS = 8;

/**
 * Shortens the digest of a key, so that a report cannot be used as a list of digests.
 *
 * @example
 * formatDigest('0123456789abcdef'); // '01234567…'
 */
export function formatDigest(digest: string): string {
  return `${digest.slice(0, KEPT_DIGEST_DIGITS)}…`;
}

/**
 * Creates a warning.
 *
 * @example
 * createWarning('NO_KEY', 'contract/school.keyDigests', 'is empty');
 */
export function createWarning(code: string, path: string, message: string): CheckFinding {
  return { severity: 'warning', code, path, message };
}

/**
 * Creates an error.
 *
 * @example
 * createError('SERVICE_MISSING', 'route/a.service', 'service "x" does not exist');
 */
export function createError(code: string, path: string, message: string): CheckFinding {
  return { severity: 'error', code, path, message };
}

/**
 * Returns whether a finding is an error.
 *
 * @example
 * report.findings.some(isError);
 */
export function isError({ severity }: CheckFinding): boolean {
  return severity === 'error';
}

function formatFindingLine(finding: LocatedCheckFinding): string {
  const { file, line, column, severity, code, path, message } = finding;
  const position = file === undefined ? '' : `${file}:${line ?? 1}:${column ?? 1}: `;
  return `${position}${severity} ${code}: ${path ? `${path}: ` : ''}${message}`;
}

function formatDifference({ type, path, before, after }: FieldDifference): string {
  const values = [before, after].filter((value) => value !== undefined);
  return `${type} ${path}: ${values.map((value) => JSON.stringify(value)).join(' -> ')}`;
}

/**
 * Formats a report as text, one finding or difference a line.
 *
 * @example
 * formatReport({ findings: [], against: null, differences: null });
 */
export function formatReport({ findings, against, differences }: CheckReport): string {
  const errors = findings.filter(isError).length;
  const comparison = differences
    ? `${differences.length} differences from ${against ?? ''}`
    : 'not compared';
  return [
    ...findings.map(formatFindingLine),
    ...(differences ?? []).map(formatDifference),
    `${errors} errors, ${findings.length - errors} warnings, ${comparison}`,
  ].join('\n');
}
