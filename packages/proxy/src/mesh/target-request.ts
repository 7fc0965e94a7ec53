import * as http from 'node:http';
import type * as core from '@figshed/core';
import type * as mesh from '@figshed/core/mesh';
import * as bodyFraming from './body-framing.js';
import * as meshHeaders from './mesh-headers.js';
import type * as types from './types.js';

/** Opens requests to the target on this host. */
export type TargetRequestFactory = (
  attempt: types.Attempt,
  options: {
    target: mesh.OpenTarget;
    /** Length of the body that will be written; undefined if it is unknown. */
    bodyBytes: number | undefined;
    /** Time that the target may take, in milliseconds. */
    remainingMs: number;
  },
) => http.ClientRequest;

/**
 * Creates a factory; a request is sent when its body is written or it is ended.
 *
 * @example
 * const createRequest = createTargetRequestFactory({ protocol, agent, endpoint });
 * createRequest(attempt, { target, bodyBytes: 0, remainingMs: 500 }).end();
 */
export function createTargetRequestFactory(input: {
  protocol: types.CallProtocol;
  agent: http.Agent;
  endpoint: core.Endpoint;
}): TargetRequestFactory {
  const { protocol, agent, endpoint } = input;
  const droppedHeaders = new Set([
    protocol.deadlineHeader,
    protocol.expectedInstanceHeader,
    protocol.notExecutedHeader,
  ]);

  return (attempt, { target, bodyBytes, remainingMs }) =>
    http.request({
      agent,
      host: endpoint.address,
      port: endpoint.port,
      method: attempt.method,
      path: attempt.path,
      headers: [
        ...meshHeaders.copyHeaders(attempt.headers, droppedHeaders),
        protocol.deadlineHeader,
        String(remainingMs),
        protocol.expectedInstanceHeader,
        target.id,
        ...bodyFraming.formatRequestFraming(attempt.method, bodyBytes),
      ],
    });
}
