/** Callers that send one request after another until they are stopped, and what became of each. */
import * as timers from 'node:timers/promises';
import * as callers from './caller.mjs';

const PAUSE_MS = 20;

/**
 * Starts `count` callers on a host. `createRequest` receives the number of the request and returns its
 * method, path, body and deadline. Each caller keeps its connection; one that was closed is opened anew.
 */
export function startTraffic({ host, count, name, createRequest, record, pauseMs = PAUSE_MS }) {
  const results = [];
  let isStopped = false;
  let number = 0;
  const runCaller = async () => {
    const caller = callers.createCaller(host);
    while (!isStopped) {
      number += 1;
      const request = { id: `${name}-${number}`, ...createRequest(number) };
      record('sent', { id: request.id, host: host.name, method: request.method });
      // eslint-disable-next-line no-await-in-loop -- one request after another
      const result = await caller.send(request);
      results.push({ id: request.id, ...result });
      record('answered', { id: request.id, ...result });
      // eslint-disable-next-line no-await-in-loop -- a pause between requests
      await timers.setTimeout(pauseMs);
    }
    caller.close();
  };
  const ended = Promise.all(Array.from({ length: count }, runCaller));
  return {
    results,
    async stop() {
      isStopped = true;
      await ended;
    },
  };
}

/** Counts statuses; requests without an answer are counted under the cause. */
export function countResults(results) {
  const counts = {};
  results.forEach(({ status, cause }) => {
    const key = status === 0 ? cause : status;
    counts[key] = (counts[key] ?? 0) + 1;
  });
  return counts;
}

/**
 * Lists the requests of kept connections that an upstream has begun to run and whose connection the
 * process closed without an answer.
 */
export function listCutRequests(results, runs) {
  const runIds = new Set(runs.map(({ callId }) => callId));
  return results.filter(
    ({ id, status, isReused, hasHead, cause }) =>
      status === 0 && isReused && !hasHead && cause !== 'no answer' && runIds.has(id),
  );
}
