/** Writes records of keyed topics as the operator does. */
import type * as topicStore from './topic-store.js';

/**
 * Formats the content of a keyed record.
 *
 * @example
 * formatKeyedRecord('config', '{"version":1}');
 */
export function formatKeyedRecord(key: string, value: string): Buffer {
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key + value)]);
}

/** Writes one configuration in the place of the operator. */
export function writeConfig(topics: topicStore.TopicStore, config: object): void {
  topics.append('keyed.op', [formatKeyedRecord('config', JSON.stringify(config))]);
}
