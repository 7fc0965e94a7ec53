/**
 * Frames bodies. A head that is written as a list gets no framing from Node.js if its method usually has
 * no body, so the body would be read as the next request on the connection; it is always stated here.
 */
import type * as http from 'node:http';

/** Methods whose requests state no length if they have no body. */
const bodylessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/**
 * Formats the framing of a request whose body has `bodyBytes`; undefined if that is unknown.
 *
 * @example
 * formatRequestFraming('GET', 3); // ['Content-Length', '3']
 */
export function formatRequestFraming(method: string, bodyBytes: number | undefined): string[] {
  if (bodyBytes === undefined) return ['Transfer-Encoding', 'chunked'];
  return bodyBytes === 0 && bodylessMethods.has(method)
    ? []
    : ['Content-Length', String(bodyBytes)];
}

/**
 * Formats the framing of a response that was received whole. One without a body, such as to HEAD, keeps
 * the length that it states.
 *
 * @example
 * formatResponseFraming(message, body); // ['Content-Length', '2']
 */
export function formatResponseFraming(
  { headers }: Pick<http.IncomingMessage, 'headers'>,
  body: Buffer,
): string[] {
  const statedLength = body.length === 0 ? headers['content-length'] : undefined;
  return ['Content-Length', statedLength ?? String(body.length)];
}

/**
 * Returns whether the framing of a request contradicts the size of the body that its sender states, so
 * that what follows its head may be a body that was sent without framing. Chunks have no size yet.
 *
 * @example
 * contradictsSize(request, 15);
 */
export function contradictsSize(
  { headers }: Pick<http.IncomingMessage, 'headers'>,
  bodyBytes: number | undefined,
): boolean {
  if (bodyBytes === undefined || headers['transfer-encoding'] !== undefined) return false;
  return Number(headers['content-length'] ?? 0) !== bodyBytes;
}
