/** Parses and validates JSON with comments; each finding has its line and column. */
import * as jsonc from 'jsonc-parser';
import type * as zod from 'zod';
import type * as errors from './errors.js';

/** A parsed file with its syntax tree, in which values are located. */
export interface ParsedDocument {
  file: string;
  text: string;
  /** The parsed value; undefined for an empty file. */
  value: unknown;
  root: jsonc.Node | undefined;
  findings: errors.FileFinding[];
}

type Path = readonly (string | number)[];

/**
 * Computes the line and column of an offset in a text, both starting at 1.
 *
 * @example
 * computePosition('a\nbc', 3); // { line: 2, column: 2 }
 */
export function computePosition(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1) ?? '').length + 1 };
}

function listDuplicateKeys(document: ParsedDocument): errors.FileFinding[] {
  const findings: errors.FileFinding[] = [];
  const visit = (node: jsonc.Node): void => {
    const keys = new Set<unknown>();
    node.children?.forEach((child) => {
      if (node.type === 'object') {
        const keyNode = child.children?.[0];
        if (keyNode && keys.has(keyNode.value)) {
          findings.push({
            file: document.file,
            ...computePosition(document.text, keyNode.offset),
            path: String(keyNode.value),
            message: 'is given twice',
          });
        }
        keys.add(keyNode?.value);
      }
      visit(child);
    });
  };
  if (document.root) visit(document.root);
  return findings;
}

/**
 * Parses JSON with comments. Syntax errors and duplicate keys are added to the findings.
 *
 * @example
 * parseDocument('settings.jsonc', '{ "a": 1 /* one *\/ }').value;
 */
export function parseDocument(file: string, text: string): ParsedDocument {
  const parseErrors: jsonc.ParseError[] = [];
  const root = jsonc.parseTree(text, parseErrors, { allowTrailingComma: true });
  const document: ParsedDocument = {
    file,
    text,
    root,
    value: root ? jsonc.getNodeValue(root) : undefined,
    findings: [],
  };
  document.findings = parseErrors.map(({ error, offset }) => ({
    file,
    ...computePosition(text, offset),
    path: '',
    message: `syntax error: ${jsonc.printParseErrorCode(error)}`,
  }));
  document.findings.push(...listDuplicateKeys(document));
  if (!root && parseErrors.length === 0) {
    document.findings.push({ file, line: 1, column: 1, path: '', message: 'file is empty' });
  }
  return document;
}

/**
 * Finds the line and column of the property or array element at a path, or of the closest enclosing
 * value.
 *
 * @example
 * findPosition(document, ['resources', 0, 'name']);
 */
export function findPosition(
  document: ParsedDocument,
  path: Path,
): { line: number; column: number } {
  if (!document.root) return { line: 1, column: 1 };
  for (let { length } = path; length > 0; length -= 1) {
    const node = jsonc.findNodeAtLocation(document.root, [...path.slice(0, length)]);
    if (node) {
      const isExactPath = length === path.length;
      const startOffset =
        isExactPath && node.parent?.type === 'property' ? node.parent.offset : node.offset;
      return computePosition(document.text, startOffset);
    }
  }
  return computePosition(document.text, document.root.offset);
}

function expandIssue(issue: zod.core.$ZodIssue): { path: Path; message: string }[] {
  const path = issue.path as Path;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...path, key], message: 'unknown field' }));
  }
  return [{ path, message: issue.message }];
}

/**
 * Validates `value`, by default the whole document, and adds every finding to the document. `path`
 * locates the value in the document. Returns the parsed value, or undefined when it is not valid.
 *
 * @example
 * const settings = validateValue(document, [], settingsSchema);
 */
export function validateValue<T>(
  document: ParsedDocument,
  path: Path,
  schema: zod.ZodType<T>,
  value: unknown = document.value,
): T | undefined {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  result.error.issues.flatMap(expandIssue).forEach((issue) => {
    const fullPath = [...path, ...issue.path];
    document.findings.push({
      file: document.file,
      ...findPosition(document, fullPath),
      path: fullPath.join('.'),
      message: issue.message,
    });
  });
  return undefined;
}
