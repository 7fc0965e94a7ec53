/** Loads documents of operators and checks them by the rules that apply to a change. */
import * as fs from 'node:fs';
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as zod from 'zod';

const { z } = zod;

const documentSchema = z.strictObject({
  /** Revision that each resource must have when the change is applied. */
  base: z.record(z.string(), z.number().int().nonnegative()).optional(),
  resources: z.array(z.unknown()),
});

/** Resources and base revisions of a set of documents. */
export interface LoadedDocuments {
  resources: core.Resource[];
  base: Record<string, number>;
}

type ResourceCheck<T extends core.Finding> = (resources: ReadonlyMap<string, core.Resource>) => T[];

/** Documents with the findings of their form and of a check of their resources. */
export interface InspectedDocuments<T extends core.Finding> extends LoadedDocuments {
  /** Findings of syntax and schema, and of resources that are given twice. */
  findings: runtime.FileFinding[];
  /** Findings of the check at resources of the documents. */
  checkFindings: (T & runtime.FileFinding)[];
  /** Findings of the check at existing resources, with paths that begin with the resource's ID. */
  existingFindings: T[];
}

/** A resource with its position; `resource` is undefined if it does not match the schema. */
interface LocatedResource {
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

function locateResources(document: runtime.ParsedDocument): {
  located: LocatedResource[];
  base: Record<string, number>;
} {
  if (!document.root) return { located: [], base: {} };
  const parsedDocument = runtime.validateValue(document, [], documentSchema);
  const listed = (document.value as { resources?: unknown } | undefined)?.resources;
  const values: unknown[] = Array.isArray(listed) ? listed : [];
  const located = values.map((value, index) => ({
    document,
    index,
    id: readId(value),
    resource: runtime.validateValue(document, ['resources', index], core.resourceSchema, value),
  }));
  return { located, base: parsedDocument?.base ?? {} };
}

function locateFinding<T extends core.Finding>(
  { document, index }: LocatedResource,
  path: readonly string[],
  finding: T,
): T & runtime.FileFinding {
  const parts = path.map((part) => (/^\d+$/.test(part) ? Number(part) : part));
  const fullPath = ['resources', index, ...parts];
  return {
    ...finding,
    file: document.file,
    ...runtime.findPosition(document, fullPath),
    path: fullPath.join('.'),
  };
}

function checkDuplicates(located: readonly LocatedResource[]): void {
  located.forEach((locatedResource, index) => {
    const isDuplicate = located.slice(0, index).some(({ id }) => id === locatedResource.id);
    if (!isDuplicate) return;
    const finding = { path: 'name', message: `${locatedResource.id} is given twice` };
    locatedResource.document.findings.push(locateFinding(locatedResource, ['name'], finding));
  });
}

/** Checks the resources together with the existing ones, and locates the findings. */
function checkLocated<T extends core.Finding>(
  located: readonly LocatedResource[],
  existing: ReadonlyMap<string, core.Resource>,
  check: ResourceCheck<T>,
): { inDocuments: (T & runtime.FileFinding)[]; elsewhere: T[] } {
  const allResources = new Map(existing);
  located.forEach(({ id, resource }) => {
    if (resource) allResources.set(id, resource);
    // An invalid service still counts as existing, so that references to it get no finding.
    else if (id.startsWith('service/')) allResources.set(id, {} as core.Resource);
  });
  const validResources = new Map(
    [...allResources].filter(([, resource]) => resource.kind !== undefined),
  );
  const inDocuments: (T & runtime.FileFinding)[] = [];
  const elsewhere: T[] = [];
  check(validResources).forEach((finding) => {
    const { path, message } = finding;
    const locatedResource = located.find(({ id }) => path === id || path.startsWith(`${id}.`));
    const missing = /^service "(.*)" does not exist$/.exec(message)?.[1];
    if (missing !== undefined && allResources.has(`service/${missing}`)) return;
    if (!locatedResource) {
      elsewhere.push(finding);
      return;
    }
    const relativePath = path.slice(locatedResource.id.length + 1);
    const parts = relativePath === '' ? [] : relativePath.split('.');
    inDocuments.push(locateFinding(locatedResource, parts, finding));
  });
  return { inDocuments, elsewhere };
}

/**
 * Reads documents and checks them together with the existing resources by `check`. Reports every
 * finding and throws none.
 *
 * @example
 * inspectDocuments(['contracts.jsonc'], new Map(), core.checkResources).checkFindings;
 */
export function inspectDocuments<T extends core.Finding>(
  files: readonly string[],
  existing: ReadonlyMap<string, core.Resource>,
  check: ResourceCheck<T>,
): InspectedDocuments<T> {
  const documents = files.map(readFile);
  const loadedDocuments = documents.map(locateResources);
  const located = loadedDocuments.flatMap((loadedDocument) => loadedDocument.located);
  checkDuplicates(located);
  const { inDocuments, elsewhere } = checkLocated(located, existing, check);
  return {
    findings: documents.flatMap((document) => document.findings),
    checkFindings: inDocuments,
    existingFindings: elsewhere,
    resources: located
      .map(({ resource }) => resource)
      .filter((resource): resource is core.Resource => resource !== undefined),
    base: Object.assign({}, ...loadedDocuments.map(({ base }) => base)) as Record<string, number>,
  };
}

/**
 * Indexes resources by their IDs.
 *
 * @example
 * indexResources(resources).get('contract/school');
 */
export function indexResources(resources: readonly core.Resource[]): Map<string, core.Resource> {
  return new Map(resources.map((resource) => [core.formatResourceId(resource), resource]));
}

/**
 * Loads documents and checks them together with the existing resources.
 *
 * @throws DocumentError with all findings and their positions.
 * @example
 * const { resources } = loadDocuments(['contracts.jsonc'], new Map());
 */
export function loadDocuments(
  files: readonly string[],
  existing: ReadonlyMap<string, core.Resource>,
): LoadedDocuments {
  const inspected = inspectDocuments(files, existing, core.checkReferences);
  const findings = [...inspected.findings, ...inspected.checkFindings];
  if (findings.length > 0) throw new runtime.DocumentError(findings);
  return { resources: inspected.resources, base: inspected.base };
}
