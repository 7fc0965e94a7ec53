/**
 * Computes the configuration state by folding the records of the configuration stream. The fold is
 * deterministic: every process that has read the same records has the same state.
 */
import * as canonical from '../shared/canonical.js';
import * as errors from '../shared/errors.js';
import * as references from './references.js';
import * as schemas from './schemas.js';

/** Number of most recent decisions kept in the state, by which repeated changes are detected. */
export const MAX_KEPT_DECISIONS = 512;

export interface OffsetRecord {
  offset: number;
  /** The record as read from the log, not yet validated. */
  body: unknown;
}

/**
 * Creates the state before the first record.
 *
 * @example
 * createEmptyState().version; // -1
 */
export function createEmptyState(): schemas.State {
  return { position: -1, version: -1, resources: {}, decisions: [] };
}

/**
 * Computes the digest of a state. Equal states have equal digests.
 *
 * @example
 * computeStateDigest(createEmptyState());
 */
export function computeStateDigest(state: schemas.State): string {
  return canonical.computeDigest(canonical.formatCanonicalJson(state));
}

function listRevisionConflicts(state: schemas.State, change: schemas.Change): references.Finding[] {
  const changedIds = [...change.put.map(references.formatResourceId), ...change.remove];
  return changedIds.flatMap((id) => {
    const currentRevision = state.resources[id]?.revision ?? 0;
    const baseRevision = change.base[id];
    if (baseRevision === undefined) return [{ path: id, message: 'has no base revision' }];
    if (baseRevision === currentRevision) return [];
    return [{ path: id, message: `is at revision ${currentRevision}, not at ${baseRevision}` }];
  });
}

function applyChange(
  state: schemas.State,
  change: schemas.Change,
  offset: number,
): { resources: schemas.State['resources']; findings: references.Finding[] } {
  const findings = listRevisionConflicts(state, change);
  const resources = { ...state.resources };
  change.remove.forEach((id) => delete resources[id]);
  change.put.forEach((resource) => {
    // Revisions start at 1, because revision 0 means that the resource does not exist.
    resources[references.formatResourceId(resource)] = { revision: offset + 1, resource };
  });
  const resourcesById = new Map(
    Object.entries(resources).map(([id, stored]) => [id, stored.resource]),
  );
  return { resources, findings: [...findings, ...references.checkReferences(resourcesById)] };
}

function decideChange(state: schemas.State, change: schemas.Change, offset: number): schemas.State {
  if (state.decisions.some((decision) => decision.id === change.id)) {
    return { ...state, position: offset };
  }
  const { resources, findings } = applyChange(state, change, offset);
  const accepted = findings.length === 0;
  const decision = { id: change.id, offset, accepted, findings };
  return {
    position: offset,
    version: accepted ? offset : state.version,
    resources: accepted ? resources : state.resources,
    decisions: [...state.decisions, decision].slice(-MAX_KEPT_DECISIONS),
  };
}

/**
 * Applies one record to a state and returns the next state. A snapshot, a record that does not match
 * the schema, or a change whose id is among the kept decisions changes only the position.
 *
 * @throws InvariantError when the record is not the one after `state.position`.
 * @example
 * const next = foldRecord(state, { offset: state.position + 1, body: change });
 */
export function foldRecord(state: schemas.State, record: OffsetRecord): schemas.State {
  errors.assertInvariant(
    record.offset === state.position + 1,
    'fold-order',
    `record ${record.offset} does not follow position ${state.position}`,
  );
  const parsed = schemas.recordSchema.safeParse(record.body);
  if (!parsed.success || parsed.data.type === 'snapshot') {
    return { ...state, position: record.offset };
  }
  return decideChange(state, parsed.data, record.offset);
}

/**
 * Creates a snapshot record of a state.
 *
 * @example
 * const record = createSnapshot(state);
 */
export function createSnapshot(state: schemas.State): schemas.Snapshot {
  return { type: 'snapshot', digest: computeStateDigest(state), state };
}

/**
 * Parses a snapshot record and checks its digest. Returns undefined for any other record and for a
 * wrong digest.
 *
 * @example
 * const state = parseSnapshot(record.body);
 */
export function parseSnapshot(body: unknown): schemas.State | undefined {
  const parsed = schemas.snapshotSchema.safeParse(body);
  if (!parsed.success) return undefined;
  const { state, digest } = parsed.data;
  return computeStateDigest(state) === digest ? state : undefined;
}

/**
 * Computes the newest state from the current state and contiguous retained records. It starts from
 * the newest base state, which is either the current state or a snapshot in the records. Returns
 * undefined when records are missing after the current state and no snapshot covers the gap.
 *
 * @example
 * const state = recoverState(createEmptyState(), records);
 */
export function recoverState(
  current: schemas.State,
  records: readonly OffsetRecord[],
): schemas.State | undefined {
  const first = records[0];
  if (!first) return current;
  let base = current.position + 1 >= first.offset ? current : undefined;
  records.forEach(({ body }) => {
    const state = parseSnapshot(body);
    if (!state || state.position + 1 < first.offset) return;
    if (!base || state.position > base.position) base = state;
  });
  if (!base) return undefined;
  const { position } = base;
  return records
    .filter(({ offset }) => offset > position)
    .reduce((state, record) => foldRecord(state, record), base);
}
