/** The soak: every fault at random, orders and changes flowing, `npm run soak -- --minutes M --seed N`. */
import * as timers from 'node:timers/promises';
import * as citty from 'citty';
import * as runtime from '@figshed/runtime';
import type * as fleetModule from '../harness/fleet.js';
import * as loadModule from '../scenarios/load.js';
import * as observerModule from '../scenarios/observer.js';
import * as setup from '../scenarios/setup.js';

const MS_PER_MINUTE = 60_000;
const PAUSE_MS = 1_000;
const CONVERGE_MS = 10_000;

interface Soak {
  fleet: setup.ScenarioFleet;
  random: () => number;
}

function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)] as T;
}

function pickHost({ fleet, random }: Soak): fleetModule.FleetHost {
  return pick(fleet.hosts, random);
}

function pickPair({ fleet, random }: Soak): [string, string] {
  const names = fleet.topology.dataCentres.map(({ name }) => name);
  const first = pick(names, random);
  return [
    first,
    pick(
      names.filter((name) => name !== first),
      random,
    ),
  ];
}

async function holdFor(soak: Soak, ms: number): Promise<void> {
  await timers.setTimeout(ms * (0.5 + soak.random()));
}

const faults: Readonly<Record<string, (soak: Soak) => Promise<void>>> = {
  async killProxy(soak) {
    const host = pickHost(soak);
    host.proxy?.signal('SIGKILL');
    await host.proxy?.exited;
    await soak.fleet.startProxy(host);
  },
  async stopProxy(soak) {
    const host = pickHost(soak);
    host.isReady = false;
    host.proxy?.signal('SIGTERM');
    await host.proxy?.exited;
    await soak.fleet.startProxy(host);
  },
  async freezeProxy(soak) {
    const host = pickHost(soak);
    host.proxy?.signal('SIGSTOP');
    await holdFor(soak, 4_000);
    host.proxy?.signal('SIGCONT');
  },
  async killTarget(soak) {
    const host = pickHost(soak);
    host.target?.signal('SIGKILL');
    await host.target?.exited;
    await soak.fleet.replaceTarget(host);
  },
  async cutLink(soak) {
    const pair = pickPair(soak);
    await soak.fleet.setLinks({ cuts: [pair] });
    await soak.fleet.setLogFaults({ cutOff: [pair[1]] });
    await holdFor(soak, 4_000);
    await soak.fleet.setLinks({ cuts: [] });
    await soak.fleet.setLogFaults({ cutOff: [] });
  },
  async silenceLinks(soak) {
    await soak.fleet.setLinks({ silence: true });
  },
  async logOutage(soak) {
    await soak.fleet.setLogFaults({ outage: true });
    await holdFor(soak, 3_000);
    await soak.fleet.setLogFaults({ outage: false });
  },
  async loseAnswers(soak) {
    await soak.fleet.setLogFaults({ lostAnswers: 0.4 });
    await holdFor(soak, 3_000);
    await soak.fleet.setLogFaults({ lostAnswers: 0 });
  },
  async slowLog(soak) {
    await soak.fleet.setLogFaults({ slowMs: 400 });
    await holdFor(soak, 3_000);
    await soak.fleet.setLogFaults({ slowMs: 0 });
  },
};

async function publishChanges(soak: Soak, isOver: () => boolean): Promise<number> {
  let accepted = 0;
  while (!isOver()) {
    /* eslint-disable no-await-in-loop -- one change after the other */
    try {
      const host = pick(soak.fleet.listRunning(), soak.random);
      const state = (await soak.fleet.request(host, 'config.get')) as {
        resources: Record<string, { revision: number }>;
      };
      const revision = state.resources['contract/customer-1']?.revision ?? 0;
      const weight = 1 + Math.floor(soak.random() * 100);
      accepted = (await setup.appendChange(soak.fleet, weight, revision)).offset;
    } catch {
      // The log or the proxy is down; the next change is tried in its turn.
    }
    await timers.setTimeout(PAUSE_MS);
    /* eslint-enable no-await-in-loop */
  }
  return accepted;
}

async function runSoak(minutes: number, seed: number): Promise<boolean> {
  const random = runtime.createSeededRandom(seed);
  const say = (text: string): void => {
    process.stdout.write(`${text}\n`);
  };
  const fleet = await setup.setUpFleet({ seed, random, say }, { dataCentres: [0, 2, 4] });
  const soak = { fleet, random };
  const counts: Record<string, number> = {};
  const observer = observerModule.startObserver(fleet);
  const load = loadModule.startLoad(
    {
      ...setup.loadDefaults,
      service: fleet.topology.services[0] as string,
      listHosts: fleet.listRunning,
    },
    random,
    fleet.listTargetLines,
  );
  const until = performance.now() + minutes * MS_PER_MINUTE;
  const isOver = () => performance.now() >= until;
  const publishing = publishChanges(soak, isOver);
  while (!isOver()) {
    const name = pick(Object.keys(faults), random);
    /* eslint-disable no-await-in-loop -- faults follow one another */
    await timers.setTimeout(PAUSE_MS * random());
    await faults[name]?.(soak);
    counts[name] = (counts[name] ?? 0) + 1;
    say(name);
    /* eslint-enable no-await-in-loop */
  }
  const position = await publishing;
  const convergedMs = await setup
    .waitForPosition(fleet, fleet.hosts, position, CONVERGE_MS)
    .catch(() => undefined);
  const report = await load.stop();
  const observation = await observer.stop();
  const held =
    loadModule.isTruthful(report) &&
    observerModule.isSound(observation) &&
    convergedMs !== undefined;
  await fleet.stop();
  const total = Object.values(counts).reduce((sum, count) => sum + count, 0);
  say(
    JSON.stringify({
      soak: minutes,
      seed,
      held,
      faults: total,
      counts,
      convergedMs,
      ...report,
      observation,
    }),
  );
  return held && total > 0;
}

const main = citty.defineCommand({
  meta: { name: 'soak', description: 'Mix every fault at random with the invariants on' },
  args: {
    minutes: { type: 'string', description: 'How long to run', default: '1' },
    seed: { type: 'string', description: 'Seed of the random choices', default: '1' },
  },
  async run({ args }) {
    process.exit((await runSoak(Number(args.minutes), Number(args.seed))) ? 0 : 1);
  },
});

await citty.runMain(main);
