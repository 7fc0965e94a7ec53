/** The configuration in force and the recent changes that led to it. */
import * as configDelta from './config-delta.js';
import type * as types from './types.js';

/** Identifies a configuration; the digest distinguishes contents that have the same version. */
export interface ConfigId {
  version: number;
  digest: string;
}

export interface ConfigSnapshot {
  id: ConfigId;
  config: types.MeshConfig;
}

export interface ConfigHistoryOptions {
  maxDeltas: number;
  /** Total size of the deltas as JSON, in bytes. */
  maxBytes: number;
  /** Total size of the deltas, as a share of the size of the configuration. */
  maxShare: number;
  /** Configurations from which changes can be applied, the newest included. */
  maxSnapshots: number;
}

export const configHistoryDefaults: ConfigHistoryOptions = {
  maxDeltas: 64,
  maxBytes: 65_536,
  // Larger changes save little compared to the whole configuration.
  maxShare: 0.5,
  maxSnapshots: 4,
};

export interface ConfigHistory {
  /**
   * Records the next configuration and returns it; the returned one shares unchanged objects with
   * the one before.
   */
  record(config: types.MeshConfig): types.MeshConfig;
  /** Returns the newest configuration; undefined before the first. */
  getSnapshot(): ConfigSnapshot | undefined;
  /**
   * Lists the newest configuration and recent ones, newest first. A peer may have skipped the newest
   * and have changes only since an older one.
   */
  listSnapshots(): readonly ConfigSnapshot[];
  /**
   * Lists the changes from a configuration to the newest one, oldest first; undefined if the
   * history does not reach back to it.
   */
  listDeltas(base: ConfigId): readonly configDelta.ConfigDelta[] | undefined;
}

interface Entry {
  base: ConfigId;
  delta: configDelta.ConfigDelta;
  bytes: number;
}

const isSameId = (left: ConfigId, right: ConfigId): boolean =>
  left.version === right.version && left.digest === right.digest;

/**
 * Creates an empty history. Recent configurations share their unchanged objects with the newest;
 * older ones are kept only as deltas.
 *
 * @example
 * const history = createConfigHistory(configHistoryDefaults);
 * history.record(config);
 * history.listDeltas({ version: 7, digest });
 */
export function createConfigHistory(options: ConfigHistoryOptions): ConfigHistory {
  let entries: Entry[] = [];
  let newest: types.MeshConfig | undefined;
  let snapshot: ConfigSnapshot | undefined;
  /** Configurations before the newest, newest first; all within reach of the deltas. */
  let olderSnapshots: ConfigSnapshot[] = [];

  const getSnapshot = (): ConfigSnapshot | undefined => {
    if (newest && snapshot?.config !== newest) {
      const id = { version: newest.version, digest: configDelta.computeConfigDigest(newest) };
      snapshot = { id, config: newest };
    }
    return snapshot;
  };

  const removeOldEntries = (config: types.MeshConfig): void => {
    const maxBytes = Math.min(
      options.maxBytes,
      options.maxShare * configDelta.measureConfig(config),
    );
    let totalBytes = 0;
    const firstKept = entries.findLastIndex(({ bytes }, index) => {
      totalBytes += bytes;
      return totalBytes > maxBytes || entries.length - index > options.maxDeltas;
    });
    entries = entries.slice(firstKept + 1);
  };

  return {
    record(config) {
      const before = getSnapshot();
      if (!before) {
        newest = config;
        return newest;
      }
      const delta = configDelta.computeDelta(before.config, config);
      newest = configDelta.applyDelta(before.config, delta);
      entries.push({ base: before.id, delta, bytes: configDelta.measureDelta(delta) });
      removeOldEntries(newest);
      olderSnapshots = [before, ...olderSnapshots].slice(
        0,
        Math.min(options.maxSnapshots - 1, entries.length),
      );
      return newest;
    },
    getSnapshot,
    listSnapshots() {
      const current = getSnapshot();
      return current ? [current, ...olderSnapshots] : [];
    },
    listDeltas(base) {
      const current = getSnapshot();
      if (current && isSameId(current.id, base)) return [];
      const first = entries.findLastIndex((entry) => isSameId(entry.base, base));
      return first < 0 ? undefined : entries.slice(first).map(({ delta }) => delta);
    },
  };
}
