/** Differences between two configurations, field by field. */
import * as canonical from '../shared/canonical.js';
import * as checkFindings from './check-findings.js';

type Difference = checkFindings.FieldDifference;

const DIGESTS_FIELD = 'keyDigests';

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isDigestList = (field: string, value: unknown): value is unknown[] =>
  field === DIGESTS_FIELD && Array.isArray(value);

/** Copies a value with all digests of keys shortened. */
function redactDigests(value: unknown, field = ''): unknown {
  if (isDigestList(field, value))
    return value.map((digest) => checkFindings.formatDigest(String(digest)));
  if (Array.isArray(value)) return value.map((item) => redactDigests(item));
  if (!isObject(value)) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [key, redactDigests(item, key)]),
  );
}

/** Lists of named items are compared by name, and their order separately. */
function indexByName(value: unknown): Record<string, unknown> | undefined {
  if (!Array.isArray(value)) return undefined;
  const names = value.map((item) => (isObject(item) ? item.name : undefined));
  const areNames = names.every((name) => typeof name === 'string');
  if (!areNames || new Set(names).size < names.length) return undefined;
  return Object.fromEntries(value.map((item, index) => [names[index], item as unknown]));
}

function compareOrder(path: string, before: string[], after: string[]): Difference[] {
  const [oldOrder, newOrder] = [
    before.filter((name) => after.includes(name)),
    after.filter((name) => before.includes(name)),
  ];
  if (oldOrder.join('\n') === newOrder.join('\n')) return [];
  return [{ type: 'changed', path: `${path}.(order)`, before: oldOrder, after: newOrder }];
}

function compareValues(path: string, field: string, before: unknown, after: unknown): Difference[] {
  if (canonical.formatCanonicalJson(before) === canonical.formatCanonicalJson(after)) return [];
  const values = { before: redactDigests(before, field), after: redactDigests(after, field) };
  if (before === undefined) return [{ type: 'added', path, after: values.after }];
  if (after === undefined) return [{ type: 'removed', path, before: values.before }];
  const [oldItems, newItems] = [indexByName(before), indexByName(after)];
  if (oldItems && newItems) {
    return [
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
      ...listDifferences(oldItems, newItems, `${path}.`),
      ...compareOrder(path, Object.keys(oldItems), Object.keys(newItems)),
    ];
  }
  // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
  if (isObject(before) && isObject(after)) return listDifferences(before, after, `${path}.`);
  return [{ type: 'changed', path, ...values }];
}

/**
 * Lists the fields that were added, removed or changed between two values. Digests of keys are
 * shortened.
 *
 * @example
 * listDifferences({ 'route/a': { service: 'x' } }, { 'route/a': { service: 'y' } });
 */
export function listDifferences(
  before: Readonly<Record<string, unknown>>,
  after: Readonly<Record<string, unknown>>,
  prefix = '',
): Difference[] {
  // Names come from documents, so `constructor` must not find the one of the prototype.
  const getOwn = (record: Readonly<Record<string, unknown>>, key: string): unknown =>
    Object.hasOwn(record, key) ? record[key] : undefined;
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return keys.flatMap((key) =>
    compareValues(`${prefix}${key}`, key, getOwn(before, key), getOwn(after, key)),
  );
}
