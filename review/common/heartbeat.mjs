/** Heartbeats and deregistrations in the format of the platform, sent by an upstream of a case. */
import * as http from 'node:http';

/** Posts to the announcement address of a host; resolves with the status, or 0 without an answer. */
export function post({ address, ports }, path, body) {
  return new Promise((resolve) => {
    const request = http.request(
      {
        agent: false,
        host: address,
        port: ports.announcements,
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        timeout: 1_000,
      },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
        response.on('error', () => resolve(0));
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** Formats a heartbeat that the upstream of a host sends now. */
export function formatHeartbeat({ address, ports, service, target }, { slots, sequence }) {
  return {
    addr: `${address}:${ports.target}`,
    born: target.bornAt,
    info: { service, version: 'v1', zone: 'kita-a', maxConcurrency: slots },
    status: { state: 'ready', sequence, coldRemainingMs: 0 },
  };
}
