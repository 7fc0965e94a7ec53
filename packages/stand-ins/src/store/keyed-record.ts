/** Encodes and appends records of keyed topics, as the operator does. */
import type * as topicStore from './topic-store.js';

/**
 * Encodes a keyed record: the length of the key as one byte, the key, the value.
 *
 * @example
 * encodeKeyedRecord('config', '{"version":1}');
 */
export function encodeKeyedRecord(key: string, value: string): Buffer {
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key + value)]);
}

/** Appends a record to the operator's topic. */
export function appendOperatorRecord(
  topics: topicStore.TopicStore,
  key: string,
  value: object,
): void {
  topics.append('keyed.op', [encodeKeyedRecord(key, JSON.stringify(value))]);
}

/** Appends a configuration to the operator's topic. */
export function appendConfig(topics: topicStore.TopicStore, config: object): void {
  appendOperatorRecord(topics, 'config', config);
}
