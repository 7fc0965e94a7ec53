/**
 * One of three upstreams of a service spoils one answer in fifty for 5.5 seconds: one byte in the name
 * of a header is a space. Callers on its machine have requests at sound upstreams of another service.
 */
import * as timers from 'node:timers/promises';
import * as standIns from '@figshed/stand-ins';
import * as cases from '../common/case.mjs';
import * as traffic from '../common/traffic.mjs';

/** False if the case runs without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const CALM_MS = 3_500;
const GARBLE_MS = 5_500;
const AFTER_MS = 2_000;
const SPOILT_EACH = 50;
const WORK_MS = 30;
const ORDER_WORK_MS = 250;
/** Requests that may be cut before the rule is broken. */
const MAX_CUT = 3;

const options = {
  hasTrouble,
  hosts: cases.listHosts([
    'shim-registry',
    'shim-registry',
    'shim-registry',
    'order-desk',
    'order-desk',
    'order-desk',
  ]),
  slots: 9,
  config: standIns.createMeshConfig({
    version: 1,
    readService: 'shim-registry',
    orderService: 'order-desk',
  }),
};

await cases.runCase(options, async (fleet, record, watch) => {
  const [garbling] = fleet.hosts;
  fleet.hosts.forEach(({ target, service }) => {
    target.serviceMs = service === 'order-desk' ? ORDER_WORK_MS : WORK_MS;
  });
  let isGarbling = false;
  let answers = 0;
  garbling.target.rawResponder = ({ socket, callId, signature, recordRun }) => {
    recordRun();
    setTimeout(() => {
      if (isGarbling) answers += 1;
      const isSpoilt = isGarbling && answers % SPOILT_EACH === 0;
      if (isSpoilt) record('spoilt', { id: callId });
      const head =
        `HTTP/1.1 200 OK\r\nfigshed-request-id: ${callId}\r\n` +
        `figshed-response-signature: ${signature}\r\n` +
        `Content${isSpoilt ? ' ' : '-'}Type: text/plain\r\ncontent-length: 2\r\n\r\n`;
      if (!socket.destroyed) socket.write(`${head}ok`);
    }, WORK_MS);
  };
  const reads = fleet.hosts.slice(1).map((host) =>
    traffic.startTraffic({
      host,
      count: 3,
      name: `read-${host.name}`,
      createRequest: (number) => ({ method: 'GET', path: `/read/${number}` }),
      record,
    }),
  );
  const orders = traffic.startTraffic({
    host: garbling,
    count: 9,
    name: 'order',
    createRequest: (number) => ({ method: 'POST', path: `/order/${number}`, body: 'order' }),
    record,
  });
  await timers.setTimeout(CALM_MS);
  isGarbling = hasTrouble;
  await timers.setTimeout(GARBLE_MS);
  isGarbling = false;
  await timers.setTimeout(AFTER_MS);
  await Promise.all([...reads, orders].map(({ stop }) => stop()));
  const sound = fleet.hosts.filter((host) => host !== garbling);
  const runs = sound.flatMap(({ target }) => target.runs);
  runs.forEach(({ callId }) => record('run', { id: callId }));
  const cut = traffic.listCutRequests(orders.results, runs);
  record('counts', {
    orders: traffic.countResults(orders.results),
    reads: traffic.countResults(reads.flatMap(({ results }) => results)),
    ends: watch.ends,
  });
  return cut.length > MAX_CUT
    ? cut.map(({ id, cause }) => `${id} was at work at a sound upstream, then ${cause}`)
    : [];
});
