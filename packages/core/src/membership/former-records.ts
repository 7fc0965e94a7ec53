/**
 * Facts that a process has announced before its restart and that it must get back: its departed target
 * and the crashes of its targets. Its peers keep its former record and return it to the new process.
 */
import type * as types from './types.js';

/** Records of other members from before their restart. */
export interface FormerRecords {
  /** Keeps the record of a process that has restarted, until the new one has got back its facts. */
  update(previous: types.Member, member: types.Member): void;
  /** Returns the record to send to a member, if there is one. */
  take(id: string): types.Member | undefined;
  delete(id: string): void;
}

/** Records of this process from before its restart, as peers return them. */
export interface OwnFormerRecords {
  /** Returns the facts of a record of an earlier process, once for each record. */
  take(record: types.Member, instance: string): types.MemberInfo | undefined;
}

/** How often each member returns the crashes of a member's former record; all of them do. */
const MAX_CRASH_RETURNS = 4;

function hasFacts({ departedTarget, crashes }: types.MemberInfo): boolean {
  return departedTarget !== undefined || (crashes !== undefined && crashes.length > 0);
}

/** Returns whether a process announces again what its former record tells. */
function hasRecalled(info: types.MemberInfo, former: types.MemberInfo): boolean {
  const targets = new Set(info.crashes?.map(({ target }) => target));
  return (
    (former.departedTarget === undefined || info.departedTarget !== undefined) &&
    (former.crashes ?? []).every(({ target }) => targets.has(target))
  );
}

/**
 * Creates an empty store.
 *
 * @example
 * const formerRecords = createFormerRecords();
 * formerRecords.update(previous, member);
 */
export function createFormerRecords(): FormerRecords {
  const entries = new Map<string, { record: types.Member; returns: number }>();
  return {
    update(previous, member) {
      const isRestart = previous.info.instance !== member.info.instance;
      if (isRestart && hasFacts(previous.info))
        entries.set(member.id, { record: previous, returns: 0 });
      const former = entries.get(member.id)?.record;
      if (former && hasRecalled(member.info, former.info)) entries.delete(member.id);
    },
    take(id) {
      const entry = entries.get(id);
      if (!entry) return undefined;
      entry.returns += 1;
      const { departedTarget } = entry.record.info;
      // A process does not announce again the crashes that have been cleared since.
      if (departedTarget === undefined && entry.returns >= MAX_CRASH_RETURNS) entries.delete(id);
      return entry.record;
    },
    delete: (id) => {
      entries.delete(id);
    },
  };
}

/**
 * Creates an empty set of the records that have been taken.
 *
 * @example
 * const info = createOwnFormerRecords().take(record, self.info.instance);
 */
export function createOwnFormerRecords(): OwnFormerRecords {
  const taken = new Set<string>();
  return {
    take({ info, incarnation }, instance) {
      const key = `${info.instance} ${incarnation}`;
      if (info.instance === instance || !hasFacts(info) || taken.has(key)) return undefined;
      taken.add(key);
      return info;
    },
  };
}
