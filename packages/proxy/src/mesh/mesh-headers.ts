/** Formats and parses the mesh's private headers; header lists alternate names and values. */
import type * as mesh from '@figshed/core/mesh';
import * as forwardingHeaders from '../forwarding-headers.js';

const { PROXY_HEADER_PREFIX } = forwardingHeaders;
const ATTEMPT_HEADER = `${PROXY_HEADER_PREFIX}attempt`;
const LOAD_HEADER = `${PROXY_HEADER_PREFIX}load`;
const REFUSED_HEADER = `${PROXY_HEADER_PREFIX}refused`;
const BROKEN_HEADER = `${PROXY_HEADER_PREFIX}broken`;
const CRASHED_HEADER = `${PROXY_HEADER_PREFIX}crashed`;
const RAN_HEADER = `${PROXY_HEADER_PREFIX}ran`;
const LEAVING_HEADER = `${PROXY_HEADER_PREFIX}leaving`;

/** Hop-by-hop headers and content-length: each hop frames the body anew. */
const framingHeaders = new Set([...forwardingHeaders.hopByHopHeaders, 'content-length']);

/** Metadata of an attempt, sent as JSON in one header. Times are remaining milliseconds. */
export interface AttemptMetadata {
  callId: string;
  /** Name of the client account, if the call has one. */
  account?: string | undefined;
  service: string;
  route: string;
  isRepeatable: boolean;
  mayBeLate: boolean;
  rank: number;
  objectiveMs: number;
  deadlineMs: number;
  /** Size of the body, if it is known. */
  bodyBytes?: number | undefined;
  /** True if the body is streamed; processes of older versions buffer it. */
  isStreamed?: boolean | undefined;
  /** True if the caller returns after this call was rejected. */
  wasRejected?: boolean | undefined;
  /** True if the request is quarantined and tried once more. */
  isTrial?: boolean | undefined;
}

/**
 * Copies headers without hop-by-hop headers, `droppedHeaders` and the mesh's private headers.
 *
 * @example
 * copyHeaders(['Connection', 'close', 'A', '1'], new Set()); // ['A', '1']
 */
export function copyHeaders(raw: readonly string[], droppedHeaders: ReadonlySet<string>): string[] {
  const connectionNominated = new Set<string>();
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === 'connection') {
      raw[index + 1]
        ?.split(',')
        .forEach((name) => connectionNominated.add(name.trim().toLowerCase()));
    }
  }
  const keptHeaders: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lowerName = name.toLowerCase();
    const isDropped =
      framingHeaders.has(lowerName) ||
      connectionNominated.has(lowerName) ||
      droppedHeaders.has(lowerName) ||
      lowerName.startsWith(PROXY_HEADER_PREFIX);
    if (!isDropped) keptHeaders.push(name, raw[index + 1] ?? '');
  }
  return keptHeaders;
}

