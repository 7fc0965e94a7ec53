/** Reads JSON with comments and reports every finding with its line and column. */
import * as jsonc from 'jsonc-parser';
import type * as zod from 'zod';
import type * as errors from './errors.js';

/** A parsed file, with the means to find the place of a value. */
export interface ParsedDocument {
  file: string;
  text: string;
  value: unknown;
  root: jsonc.Node | undefined;
  findings: errors.FileFinding[];
}

type Path = readonly (string | number)[];

/**
 * Computes the line and column of an offset in a text, both counted from 1.
 *
 * @example
 * computePlace('a\nbc', 3); // { line: 2, column: 2 }
 */
export function computePlace(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1) ?? '').length + 1 };
}

function findDuplicateKeys(document: ParsedDocument): errors.FileFinding[] {
  const findings: errors.FileFinding[] = [];
  const visit = (node: jsonc.Node): void => {
    const seen = new Set<unknown>();
    node.children?.forEach((child) => {
      if (node.type === 'object') {
        const key = child.children?.[0];
        if (key && seen.has(key.value)) {
          findings.push({
            file: document.file,
            ...computePlace(document.text, key.offset),
            path: String(key.value),
            message: 'is given twice',
          });
        }
        seen.add(key?.value);
      }
      visit(child);
    });
  };
  if (document.root) visit(document.root);
  return findings;
}

/**
 * Parses a text of JSON with comments; syntax errors become findings.
 *
 * @example
 * parseDocument('settings.jsonc', '{ "a": 1 /* one *\/ }').value;
 */
export function parseDocument(file: string, text: string): ParsedDocument {
  const problems: jsonc.ParseError[] = [];
  const root = jsonc.parseTree(text, problems, { allowTrailingComma: true });
  const document: ParsedDocument = {
    file,
    text,
    root,
    value: root ? jsonc.getNodeValue(root) : undefined,
    findings: [],
  };
  document.findings = problems.map(({ error, offset }) => ({
    file,
    ...computePlace(text, offset),
    path: '',
    message: `syntax error: ${jsonc.printParseErrorCode(error)}`,
  }));
  document.findings.push(...findDuplicateKeys(document));
  if (!root && problems.length === 0) {
    document.findings.push({ file, line: 1, column: 1, path: '', message: 'file is empty' });
  }
  return document;
}

/**
 * Finds the place of a value, or of the nearest value around it.
 *
 * @example
 * findPlace(document, ['resources', 0, 'name']);
 */
export function findPlace(document: ParsedDocument, path: Path): { line: number; column: number } {
  if (!document.root) return { line: 1, column: 1 };
  for (let { length } = path; length > 0; length -= 1) {
    const node = jsonc.findNodeAtLocation(document.root, [...path.slice(0, length)]);
    if (node) {
      const isWhole = length === path.length;
      const start = isWhole && node.parent?.type === 'property' ? node.parent.offset : node.offset;
      return computePlace(document.text, start);
    }
  }
  return computePlace(document.text, document.root.offset);
}

function listIssuePaths(issue: zod.core.$ZodIssue): { path: Path; message: string }[] {
  const path = issue.path as Path;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...path, key], message: 'unknown field' }));
  }
  return [{ path, message: issue.message }];
}

/**
 * Checks the value at a path of a document against a schema and adds every finding to it.
 *
 * @example
 * const settings = checkValue(document, [], settingsSchema);
 */
export function checkValue<T>(
  document: ParsedDocument,
  path: Path,
  schema: zod.ZodType<T>,
  value: unknown = document.value,
): T | undefined {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  result.error.issues.flatMap(listIssuePaths).forEach((issue) => {
    const full = [...path, ...issue.path];
    document.findings.push({
      file: document.file,
      ...findPlace(document, full),
      path: full.join('.'),
      message: issue.message,
    });
  });
  return undefined;
}
