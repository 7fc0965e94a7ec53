/**
 * An upstream deregisters and goes on serving for ten seconds. All processes of the mesh are killed as
 * soon as that is acknowledged. A heartbeat that the upstream had sent before arrives three seconds late.
 */
import * as timers from 'node:timers/promises';
import * as standIns from '@figshed/stand-ins';
import * as cases from '../common/case.mjs';
import * as heartbeats from '../common/heartbeat.mjs';
import * as traffic from '../common/traffic.mjs';
import * as upstreams from '../common/upstream.mjs';

/** False if the case runs without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const SLOTS = 9;
const CALM_MS = 4_000;
const LATE_MS = 3_000;
const SERVE_ON_MS = 10_000;
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
/** The platform's stand-in starts a process 0.5 s after its end. */
const RESTART_MS = 1_000;
const AFTER_MS = 1_000;
const WORK_MS = 150;
const HEARTBEATS_BEFORE = 50;

const options = {
  hasTrouble,
  hosts: cases.listHosts(['order-desk', 'order-desk', 'order-desk', 'front']),
  slots: SLOTS,
  config: standIns.createMeshConfig({
    version: 1,
    readService: 'order-desk',
    orderService: 'order-desk',
  }),
  hasOwnUpstreams: true,
};

await cases.runCase(options, async (fleet, record) => {
  const work = async (run, response) => {
    run.startedAt = performance.now();
    await timers.setTimeout(WORK_MS);
    if (!response.writableEnded) response.writeHead(200, run.headers).end('done');
  };
  const running = await Promise.all(
    fleet.hosts.map((host) => upstreams.startUpstream({ host, slots: SLOTS, work })),
  );
  const [leaving] = fleet.hosts;
  const [leavingUpstream] = running;
  const orders = fleet.hosts.map((host) =>
    traffic.startTraffic({
      host,
      count: 4,
      name: `order-${host.name}`,
      createRequest: (number) => ({ method: 'POST', path: `/order/${number}`, body: 'order' }),
      record,
    }),
  );
  await timers.setTimeout(CALM_MS);
  leaving.target.stopHeartbeats();
  const { id } = leaving.target;
  const late = heartbeats.formatHeartbeat(leaving, { slots: SLOTS, sequence: HEARTBEATS_BEFORE });
  const lateAt = performance.now() + LATE_MS;
  const status = await heartbeats.post(leaving, `/api/Instances.Deregister/${id}`, {
    born: leaving.target.bornAt,
  });
  const acknowledgedAt = performance.now();
  record('deregistered', { id, status });
  if (status !== 200) throw new Error('the deregistration was not acknowledged');
  if (hasTrouble) {
    fleet.hosts.forEach(({ child }) => child.kill('SIGKILL'));
    record('killed', { hosts: fleet.hosts.length });
  }
  await timers.setTimeout(lateAt - performance.now());
  const lateStatus = await heartbeats.post(leaving, `/api/Instances.Heartbeat/${id}`, late);
  record('late-heartbeat', { status: lateStatus });
  await timers.setTimeout(acknowledgedAt + SERVE_ON_MS - performance.now());
  leavingUpstream.close();
  const exitedAt = performance.now();
  record('upstream-exited', { id });
  await timers.setTimeout(AFTER_MS);
  await Promise.all(orders.map(({ stop }) => stop()));
  const inTouchAt = acknowledgedAt + Math.max(DRAIN_MS, RESTART_MS + CONTACT_MS);
  const after = leavingUpstream.runs.filter(({ startedAt }) => startedAt > inTouchAt);
  const results = orders.flatMap((callers) => callers.results);
  const lostIds = new Set(
    leavingUpstream.runs
      .filter(({ startedAt }) => exitedAt - startedAt < WORK_MS)
      .map(({ callId }) => callId),
  );
  const lost = results.filter(
    ({ id: callId, status: answer }) => lostIds.has(callId) && answer !== 200,
  );
  running.slice(1).forEach((upstream) => upstream.close());
  record('counts', {
    orders: traffic.countResults(results),
    reachedAfterDrain: after.length,
    lostAtExit: lost,
  });
  return after.map(
    ({ callId, startedAt }) =>
      `${callId} reached ${id} ${Math.round(startedAt - acknowledgedAt)} ms after the acknowledgement`,
  );
});
