/** In-memory log streams with time-based retention and a limit on the append rate. */

export interface StoredRecord {
  offset: number;
  body: unknown;
  appendedAt: number;
}

export interface LogStoreOptions {
  retentionMs: number;
  /** Limit for all streams together. */
  appendsPerSecond: number;
  maxPageRecords: number;
}

export interface LogStore {
  /** Appends a record and returns its offset, or undefined when the append rate is exceeded. */
  append(stream: string, body: unknown, now: number): number | undefined;
  /** Reads one page from an offset on, or from the first retained record when that is later. */
  read(
    stream: string,
    from: number,
    now: number,
  ): { first: number; head: number; records: { offset: number; body: unknown }[] };
}

interface Stream {
  firstOffset: number;
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
  let currentSecond = 0;
  let appendsInSecond = 0;

  const getPrunedStream = (name: string, now: number): Stream => {
    const stream = streams.get(name) ?? { firstOffset: 0, records: [] };
    streams.set(name, stream);
    const cutoff = now - options.retentionMs;
    const firstKept = stream.records.findIndex(({ appendedAt }) => appendedAt >= cutoff);
    const expiredCount = firstKept < 0 ? stream.records.length : firstKept;
    stream.records.splice(0, expiredCount);
    stream.firstOffset += expiredCount;
    return stream;
  };

  return {
    append(name, body, now) {
      const thisSecond = Math.floor(now / MS_PER_SECOND);
      if (thisSecond !== currentSecond) {
        currentSecond = thisSecond;
        appendsInSecond = 0;
      }
      appendsInSecond += 1;
      if (appendsInSecond > options.appendsPerSecond) return undefined;
      const stream = getPrunedStream(name, now);
      const offset = stream.firstOffset + stream.records.length;
      stream.records.push({ offset, body, appendedAt: now });
      return offset;
    },
    read(name, from, now) {
      const { firstOffset, records } = getPrunedStream(name, now);
      const startIndex = Math.max(0, from - firstOffset);
      return {
        first: firstOffset,
        head: firstOffset + records.length,
        records: records
          .slice(startIndex, startIndex + options.maxPageRecords)
          .map(({ offset, body }) => ({ offset, body })),
      };
    },
  };
}
