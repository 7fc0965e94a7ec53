/** Headers between callers, proxies and targets, as names and values by turns. */
import type * as mesh from '@figshed/core/mesh';
import * as passingHeaders from '../passing-headers.js';

const { PRIVATE_PREFIX } = passingHeaders;
const ATTEMPT = `${PRIVATE_PREFIX}attempt`;
const LOAD = `${PRIVATE_PREFIX}load`;
const REFUSED = `${PRIVATE_PREFIX}refused`;
const BROKEN = `${PRIVATE_PREFIX}broken`;

/** Bodies are framed anew at each hop. */
const framingHeaders = new Set([...passingHeaders.connectionHeaders, 'content-length']);

/** Facts of an attempt that travel in one header; times are what is left. */
export interface AttemptFacts {
  callId: string;
  service: string;
  route: string;
  isRepeatable: boolean;
  mayBeLate: boolean;
  rank: number;
  objectiveMs: number;
  deadlineMs: number;
}

/**
 * Copies headers without those of one connection, those in `drop` and our own.
 *
 * @example
 * copyHeaders(['Connection', 'close', 'A', '1'], new Set()); // ['A', '1']
 */
export function copyHeaders(raw: readonly string[], drop: ReadonlySet<string>): string[] {
  const named = new Set<string>();
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === 'connection') {
      raw[index + 1]?.split(',').forEach((name) => named.add(name.trim().toLowerCase()));
    }
  }
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    const isDropped =
      framingHeaders.has(lower) ||
      named.has(lower) ||
      drop.has(lower) ||
      lower.startsWith(PRIVATE_PREFIX);
    if (!isDropped) kept.push(name, raw[index + 1] ?? '');
  }
  return kept;
}

/** Formats the facts of an attempt as a header. */
export function formatAttempt(facts: AttemptFacts): string[] {
  return [ATTEMPT, JSON.stringify(facts)];
}

/** Reads the facts of an attempt; undefined when the header is missing or unreadable. */
export function readAttempt(headers: NodeJS.Dict<string | string[]>): AttemptFacts | undefined {
  try {
    const facts = JSON.parse(String(headers[ATTEMPT])) as Partial<AttemptFacts>;
    const isWhole =
      typeof facts.callId === 'string' &&
      typeof facts.service === 'string' &&
      typeof facts.route === 'string' &&
      typeof facts.isRepeatable === 'boolean' &&
      typeof facts.mayBeLate === 'boolean' &&
      typeof facts.rank === 'number' &&
      typeof facts.objectiveMs === 'number' &&
      typeof facts.deadlineMs === 'number';
    return isWhole ? (facts as AttemptFacts) : undefined;
  } catch {
    return undefined;
  }
}

/** Fields of a load in the order in which they travel, with the digits after their point. */
const loadFields: readonly [keyof mesh.TargetLoad, number][] = [
  ['running', 0],
  ['waiting', 0],
  ['late', 0],
  ['slots', 0],
  ['serviceMs', 1],
  ['failureShare', 3],
  ['backlogMs', 0],
  ['kilobyteMs', 3],
];

/** Formats the load of a target as a header. */
export function formatLoad(load: mesh.TargetLoad): string[] {
  return [LOAD, loadFields.map(([name, digits]) => load[name].toFixed(digits)).join(';')];
}

/** Reads the load of a target; undefined when the header is missing or unreadable. */
export function readLoad(headers: NodeJS.Dict<string | string[]>): mesh.TargetLoad | undefined {
  const header = headers[LOAD];
  if (typeof header !== 'string') return undefined;
  const values = header.split(';').map(Number);
  if (values.length < loadFields.length || !values.every(Number.isFinite)) return undefined;
  return Object.fromEntries(
    loadFields.map(([name], index) => [name, values[index]]),
  ) as unknown as mesh.TargetLoad;
}

/** Formats a refusal as a header. */
export function formatRefusal(reason: mesh.RefusalReason, retryAfterMs: number): string[] {
  return [REFUSED, `${reason};${Math.round(retryAfterMs)}`];
}

/** Reads a refusal of the proxy beside the target. */
export function readRefusal(
  headers: NodeJS.Dict<string | string[]>,
): { reason: mesh.RefusalReason; retryAfterMs: number } | undefined {
  const header = headers[REFUSED];
  if (typeof header !== 'string') return undefined;
  const [reason, retryAfter] = header.split(';');
  return { reason: reason as mesh.RefusalReason, retryAfterMs: Number(retryAfter) || 0 };
}

/** Formats the cause of an attempt that ended without an answer. */
export function formatBroken(cause: string): string[] {
  return [BROKEN, cause.replace(/[^\w.:-]/g, '_')];
}

/** Reads the cause of an attempt that ended without an answer. */
export function readBroken(headers: NodeJS.Dict<string | string[]>): string | undefined {
  const header = headers[BROKEN];
  return typeof header === 'string' ? header : undefined;
}