/** Escapes what a header cannot hold, such as in the name of a route. */
const escapeCharacter = (character: string): string =>
  `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;

export function formatAttemptMetadata(metadata: AttemptMetadata): string[] {
  return [ATTEMPT_HEADER, JSON.stringify(metadata).replace(/[^\x20-\x7e]/g, escapeCharacter)];
}

/** Returns undefined if the header is missing or invalid. */
export function parseAttemptMetadata(
  headers: NodeJS.Dict<string | string[]>,
): AttemptMetadata | undefined {
  try {
    const metadata = JSON.parse(String(headers[ATTEMPT_HEADER])) as Partial<AttemptMetadata>;
    const isComplete =
      typeof metadata.callId === 'string' &&
      typeof metadata.service === 'string' &&
      typeof metadata.route === 'string' &&
      typeof metadata.isRepeatable === 'boolean' &&
      typeof metadata.mayBeLate === 'boolean' &&
      typeof metadata.rank === 'number' &&
      typeof metadata.objectiveMs === 'number' &&
      typeof metadata.deadlineMs === 'number';
    return isComplete ? (metadata as AttemptMetadata) : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Fields of the load header in wire order, with their number of decimal places; new ones are added at
 * the end.
 */
const loadFields: readonly [keyof mesh.TargetLoad, number][] = [
  ['running', 0],
  ['waiting', 0],
  ['late', 0],
  ['slots', 0],
  ['serviceMs', 1],
  ['failureShare', 3],
  ['backlogMs', 0],
  ['kilobyteMs', 3],
  ['startDelayMs', 0],
  ['remainingMs', 0],
  ['lateRemainingMs', 0],
  ['unitMs', 1],
];
/** Processes of older versions send only these; the others count as 0. */
const REQUIRED_LOAD_FIELDS = 8;

export function formatLoad(load: mesh.TargetLoad): string[] {
  return [LOAD_HEADER, loadFields.map(([name, digits]) => load[name].toFixed(digits)).join(';')];
}

/** Returns undefined if the header is missing or invalid. */
export function parseLoad(headers: NodeJS.Dict<string | string[]>): mesh.TargetLoad | undefined {
  const header = headers[LOAD_HEADER];
  if (typeof header !== 'string') return undefined;
  const values = header.split(';').map(Number);
  if (values.length < REQUIRED_LOAD_FIELDS || !values.every(Number.isFinite)) return undefined;
  return Object.fromEntries(
    loadFields.map(([name], index) => [name, values[index] ?? 0]),
  ) as unknown as mesh.TargetLoad;
}

/** Formats the time that the target took until its response as a header; none if it is undefined. */
export function formatRanMs(ranMs: number | undefined): string[] {
  return ranMs === undefined ? [] : [RAN_HEADER, ranMs.toFixed(1)];
}

/** Returns undefined if the header is missing or invalid. */
export function parseRanMs(headers: NodeJS.Dict<string | string[]>): number | undefined {
  const ranMs = Number(headers[RAN_HEADER]);
  return Number.isFinite(ranMs) && ranMs >= 0 ? ranMs : undefined;
}

export function formatRefusal(reason: mesh.RefusalReason, retryAfterMs: number): string[] {
  return [REFUSED_HEADER, `${reason};${Math.round(retryAfterMs)}`];
}

/** Parses a refusal by the target's proxy; returns undefined if the header is missing. */
export function parseRefusal(
  headers: NodeJS.Dict<string | string[]>,
): { reason: mesh.RefusalReason; retryAfterMs: number } | undefined {
  const header = headers[REFUSED_HEADER];
  if (typeof header !== 'string') return undefined;
  const [reason, retryAfter] = header.split(';');
  return { reason: reason as mesh.RefusalReason, retryAfterMs: Number(retryAfter) || 0 };
}

/** Formats the cause of an attempt that ended without a response, and the target that crashed. */
export function formatBrokenCause(cause: string, crashedTarget: string | undefined): string[] {
  return [
    BROKEN_HEADER,
    cause.replace(/[^\w.:-]/g, '_'),
    ...(crashedTarget === undefined ? [] : [CRASHED_HEADER, crashedTarget]),
  ];
}

/** Returns undefined if the header is missing. */
export function parseBrokenCause(headers: NodeJS.Dict<string | string[]>): string | undefined {
  const header = headers[BROKEN_HEADER];
  return typeof header === 'string' ? header : undefined;
}

/** Returns the incarnation of the target that crashed; undefined if the header is missing. */
export function parseCrashedTarget(headers: NodeJS.Dict<string | string[]>): string | undefined {
  const header = headers[CRASHED_HEADER];
  return typeof header === 'string' ? header : undefined;
}

/** Formats the incarnation of a leaving target as a header; none if it is undefined. */
export function formatLeavingTarget(leavingTarget: string | undefined): string[] {
  return leavingTarget === undefined ? [] : [LEAVING_HEADER, leavingTarget];
}

/** Returns undefined if the header is missing. */
export function parseLeavingTarget(headers: NodeJS.Dict<string | string[]>): string | undefined {
  const header = headers[LEAVING_HEADER];
  return typeof header === 'string' ? header : undefined;
}
