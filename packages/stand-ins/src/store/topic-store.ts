/** Topics of the stand-in for the platform's store: records with offsets, and newest by key. */

interface Topic {
  records: Buffer[];
  firstOffset: number;
}

/** A record of a keyed topic as `log-newest` shows it. */
export interface NewestRecord {
  key: string;
  value: string;
  offset: number;
}

/** The topics of one store. */
export interface TopicStore {
  append(topic: string, records: readonly Buffer[]): { offset: number; endOffset: number };
  /** Records from an offset on, or undefined when those were dropped. */
  read(topic: string, from: number): Buffer[] | undefined;
  bounds(topic: string): { firstOffset: number; endOffset: number };
  newest(topic: string): NewestRecord[];
  /** Drops the records before an offset; the newest of each key is kept. */
  trim(topic: string, beforeOffset: number): void;
  /** Calls back once when the topic grows; returns the function that takes this back. */
  onGrowth(topic: string, listener: () => void): () => void;
}

const LENGTH_BYTES = 4;

/**
 * Splits the body of an append into its records.
 *
 * @example
 * splitRecords(Buffer.from([0, 0, 0, 1, 65])); // [Buffer 'A']
 */
export function splitRecords(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  let at = 0;
  while (at + LENGTH_BYTES <= body.length) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, end));
    at = end;
  }
  return records;
}

/**
 * Creates an empty store.
 *
 * @example
 * createTopicStore().append('keyed.op', [record]);
 */
export function createTopicStore(): TopicStore {
  const topics = new Map<string, Topic>();
  const newestByTopic = new Map<string, Map<string, NewestRecord>>();
  const listeners = new Map<string, Set<() => void>>();

  const open = (name: string): Topic => {
    const known = topics.get(name);
    if (known) return known;
    const topic: Topic = { records: [], firstOffset: 0 };
    topics.set(name, topic);
    return topic;
  };

  const noteNewest = (name: string, record: Buffer, offset: number): void => {
    const newest = newestByTopic.get(name) ?? new Map<string, NewestRecord>();
    newestByTopic.set(name, newest);
    const keyLength = record[0] ?? 0;
    const key = record.subarray(1, 1 + keyLength).toString();
    const value = record.subarray(1 + keyLength);
    newest.delete(key);
    if (value.length > 0) newest.set(key, { key, value: value.toString('base64'), offset });
  };

  const endOf = ({ records, firstOffset }: Topic): number => firstOffset + records.length;

  return {
    append(name, records) {
      const topic = open(name);
      const offset = endOf(topic);
      records.forEach((record, index) => {
        topic.records.push(record);
        if (name.startsWith('keyed.')) noteNewest(name, record, offset + index);
      });
      const waiting = [...(listeners.get(name) ?? [])];
      listeners.delete(name);
      waiting.forEach((listener) => listener());
      return { offset, endOffset: endOf(topic) };
    },
    read(name, from) {
      const topic = open(name);
      if (from < topic.firstOffset) return undefined;
      return topic.records.slice(from - topic.firstOffset);
    },
    bounds(name) {
      const topic = open(name);
      return { firstOffset: topic.firstOffset, endOffset: endOf(topic) };
    },
    newest: (name) => [...(newestByTopic.get(name)?.values() ?? [])],
    trim(name, beforeOffset) {
      const topic = open(name);
      const dropped = Math.max(0, Math.min(topic.records.length, beforeOffset - topic.firstOffset));
      topic.records.splice(0, dropped);
      topic.firstOffset += dropped;
    },
    onGrowth(name, listener) {
      const waiting = listeners.get(name) ?? new Set();
      waiting.add(listener);
      listeners.set(name, waiting);
      return () => waiting.delete(listener);
    },
  };
}
