/** In-memory streams with limited retention and a rate limit on appends. */

/** One stored record. */
export interface StoredRecord {
  offset: number;
  body: unknown;
  at: number;
}

/** Settings of the store. */
export interface LogStoreOptions {
  retentionMs: number;
  appendsPerSecond: number;
  maxPageRecords: number;
}

/** Streams of records. */
export interface LogStore {
  /** Appends and returns the offset, or undefined when the rate is exceeded. */
  append(stream: string, body: unknown, now: number): number | undefined;
  read(
    stream: string,
    from: number,
    now: number,
  ): { first: number; head: number; records: { offset: number; body: unknown }[] };
}

interface Stream {
  first: number;
  records: StoredRecord[];
}

const MS_PER_SECOND = 1_000;

/**
 * Creates an empty store.
 *
 * @example
 * const store = createLogStore({ retentionMs: 60_000, appendsPerSecond: 400, maxPageRecords: 500 });
 */
export function createLogStore(options: LogStoreOptions): LogStore {
  const streams = new Map<string, Stream>();
  let second = 0;
  let appended = 0;

  const getStream = (name: string, now: number): Stream => {
    const stream = streams.get(name) ?? { first: 0, records: [] };
    streams.set(name, stream);
    const cutoff = now - options.retentionMs;
    const kept = stream.records.findIndex(({ at }) => at >= cutoff);
    const expired = kept < 0 ? stream.records.length : kept;
    stream.records.splice(0, expired);
    stream.first += expired;
    return stream;
  };

  return {
    append(name, body, now) {
      const thisSecond = Math.floor(now / MS_PER_SECOND);
      if (thisSecond !== second) {
        second = thisSecond;
        appended = 0;
      }
      appended += 1;
      if (appended > options.appendsPerSecond) return undefined;
      const stream = getStream(name, now);
      const offset = stream.first + stream.records.length;
      stream.records.push({ offset, body, at: now });
      return offset;
    },
    read(name, from, now) {
      const { first, records } = getStream(name, now);
      const start = Math.max(0, from - first);
      return {
        first,
        head: first + records.length,
        records: records
          .slice(start, start + options.maxPageRecords)
          .map(({ offset, body }) => ({ offset, body })),
      };
    },
  };
}
