/** Command that checks a configuration before it is sent: `check`. */
import * as citty from 'citty';
import * as core from '@figshed/core';
import * as documents from '../documents.js';
import * as errors from '../errors.js';
import * as codes from '../exit-codes.js';
import * as commandOutput from '../output.js';
import * as sharedArguments from './arguments.js';
import * as commandRunner from './run.js';

type Resources = ReadonlyMap<string, core.Resource>;

const { exitCodes } = codes;

/** The version that a document is compared with. */
export interface ComparedVersion {
  name: string;
  resources: Resources;
  /** False if the document changes the resources that it names and leaves the others in force. */
  isReplaced: boolean;
}

/**
 * Reads the version to compare with: a document, or what is in force by the log. Without both it uses
 * no network and returns undefined.
 *
 * @throws DocumentError when the document is not valid, UnknownResultError when the log cannot be read.
 */
async function readComparedVersion(
  against: string | undefined,
  logUrl: string | undefined,
): Promise<ComparedVersion | undefined> {
  if (against !== undefined) {
    const { resources } = documents.loadDocuments([against], new Map());
    return { name: against, resources: documents.indexResources(resources), isReplaced: true };
  }
  if (!logUrl) return undefined;
  const resources = await commandRunner.readResourcesInForce(logUrl);
  return { name: logUrl, resources, isReplaced: false };
}

function compareResources(
  resources: Resources,
  { resources: inForce, isReplaced }: ComparedVersion,
): core.FieldDifference[] {
  const compared = [...inForce].filter(([id]) => isReplaced || resources.has(id));
  return core.listDifferences(Object.fromEntries(compared), Object.fromEntries(resources));
}

function listCheckFindings(
  inspected: documents.InspectedDocuments<core.CheckFinding>,
  existing: Resources,
): core.LocatedCheckFinding[] {
  const documentFindings = inspected.findings.map((finding) => ({
    ...finding,
    ...core.createError('DOCUMENT_INVALID', finding.path, finding.message),
  }));
  // What already holds for the version in force is not a finding of this document.
  const known = new Set(
    core.checkResources(existing).map(({ path, message }) => `${path} ${message}`),
  );
  const findings = [
    ...inspected.checkFindings,
    ...inspected.existingFindings.filter(({ path, message }) => !known.has(`${path} ${message}`)),
  ].filter(({ code }) => inspected.findings.length === 0 || !core.absenceCodes.has(code));
  return [...documentFindings, ...findings];
}

/**
 * Checks one document and compares it with a version, if there is one.
 *
 * @example
 * checkDocument('contracts.jsonc', undefined).findings;
 */
export function checkDocument(
  file: string,
  version: ComparedVersion | undefined,
): core.CheckReport {
  const existing: Resources = version && !version.isReplaced ? version.resources : new Map();
  const inspected = documents.inspectDocuments([file], existing, core.checkResources);
  return {
    findings: listCheckFindings(inspected, existing),
    against: version?.name ?? null,
    // A resource that cannot be read would look like a removed one.
    differences:
      version && inspected.findings.length === 0
        ? compareResources(documents.indexResources(inspected.resources), version)
        : null,
  };
}

export const checkCommand = citty.defineCommand({
  meta: {
    name: 'check',
    description: 'Check a document for contradictions and compare it with the version in force',
  },
  args: {
    ...sharedArguments.logArgument,
    ...sharedArguments.jsonArgument,
    against: { type: 'string', description: 'Document of the version in force' },
  },
  run: ({ args }) =>
    commandRunner.runAction(args.json, async () => {
      const [file, ...others] = args._;
      if (file === undefined || others.length > 0) {
        throw new errors.UsageError('check needs exactly one document');
      }
      const logUrl = args.log ?? process.env.FIGSHED_LOG_URL;
      const report = checkDocument(file, await readComparedVersion(args.against, logUrl));
      commandOutput.createOutput(args.json).printResult(core.formatReport(report), report);
      if (report.findings.some(core.isError)) process.exitCode = exitCodes.refused;
    }),
});
