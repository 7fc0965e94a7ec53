/**
 * Differences between two versions of the configuration, by which processes transfer a change
 * without its unchanged routes and services.
 */
import * as canonical from '../shared/canonical.js';
import type * as types from './types.js';

/** Difference between two lists; all indexes ascend. */
export interface ListDelta<T> {
  /** Indexes in the first list of the items that are not kept. */
  removed: readonly number[];
  /** Items that are not in the first list or not in its order, at their indexes in the second. */
  placed: readonly (readonly [index: number, item: T])[];
}

/** Difference between a configuration and a later one. */
export interface ConfigDelta {
  /** Version of the later configuration. */
  version: number;
  routes: ListDelta<types.RoutePolicy>;
  services: ListDelta<types.MeshService>;
  /** Null if the limits are the same. */
  limits: types.CallerLimits | null;
  /** Null if the later configuration has no accounts; undefined if neither has. */
  accounts?: ListDelta<types.ClientAccount> | null | undefined;
}

interface Content {
  digest: string;
  bytes: number;
}

const DIGEST_LENGTH = 16;
/** Bytes of an index and its separators as JSON. */
const BYTES_PER_INDEX = 8;
const contents = new WeakMap<object, Content>();

/** Cached by object: versions share the objects that a delta leaves unchanged. */
function computeContent(item: object): Content {
  const cached = contents.get(item);
  if (cached) return cached;
  // Not canonical JSON: that takes ten times as long, and transfers keep the order of the fields.
  const text = JSON.stringify(item);
  const digest = canonical.computeDigest(text).slice(0, DIGEST_LENGTH);
  const content = { digest, bytes: Buffer.byteLength(text) };
  contents.set(item, content);
  return content;
}

const isSame = (left: object | undefined, right: object): boolean =>
  left !== undefined && (left === right || JSON.stringify(left) === JSON.stringify(right));

function computeListDelta<T extends { name: string }>(
  from: readonly T[],
  to: readonly T[],
): ListDelta<T> {
  const indexByName = new Map(from.map(({ name }, index) => [name, index]));
  const keptIndexes = new Set<number>();
  const placed: [number, T][] = [];
  let lastKept = -1;
  to.forEach((item, index) => {
    const fromIndex = indexByName.get(item.name) ?? -1;
    if (fromIndex > lastKept && isSame(from[fromIndex], item)) {
      keptIndexes.add(fromIndex);
      lastKept = fromIndex;
    } else placed.push([index, item]);
  });
  const removed = [...from.keys()].filter((index) => !keptIndexes.has(index));
  return { removed, placed };
}

function isAscendingBelow(indexes: readonly number[], limit: number): boolean {
  return indexes.every(
    (index, position) =>
      Number.isInteger(index) && index > (indexes[position - 1] ?? -1) && index < limit,
  );
}

function applyListDelta<T>(base: readonly T[], { removed, placed }: ListDelta<T>): readonly T[] {
  if (removed.length === 0 && placed.length === 0) return base;
  const placedIndexes = placed.map(([index]) => index);
  const length = base.length - removed.length + placed.length;
  if (!isAscendingBelow(removed, base.length) || !isAscendingBelow(placedIndexes, length))
    throw new RangeError('the indexes of the delta do not fit the configuration');
  const removedIndexes = new Set(removed);
  const kept = base.filter((_, index) => !removedIndexes.has(index));
  const placedByIndex = new Map(placed);
  let keptCount = 0;
  return Array.from({ length }, (_, index) => {
    if (placedByIndex.has(index)) return placedByIndex.get(index) as T;
    keptCount += 1;
    return kept[keptCount - 1] as T;
  });
}

/** Leaves the field out where neither configuration has accounts, as older processes expect it. */
function computeAccountsDelta(
  from: types.MeshConfig,
  to: types.MeshConfig,
): Pick<ConfigDelta, 'accounts'> {
  if (to.accounts) return { accounts: computeListDelta(from.accounts ?? [], to.accounts) };
  return from.accounts ? { accounts: null } : {};
}

function applyAccountsDelta(
  config: types.MeshConfig,
  { accounts }: ConfigDelta,
): Pick<types.MeshConfig, 'accounts'> {
  return accounts ? { accounts: applyListDelta(config.accounts ?? [], accounts) } : {};
}

/**
 * Computes the difference between two configurations. Routes and services are matched by name and
 * content; one whose order relative to the kept ones changes counts as new.
 *
 * @example
 * applyDelta(from, computeDelta(from, to)); // equals `to`
 */
export function computeDelta(from: types.MeshConfig, to: types.MeshConfig): ConfigDelta {
  return {
    version: to.version,
    routes: computeListDelta(from.routes, to.routes),
    services: computeListDelta(from.services, to.services),
    limits: isSame(from.limits, to.limits) ? null : to.limits,
    ...computeAccountsDelta(from, to),
  };
}

/**
 * Applies a difference to the configuration that it was computed from. The result shares the
 * unchanged objects with it.
 *
 * @throws RangeError if the indexes of the delta do not fit the configuration.
 * @example
 * const next = applyDelta(config, delta);
 */
export function applyDelta(config: types.MeshConfig, delta: ConfigDelta): types.MeshConfig {
  return {
    version: delta.version,
    routes: applyListDelta(config.routes, delta.routes),
    services: applyListDelta(config.services, delta.services),
    limits: delta.limits ?? config.limits,
    ...applyAccountsDelta(config, delta),
  };
}

/**
 * Computes a digest of the content as JSON. Only objects that were not seen before are serialised.
 *
 * @example
 * computeConfigDigest(config) === computeConfigDigest(applyDelta(config, emptyDelta));
 */
export function computeConfigDigest(config: types.MeshConfig): string {
  const { routes, services, limits, accounts } = config;
  const digestLists = [routes, services, [limits], ...(accounts ? [accounts] : [])].map((items) =>
    items.map((item) => computeContent(item).digest).join(','),
  );
  return canonical
    .computeDigest([config.version, ...digestLists].join('|'))
    .slice(0, DIGEST_LENGTH);
}

const measureListDelta = ({ removed, placed }: ListDelta<object>): number =>
  (removed.length + placed.length) * BYTES_PER_INDEX +
  placed.reduce((sum, [, item]) => sum + computeContent(item).bytes, 0);

/**
 * Estimates the size of a delta as JSON, in bytes.
 *
 * @example
 * measureDelta(delta) < measureConfig(config);
 */
export function measureDelta({ routes, services, limits, accounts }: ConfigDelta): number {
  const limitsBytes = limits ? computeContent(limits).bytes : 0;
  const accountsBytes = accounts ? measureListDelta(accounts) : 0;
  return measureListDelta(routes) + measureListDelta(services) + limitsBytes + accountsBytes;
}

/**
 * Estimates the size of a configuration as JSON, in bytes.
 *
 * @example
 * measureConfig(config);
 */
export function measureConfig({ routes, services, accounts = [] }: types.MeshConfig): number {
  return [...routes, ...services, ...accounts].reduce(
    (sum, item) => sum + computeContent(item).bytes,
    0,
  );
}
