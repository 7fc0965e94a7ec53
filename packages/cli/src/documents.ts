/** Loads the documents of operators and checks them as the fold would. */
import * as fs from 'node:fs';
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as zod from 'zod';

const { z } = zod;

const documentSchema = z.strictObject({
  /** Revision that each resource must have when the change is decided. */
  base: z.record(z.string(), z.number().int().nonnegative()).optional(),
  resources: z.array(z.unknown()),
});

/** Everything that a set of documents asks for. */
export interface LoadedDocuments {
  resources: core.Resource[];
  base: Record<string, number>;
}

interface Placed {
  document: runtime.ParsedDocument;
  index: number;
  id: string;
  resource: core.Resource | undefined;
}

function readFile(file: string): runtime.ParsedDocument {
  try {
    return runtime.parseDocument(file, fs.readFileSync(file, 'utf8'));
  } catch (error) {
    const message = `cannot be read: ${(error as NodeJS.ErrnoException).code}`;
    const finding = { file, line: 1, column: 1, path: '', message };
    return { file, text: '', value: undefined, root: undefined, findings: [finding] };
  }
}

function readId(value: unknown): string {
  const { kind, name } = (value ?? {}) as { kind?: unknown; name?: unknown };
  return `${String(kind)}/${String(name)}`;
}

function placeResources(document: runtime.ParsedDocument): {
  placed: Placed[];
  base: Record<string, number>;
} {
  if (!document.root) return { placed: [], base: {} };
  const whole = runtime.checkValue(document, [], documentSchema);
  const listed = (document.value as { resources?: unknown } | undefined)?.resources;
  const values: unknown[] = Array.isArray(listed) ? listed : [];
  const placed = values.map((value, index) => ({
    document,
    index,
    id: readId(value),
    resource: runtime.checkValue(document, ['resources', index], core.resourceSchema, value),
  }));
  return { placed, base: whole?.base ?? {} };
}

function addFinding({ document, index }: Placed, path: readonly string[], message: string): void {
  const parts = path.map((part) => (/^\d+$/.test(part) ? Number(part) : part));
  const full = ['resources', index, ...parts];
  document.findings.push({
    file: document.file,
    ...runtime.findPlace(document, full),
    path: full.join('.'),
    message,
  });
}

function checkTwice(placed: readonly Placed[]): void {
  placed.forEach((item, index) => {
    const isTwice = placed.slice(0, index).some(({ id }) => id === item.id);
    if (isTwice) addFinding(item, ['name'], `${item.id} is given twice`);
  });
}

function checkReferences(
  placed: readonly Placed[],
  existing: ReadonlyMap<string, core.Resource>,
): void {
  const all = new Map(existing);
  placed.forEach(({ id, resource }) => {
    if (resource) all.set(id, resource);
    // A resource with findings of its own still counts as there, so that they are not repeated.
    else if (id.startsWith('service/')) all.set(id, {} as core.Resource);
  });
  const checked = new Map([...all].filter(([, resource]) => resource.kind !== undefined));
  const findings = core.checkReferences(checked);
  findings.forEach(({ path, message }) => {
    const item = placed.find(({ id }) => path === id || path.startsWith(`${id}.`));
    const broken = /^service "(.*)" does not exist$/.exec(message)?.[1];
    if (!item || (broken !== undefined && all.has(`service/${broken}`))) return;
    addFinding(item, path.slice(item.id.length + 1).split('.'), message);
  });
}

/**
 * Loads documents and checks them together, with what is in force already when that is given.
 *
 * @throws DocumentError with every finding and its place.
 * @example
 * const { resources } = loadDocuments(['contracts.jsonc'], new Map());
 */
export function loadDocuments(
  files: readonly string[],
  existing: ReadonlyMap<string, core.Resource>,
): LoadedDocuments {
  const documents = files.map(readFile);
  const loaded = documents.map(placeResources);
  const placed = loaded.flatMap((item) => item.placed);
  checkTwice(placed);
  checkReferences(placed, existing);
  const findings = documents.flatMap((document) => document.findings);
  if (findings.length > 0) throw new runtime.DocumentError(findings);
  return {
    resources: placed
      .map(({ resource }) => resource)
      .filter((resource): resource is core.Resource => resource !== undefined),
    base: Object.assign({}, ...loaded.map(({ base }) => base)) as Record<string, number>,
  };
}
