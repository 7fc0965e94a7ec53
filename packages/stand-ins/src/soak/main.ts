/** Soak test with random faults under load: `npm run soak -- --minutes M --seed N`. */
import * as timers from 'node:timers/promises';
import * as citty from 'citty';
import * as runtime from '@figshed/runtime';
import type * as fleets from '../harness/fleet.js';
import * as loadGenerator from '../scenarios/load.js';
import * as configObserver from '../scenarios/observer.js';
import * as setup from '../scenarios/setup.js';

const MS_PER_MINUTE = 60_000;
const PAUSE_MS = 1_000;
const CONVERGENCE_TIMEOUT_MS = 10_000;

interface SoakContext {
  fleet: setup.ScenarioFleet;
  random: () => number;
}

function pickRandom<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)] as T;
}

function pickHost({ fleet, random }: SoakContext): fleets.FleetHost {
  return pickRandom(fleet.hosts, random);
}

function pickDataCentrePair({ fleet, random }: SoakContext): [string, string] {
  const names = fleet.topology.dataCentres.map(({ name }) => name);
  const first = pickRandom(names, random);
  return [
    first,
    pickRandom(
      names.filter((name) => name !== first),
      random,
    ),
  ];
}

async function waitWithJitter(context: SoakContext, ms: number): Promise<void> {
  await timers.setTimeout(ms * (0.5 + context.random()));
}

const faults: Readonly<Record<string, (context: SoakContext) => Promise<void>>> = {
  async killProxy(context) {
    const host = pickHost(context);
    host.proxy?.sendSignal('SIGKILL');
    await host.proxy?.exited;
    await context.fleet.startProxy(host);
  },
  async stopProxy(context) {
    const host = pickHost(context);
    host.isReady = false;
    host.proxy?.sendSignal('SIGTERM');
    await host.proxy?.exited;
    await context.fleet.startProxy(host);
  },
  async freezeProxy(context) {
    const host = pickHost(context);
    host.proxy?.sendSignal('SIGSTOP');
    await waitWithJitter(context, 4_000);
    host.proxy?.sendSignal('SIGCONT');
  },
  async killTarget(context) {
    const host = pickHost(context);
    host.target?.sendSignal('SIGKILL');
    await host.target?.exited;
    await context.fleet.replaceTarget(host);
  },
  async cutLink(context) {
    const pair = pickDataCentrePair(context);
    await context.fleet.setLinkFaults({ cuts: [pair] });
    await context.fleet.setLogFaults({ cutOff: [pair[1]] });
    await waitWithJitter(context, 4_000);
    await context.fleet.setLinkFaults({ cuts: [] });
    await context.fleet.setLogFaults({ cutOff: [] });
  },
  async silenceLinks(context) {
    await context.fleet.setLinkFaults({ silence: true });
  },
  async logOutage(context) {
    await context.fleet.setLogFaults({ outage: true });
    await waitWithJitter(context, 3_000);
    await context.fleet.setLogFaults({ outage: false });
  },
  async loseAnswers(context) {
    await context.fleet.setLogFaults({ lostAnswers: 0.4 });
    await waitWithJitter(context, 3_000);
    await context.fleet.setLogFaults({ lostAnswers: 0 });
  },
  async slowLog(context) {
    await context.fleet.setLogFaults({ slowMs: 400 });
    await waitWithJitter(context, 3_000);
    await context.fleet.setLogFaults({ slowMs: 0 });
  },
};

async function publishChanges(context: SoakContext, hasEnded: () => boolean): Promise<number> {
  let lastOffset = 0;
  while (!hasEnded()) {
    /* eslint-disable no-await-in-loop -- changes are appended one at a time */
    try {
      const host = pickRandom(context.fleet.listReadyHosts(), context.random);
      const state = (await context.fleet.request(host, 'config.get')) as {
        resources: Record<string, { revision: number }>;
      };
      const revision = state.resources['contract/customer-1']?.revision ?? 0;
      const weight = 1 + Math.floor(context.random() * 100);
      lastOffset = (await setup.appendChange(context.fleet, weight, revision)).offset;
    } catch {
      // The log or the proxy is down; the next change is tried after the pause.
    }
    await timers.setTimeout(PAUSE_MS);
    /* eslint-enable no-await-in-loop */
  }
  return lastOffset;
}

async function runSoak(minutes: number, seed: number): Promise<boolean> {
  const random = runtime.createSeededRandom(seed);
  const print = (text: string): void => {
    process.stdout.write(`${text}\n`);
  };
  const fleet = await setup.setUpFleet({ seed, random, print }, { dataCentres: [0, 2, 4] });
  const context = { fleet, random };
  const faultCounts: Record<string, number> = {};
  const observer = configObserver.startObserver(fleet);
  const load = loadGenerator.startLoad(
    {
      ...setup.defaultLoadOptions,
      service: fleet.topology.services[0] as string,
      listHosts: fleet.listReadyHosts,
    },
    random,
    fleet.listTargetLines,
  );
  const endsAt = performance.now() + minutes * MS_PER_MINUTE;
  const hasEnded = () => performance.now() >= endsAt;
  const publishing = publishChanges(context, hasEnded);
  while (!hasEnded()) {
    const name = pickRandom(Object.keys(faults), random);
    /* eslint-disable no-await-in-loop -- faults are injected one at a time */
    await timers.setTimeout(PAUSE_MS * random());
    await faults[name]?.(context);
    faultCounts[name] = (faultCounts[name] ?? 0) + 1;
    print(name);
    /* eslint-enable no-await-in-loop */
  }
  const position = await publishing;
  const convergedMs = await setup
    .waitForPosition(fleet, fleet.hosts, position, CONVERGENCE_TIMEOUT_MS)
    .catch(() => undefined);
  const report = await load.stop();
  const observation = await observer.stop();
  const hasPassed =
    loadGenerator.isConsistent(report) &&
    configObserver.hasNoViolations(observation) &&
    convergedMs !== undefined;
  await fleet.stop();
  const faultTotal = Object.values(faultCounts).reduce((sum, count) => sum + count, 0);
  print(
    JSON.stringify({
      soak: minutes,
      seed,
      held: hasPassed,
      faults: faultTotal,
      counts: faultCounts,
      convergedMs,
      ...report,
      observation,
    }),
  );
  return hasPassed && faultTotal > 0;
}

const main = citty.defineCommand({
  meta: { name: 'soak', description: 'Inject random faults under load and check the invariants' },
  args: {
    minutes: { type: 'string', description: 'Duration of the run in minutes', default: '1' },
    seed: { type: 'string', description: 'Seed of the random choices', default: '1' },
  },
  async run({ args }) {
    process.exit((await runSoak(Number(args.minutes), Number(args.seed))) ? 0 : 1);
  },
});

await citty.runMain(main);
