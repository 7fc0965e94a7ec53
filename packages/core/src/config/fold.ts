/** Folds the configuration stream into a state that is the same for every reader. */
import * as canonical from '../shared/canonical.js';
import * as errors from '../shared/errors.js';
import * as references from './references.js';
import * as schemas from './schemas.js';

/** Decisions kept in the state, so that a repeated change is folded once. */
export const MAX_DECISIONS = 512;

/** A record with its place on the stream. */
export interface OffsetRecord {
  offset: number;
  /** The record as read; the fold checks it. */
  body: unknown;
}

/**
 * Creates the state before any record.
 *
 * @example
 * createState().version; // -1
 */
export function createState(): schemas.State {
  return { position: -1, version: -1, resources: {}, decisions: [] };
}

/**
 * Computes the digest of a state; equal states have equal digests.
 *
 * @example
 * computeStateDigest(createState());
 */
export function computeStateDigest(state: schemas.State): string {
  return canonical.computeDigest(canonical.formatCanonical(state));
}

function listStaleBases(state: schemas.State, change: schemas.Change): references.Finding[] {
  const touched = [...change.put.map(references.formatResourceId), ...change.remove];
  return touched.flatMap((id) => {
    const actual = state.resources[id]?.revision ?? 0;
    const stated = change.base[id];
    if (stated === undefined) return [{ path: id, message: 'has no base revision' }];
    if (stated === actual) return [];
    return [{ path: id, message: `is at revision ${actual}, not at ${stated}` }];
  });
}

function applyChange(
  state: schemas.State,
  change: schemas.Change,
  offset: number,
): { resources: schemas.State['resources']; findings: references.Finding[] } {
  const findings = listStaleBases(state, change);
  const resources = { ...state.resources };
  change.remove.forEach((id) => delete resources[id]);
  change.put.forEach((resource) => {
    // Revision 0 means "does not exist", so revisions count from 1.
    resources[references.formatResourceId(resource)] = { revision: offset + 1, resource };
  });
  const all = new Map(Object.entries(resources).map(([id, stored]) => [id, stored.resource]));
  return { resources, findings: [...findings, ...references.checkReferences(all)] };
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
    decisions: [...state.decisions, decision].slice(-MAX_DECISIONS),
  };
}

/**
 * Applies one record to a state and returns the next state.
 * A record that does not fit the schema changes nothing but the position.
 *
 * @throws InvariantError when the record is not the one after `state.position`, or when a snapshot
 * on the log differs from the state folded so far.
 * @example
 * const next = foldRecord(state, { offset: state.position + 1, body: change });
 */
export function foldRecord(state: schemas.State, record: OffsetRecord): schemas.State {
  errors.checkInvariant(
    record.offset === state.position + 1,
    'fold-order',
    `record ${record.offset} after position ${state.position}`,
  );
  const parsed = schemas.recordSchema.safeParse(record.body);
  if (!parsed.success || parsed.data.type === 'snapshot') {
    return { ...state, position: record.offset };
  }
  return decideChange(state, parsed.data, record.offset);
}

/**
 * Creates the snapshot record of a state.
 *
 * @example
 * const record = createSnapshot(state);
 */
export function createSnapshot(state: schemas.State): schemas.Snapshot {
  return { type: 'snapshot', digest: computeStateDigest(state), state };
}

/**
 * Reads a snapshot record and checks its digest; anything else gives undefined.
 *
 * @example
 * const state = readSnapshot(record.body);
 */
export function readSnapshot(body: unknown): schemas.State | undefined {
  const parsed = schemas.snapshotSchema.safeParse(body);
  if (!parsed.success) return undefined;
  const { state, digest } = parsed.data;
  return computeStateDigest(state) === digest ? state : undefined;
}

/**
 * Finds the newest state that a run of retained records supports, starting from what is known.
 * Returns undefined when records are missing between the known state and the run, and no
 * snapshot in the run bridges the gap.
 *
 * @example
 * const state = recoverState(createState(), await log.readAll('config'));
 */
export function recoverState(
  known: schemas.State,
  records: readonly OffsetRecord[],
): schemas.State | undefined {
  const first = records[0];
  if (!first) return known;
  let base = known.position + 1 >= first.offset ? known : undefined;
  records.forEach(({ body }) => {
    const state = readSnapshot(body);
    if (!state || state.position + 1 < first.offset) return;
    if (!base || state.position > base.position) base = state;
  });
  if (!base) return undefined;
  const { position } = base;
  return records
    .filter(({ offset }) => offset > position)
    .reduce((state, record) => foldRecord(state, record), base);
}
