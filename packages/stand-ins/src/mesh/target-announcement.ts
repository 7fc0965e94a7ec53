import * as http from 'node:http';

const TIMEOUT_MS = 1_000;

/**
 * Posts a message of a target to its proxy and resolves with the status of the response; 0 when there
 * was none.
 *
 * @example
 * await post({ address, port }, '/api/Instances.Deregister/t-1');
 */
export function post(
  endpoint: { address: string; port: number },
  path: string,
  body?: object,
): Promise<number> {
  return new Promise((resolve) => {
    const request = http.request(
      {
        host: endpoint.address,
        port: endpoint.port,
        method: 'POST',
        path,
        timeout: TIMEOUT_MS,
        agent: false,
      },
      (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
    request.end(body && JSON.stringify(body));
  });
}
