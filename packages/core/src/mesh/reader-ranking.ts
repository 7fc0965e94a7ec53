import * as rendezvous from '../shared/rendezvous.js';

/** A host that may read the configuration source for others. */
export interface ReaderCandidate {
  id: string;
  /** Bandwidth of its link in megabits per second; undefined if unknown. */
  linkMbps: number | undefined;
}

const READER_HASH_KEY = 'configuration';
/** Share of the widest link from which on a link counts as wide. */
const MIN_WIDE_LINK_SHARE = 0.5;

/**
 * Ranks the hosts that read the configuration source for the others, by rendezvous hashing, so that
 * hosts with the same list agree. Hosts with a wide link come first: a whole configuration takes a
 * large part of the time in which it must be in force to reach a host with a narrow one.
 *
 * @example
 * rankReaders([{ id: 'a', linkMbps: 5 }, { id: 'b', linkMbps: 100 }])[0]; // 'b'
 */
export function rankReaders(candidates: readonly ReaderCandidate[]): string[] {
  const bandwidths = new Map(candidates.map(({ id, linkMbps = 0 }) => [id, linkMbps]));
  const minWideMbps = Math.max(0, ...bandwidths.values()) * MIN_WIDE_LINK_SHARE;
  const isWide = (id: string): boolean => (bandwidths.get(id) ?? 0) >= minWideMbps;
  const ids = rendezvous.chooseByRendezvousHash(
    READER_HASH_KEY,
    [...bandwidths.keys()],
    bandwidths.size,
  );
  return [...ids.filter(isWide), ...ids.filter((id) => !isWide(id))];
}
