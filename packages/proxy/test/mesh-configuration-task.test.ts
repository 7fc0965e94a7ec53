/** Which hosts a process notifies of the version that it has read or fetched. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as core from '@figshed/core';
import type * as mesh from '@figshed/core/mesh';
import * as runtime from '@figshed/runtime';
import * as configurationTask from '../src/mesh/configuration-task.js';
import * as meshMetrics from '../src/mesh/metrics.js';

const { describe, it } = test;

const OWN_ID = 'own';
const CONFIG = { version: 1 } as mesh.MeshConfig;
const SETTLE_MS = 100;

const createMember = (id: string, status: core.MemberStatus, place: object = {}): core.Member => ({
  id,
  incarnation: 1,
  status,
  info: { dataCentre: 'a', region: 'r', ...place } as core.MemberInfo,
});

const MEMBERS = [
  createMember(OWN_ID, 'alive'),
  createMember('alive', 'alive', { dataCentre: 'b' }),
  createMember('suspect', 'suspect', { dataCentre: 'b' }),
  createMember('suspect-nearby', 'suspect'),
  createMember('dead', 'dead'),
  createMember('left', 'left'),
  createMember('elsewhere', 'alive', { dataCentre: 'c', region: 's' }),
];
const ALIVE = MEMBERS.filter(({ status }) => status === 'alive');

/** Runs a task among `members` and returns the lists of those that it has notified. */
async function collectReceivers(
  members: readonly core.Member[],
  read: () => Promise<mesh.MeshConfig[]>,
  run: (task: configurationTask.ConfigurationTask) => void,
): Promise<string[][]> {
  const receivers: string[][] = [];
  let version: number | undefined;
  const ignore = (): void => undefined;
  const task = configurationTask.createConfigurationTask({
    ctx: {
      settings: { id: OWN_ID, dataCentre: 'a', region: 'r', applyWithinMs: 2_000 } as never,
      clock: runtime.systemClock,
      random: () => 0,
      log: { debug: ignore, info: ignore, warn: ignore, error: ignore } as never,
      metrics: meshMetrics.createMeshMetrics(),
      protocol: {} as never,
    },
    source: { read },
    getMembers: () => ({
      list: () => [...members],
      sendVersion: (ids) => receivers.push([...ids].sort()),
      requestProof: ignore,
    }),
    fetchFromPeer: () => Promise.resolve({ config: CONFIG, form: 'whole', bytes: 1 }),
    getVersion: () => version,
    applyConfig: (config) => {
      version = config.version;
    },
  });
  run(task);
  await timers.setTimeout(SETTLE_MS);
  task.stop();
  return receivers;
}

describe('version of a configuration', () => {
  it('is sent to the suspect members of the region by the host that has read it', async () => {
    let reads = 0;
    const read = async (): Promise<mesh.MeshConfig[]> => {
      reads += 1;
      if (reads > 1) await timers.setTimeout(SETTLE_MS);
      return reads === 1 ? [CONFIG] : [];
    };
    const [first] = await collectReceivers(MEMBERS, read, (task) => task.start());
    assert.deepEqual(first, ['alive', OWN_ID, 'suspect', 'suspect-nearby']);
  });

  it('is sent to those of the data centre by the first one there to fetch it', async () => {
    const read = (): Promise<mesh.MeshConfig[]> => Promise.resolve([]);
    const fetched = await collectReceivers(MEMBERS, read, (task) =>
      task.recordVersion(ALIVE[1] as core.Member, CONFIG.version, 0),
    );
    assert.deepEqual(fetched, [[OWN_ID, 'suspect-nearby']]);
  });
});
