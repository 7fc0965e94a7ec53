/**
 * Finds what Node.js refuses to write in a received head. Its parser accepts more than that, so a head
 * must be checked where it is received, before it is passed on.
 */
import * as http from 'node:http';

/** What cannot be written, for log lines. */
export type HeadFinding = 'invalid-header-name' | 'invalid-path' | 'invalid-status';

const MIN_STATUS = 100;
/** Node.js writes no control characters and spaces in a path. */
const UNWRITABLE_PATH_CHARACTER = /[^\u0021-\u00ff]/;

function isHeaderName(name: string): boolean {
  try {
    http.validateHeaderName(name);
    return true;
  } catch {
    return false;
  }
}

const hasInvalidName = (rawHeaders: readonly string[]): boolean =>
  rawHeaders.some((text, index) => index % 2 === 0 && !isHeaderName(text));

/**
 * Returns why a response cannot be passed on; undefined if it can.
 *
 * @example
 * findUnwritableResponse({ statusCode: 200, rawHeaders: ['Content Type', 'a'] }); // 'invalid-header-name'
 */
export function findUnwritableResponse({
  statusCode = 0,
  rawHeaders,
}: Pick<http.IncomingMessage, 'statusCode' | 'rawHeaders'>): HeadFinding | undefined {
  if (statusCode < MIN_STATUS) return 'invalid-status';
  return hasInvalidName(rawHeaders) ? 'invalid-header-name' : undefined;
}

/**
 * Returns why a request cannot be passed on; undefined if it can.
 *
 * @example
 * findUnwritableRequest({ url: '/a\tb', rawHeaders: [] }); // 'invalid-path'
 */
export function findUnwritableRequest({
  url = '/',
  rawHeaders,
}: Pick<http.IncomingMessage, 'url' | 'rawHeaders'>): HeadFinding | undefined {
  if (UNWRITABLE_PATH_CHARACTER.test(url)) return 'invalid-path';
  return hasInvalidName(rawHeaders) ? 'invalid-header-name' : undefined;
}
