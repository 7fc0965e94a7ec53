/** In-memory topics of the stand-in for the platform's store. */

export interface Topic {
  records: Buffer[];
  firstOffset: number;
}

/** A record of a keyed topic as `log-newest` returns it; the value is in base64. */
export interface NewestRecord {
  key: string;
  value: string;
  offset: number;
}

/** Topics and newest records at one moment. */
export interface TopicCopy {
  topics: Map<string, Topic>;
  newestByTopic: Map<string, Map<string, NewestRecord>>;
}

/** Topics of one store: records by offset, and the newest record of each key in keyed topics. */
export interface TopicStore {
  append(topic: string, records: readonly Buffer[]): { offset: number; endOffset: number };
  /**
   * Returns the records from an offset on, up to `maxBytes` but at least one, or undefined when some
   * of them were trimmed or the offset lies after the end.
   */
  read(topic: string, from: number, maxBytes: number): Buffer[] | undefined;
  getBounds(topic: string): { firstOffset: number; endOffset: number };
  listNewest(topic: string): NewestRecord[];
  /** Drops the records before an offset; the newest record of each key is kept. */
  trim(topic: string, beforeOffset: number): void;
  /** Calls the listener once at the next append; returns a function that removes the listener. */
  onNextAppend(topic: string, listener: () => void): () => void;
  createCopy(): TopicCopy;
  /** Replaces all topics by those of a copy; later records are lost and their offsets free again. */
  restore(copy: TopicCopy): void;
}

const LENGTH_PREFIX_BYTES = 4;

/**
 * Splits the body of an append into its records.
 *
 * @example
 * splitRecords(Buffer.from([0, 0, 0, 1, 65])); // [Buffer 'A']
 */
export function splitRecords(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  let position = 0;
  while (position + LENGTH_PREFIX_BYTES <= body.length) {
    const end = position + LENGTH_PREFIX_BYTES + body.readUInt32BE(position);
    records.push(body.subarray(position + LENGTH_PREFIX_BYTES, end));
    position = end;
  }
  return records;
}

function copyTopics({ topics, newestByTopic }: TopicCopy): TopicCopy {
  const topicEntries = [...topics].map(([name, topic]): [string, Topic] => [
    name,
    { ...topic, records: [...topic.records] },
  ]);
  const newestEntries = [...newestByTopic].map(
    ([name, newest]): [string, Map<string, NewestRecord>] => [name, new Map(newest)],
  );
  return { topics: new Map(topicEntries), newestByTopic: new Map(newestEntries) };
}

/**
 * Creates an empty store.
 *
 * @example
 * createTopicStore().append('keyed.op', [record]);
 */
export function createTopicStore(): TopicStore {
  let topics = new Map<string, Topic>();
  let newestByTopic = new Map<string, Map<string, NewestRecord>>();
  const listeners = new Map<string, Set<() => void>>();

  const getOrCreateTopic = (name: string): Topic => {
    const existing = topics.get(name);
    if (existing) return existing;
    const topic: Topic = { records: [], firstOffset: 0 };
    topics.set(name, topic);
    return topic;
  };

  const updateNewest = (name: string, record: Buffer, offset: number): void => {
    const newest = newestByTopic.get(name) ?? new Map<string, NewestRecord>();
    newestByTopic.set(name, newest);
    const keyLength = record[0] ?? 0;
    const key = record.subarray(1, 1 + keyLength).toString();
    const value = record.subarray(1 + keyLength);
    newest.delete(key);
    if (value.length > 0) newest.set(key, { key, value: value.toString('base64'), offset });
  };

  const getEndOffset = ({ records, firstOffset }: Topic): number => firstOffset + records.length;

  return {
    append(name, records) {
      const topic = getOrCreateTopic(name);
      const offset = getEndOffset(topic);
      records.forEach((record, index) => {
        topic.records.push(record);
        if (name.startsWith('keyed.')) updateNewest(name, record, offset + index);
      });
      const pendingListeners = [...(listeners.get(name) ?? [])];
      listeners.delete(name);
      pendingListeners.forEach((listener) => listener());
      return { offset, endOffset: getEndOffset(topic) };
    },
    read(name, from, maxBytes) {
      const topic = getOrCreateTopic(name);
      if (from < topic.firstOffset || from > getEndOffset(topic)) return undefined;
      let bytes = 0;
      return topic.records.slice(from - topic.firstOffset).filter((record, index) => {
        bytes += record.length;
        return index === 0 || bytes <= maxBytes;
      });
    },
    getBounds(name) {
      const topic = getOrCreateTopic(name);
      return { firstOffset: topic.firstOffset, endOffset: getEndOffset(topic) };
    },
    listNewest: (name) => [...(newestByTopic.get(name)?.values() ?? [])],
    trim(name, beforeOffset) {
      const topic = getOrCreateTopic(name);
      const droppedCount = Math.max(
        0,
        Math.min(topic.records.length, beforeOffset - topic.firstOffset),
      );
      topic.records.splice(0, droppedCount);
      topic.firstOffset += droppedCount;
    },
    onNextAppend(name, listener) {
      const pendingListeners = listeners.get(name) ?? new Set();
      pendingListeners.add(listener);
      listeners.set(name, pendingListeners);
      return () => pendingListeners.delete(listener);
    },
    createCopy: () => copyTopics({ topics, newestByTopic }),
    restore(copy) {
      ({ topics, newestByTopic } = copyTopics(copy));
    },
  };
}
