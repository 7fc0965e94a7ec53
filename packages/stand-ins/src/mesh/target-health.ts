import type * as http from 'node:http';

/** Path at which targets tell whether they are healthy, as in the configurations of the stand-ins. */
export const HEALTH_PATH = '/health';

/**
 * How a target answers its health path: as the platform's targets do, like any other path, or not at
 * all.
 */
export type HealthBehaviour = 'platform' | 'any-path' | 'silent';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/**
 * Handles a request to the health path; returns false if it is to be handled like any other.
 *
 * @example
 * if (handleHealth(request, response, { behaviour: 'platform', id: 't-1', isLeaving: false })) return;
 */
export function handleHealth(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  target: { behaviour: HealthBehaviour; id: string; isLeaving: boolean },
): boolean {
  if (request.url !== HEALTH_PATH || target.behaviour === 'any-path') return false;
  request.resume();
  if (target.behaviour === 'silent') return true;
  response.writeHead(target.isLeaving ? HTTP_UNAVAILABLE : HTTP_OK, {
    'figshed-instance-id': target.id,
    'content-length': 0,
  });
  response.end();
  return true;
}
