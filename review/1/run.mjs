/**
 * Callers send requests of a route of kind `safe` with a body, to a service on other hosts. With the
 * trouble the method is one without a usual body (GET, DELETE), without it POST.
 */
import * as timers from 'node:timers/promises';
import * as standIns from '@figshed/stand-ins';
import * as cases from '../common/case.mjs';
import * as callers from '../common/caller.mjs';

/** False if the case runs without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const ROUNDS = 5;
const methods = hasTrouble ? ['GET', 'DELETE'] : ['POST'];

/** A stored request, as a capture or an archive of requests holds it. */
const formatStoredRequest = (id, headers = '') =>
  `GET /read/stored HTTP/1.1\r\nHost: shop.example\r\nfigshed-request-id: ${id}\r\n${headers}\r\n`;

/** The same, captured between two processes of the mesh. */
const formatCapturedAttempt = (id) => {
  const metadata = {
    callId: id,
    service: 'shim-registry',
    route: 'read',
    isRepeatable: true,
    mayBeLate: false,
    rank: 2,
    objectiveMs: 600,
    deadlineMs: 1_500,
  };
  return formatStoredRequest(id, `x-figshed-attempt: ${JSON.stringify(metadata)}\r\n`);
};

const createBodies = (round) => [
  '{"ids":[1,2,3]}',
  '\r\n',
  formatStoredRequest(`stored-${round}`),
  formatCapturedAttempt(`captured-${round}`),
];

const options = {
  hasTrouble,
  hosts: cases.listHosts(['front', 'shim-registry', 'shim-registry']),
  slots: 9,
  config: standIns.createMeshConfig({
    version: 1,
    readService: 'shim-registry',
    orderService: 'front',
  }),
};

await cases.runCase(options, async (fleet, record) => {
  const caller = callers.createCaller(fleet.hosts[0]);
  const sent = new Map();
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const body of createBodies(round)) {
      for (const method of methods) {
        const request = { id: `r-${sent.size + 1}`, method, path: `/read/${sent.size + 1}`, body };
        sent.set(request.id, request);
        record('sent', request);
        // eslint-disable-next-line no-await-in-loop -- one request after another
        const { status, cause, tookMs } = await caller.send(request);
        record('answered', { id: request.id, status, cause, tookMs });
      }
    }
  }
  await timers.setTimeout(500);
  caller.close();
  const runs = fleet.hosts.flatMap(({ target }) => target.runs);
  return runs.flatMap(({ callId, method, path, body, callerService }) => {
    record('run', { id: callId, method, path, body, callerService });
    const request = sent.get(callId);
    if (!request) return [`an upstream ran ${callId}, which no client sent`];
    const isSame = request.method === method && request.path === path && request.body === body;
    if (isSame) return [];
    const lengths = `${body.length} bytes of body instead of ${request.body.length}`;
    return [`an upstream ran ${callId} (${method}) with ${lengths}`];
  });
});
