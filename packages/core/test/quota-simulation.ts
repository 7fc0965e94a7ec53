/** Hosts with their quotas on simulated clocks and links, for the tests of the quotas. */
import type * as core from '../src/index.js';
import * as mesh from '../src/mesh/index.js';

export interface Host {
  id: string;
  state: 'running' | 'dead' | 'frozen' | 'suspended';
  spender: mesh.QuotaSpender;
  coordinator: mesh.QuotaCoordinator;
  /** Datagrams that have arrived and are not read, while the host is frozen or suspended. */
  unread: (() => void)[];
  suspendedMs: number;
}

export interface Run {
  at: number;
  account: string;
}

export interface Refusal extends Run {
  type: mesh.QuotaVerdict['type'];
  retryAfterMs: number;
}

export interface SimulationOptions {
  hosts: number;
  accounts: readonly mesh.ClientAccount[];
  random: core.Random;
  /** Share of datagrams that are lost. */
  loss?: number;
  /** Share of datagrams that arrive twice. */
  duplicates?: number;
  /** Returns the delay of a datagram in milliseconds. */
  delay?: () => number;
}

const TICK_MS = 20;
const VIEW_INTERVAL_MS = 250;
/** Time until the membership notices that a host does not respond. */
const NOTICE_MS = 2_500;
const WALL_CLOCK_START = 1_000_000;

export function createSimulation(options: SimulationOptions) {
  const { random, loss = 0, duplicates = 0, delay = () => 2 + random() * 12 } = options;
  const events = new Map<number, (() => void)[]>();
  const runs: Run[] = [];
  const refusals: Refusal[] = [];
  const hosts: Host[] = [];
  const lastContacts = new Map<string, number>();
  let now = 0;
  let datagrams = 0;
  let { accounts } = options;
  let isCut = (_from: number, _to: number): boolean => false;
  let hasOddView = (_index: number): boolean => false;

  const schedule = (at: number, event: () => void): void => {
    const time = Math.max(now + 1, Math.ceil(at));
    events.set(time, [...(events.get(time) ?? []), event]);
  };

  const createHost = (index: number): Host => {
    const id = `host-${index}`;
    const host = { id, state: 'running', unread: [], suspendedMs: 0 } as unknown as Host;
    const clock = {
      now: () => WALL_CLOCK_START + now,
      monotonic: () => now - host.suspendedMs,
    };
    const input = {
      id,
      clock,
      random,
      options: mesh.quotaDefaults,
    };
    host.spender = mesh.createQuotaSpender({ ...input, startedAt: now });
    host.coordinator = mesh.createQuotaCoordinator(input);
    host.coordinator.setAccounts(accounts);
    return host;
  };

  const deliver = (from: number, to: number, handle: (host: Host) => void): void => {
    datagrams += 1;
    if (isCut(from, to) || random() < loss) return;
    const copies = random() < duplicates ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      schedule(now + delay(), () => {
        const host = hosts[to];
        if (!host || host.state === 'dead') return;
        if (host.state === 'running') handle(host);
        else host.unread.push(() => handle(host));
      });
    }
  };

  const indexOf = (id: string): number => hosts.findIndex((host) => host.id === id);

  const flush = (host: Host): void => {
    for (let exchange = 0; exchange < 4; exchange += 1) {
      let hasOwn = false;
      host.spender.takeRequests().forEach(({ to, request }) => {
        if (to === host.id) {
          hasOwn = true;
          const reply = host.coordinator.receive(request);
          if (reply) host.spender.receive(reply);
          return;
        }
        const [source, target] = [indexOf(host.id), indexOf(to)];
        deliver(source, target, (coordinator) => {
          const reply = coordinator.coordinator.receive(request);
          if (!reply) return;
          deliver(target, source, (spender) => {
            spender.spender.receive(reply);
            flush(spender);
          });
        });
      });
      if (!hasOwn) return;
    }
  };

  const updateView = (host: Host, index: number): void => {
    const alive = hosts.filter(
      (other, each) =>
        each === index || now - (lastContacts.get(`${index} ${each}`) ?? 0) < NOTICE_MS,
    );
    const seen = hasOddView(index) ? alive.filter(() => random() < 1 / 2) : alive;
    const ranked = mesh.rankReaders(seen.map(({ id }) => ({ id, linkMbps: 10 })));
    host.spender.setView({
      coordinators: ranked.slice(0, mesh.quotaDefaults.maxCoordinators),
      others: hosts.map(({ id }) => id).filter((id) => id !== host.id),
      knownHosts: hosts.length,
    });
    host.coordinator.setKnownHosts(hosts.length);
  };

  const step = (): void => {
    now += 1;
    (events.get(now) ?? []).forEach((event) => event());
    events.delete(now);
    hosts.forEach((host, index) => {
      if (host.state === 'suspended') host.suspendedMs += 1;
      if (host.state !== 'running') return;
      if ((now + index) % VIEW_INTERVAL_MS === 0) {
        hosts.forEach(({ state }, other) => {
          if (state === 'running' && !isCut(index, other) && !isCut(other, index))
            lastContacts.set(`${index} ${other}`, now);
        });
        updateView(host, index);
      }
      if ((now + index) % TICK_MS !== 0) return;
      host.spender.tick();
      flush(host);
    });
  };

  for (let index = 0; index < options.hosts; index += 1) hosts.push(createHost(index));
  hosts.forEach(updateView);

  return {
    hosts,
    runs,
    refusals,
    getNow: () => now,
    countDatagrams: () => datagrams,
    /** Sets which links, from one host to another, lose everything. */
    setCut(cut: (from: number, to: number) => boolean) {
      isCut = cut;
    },
    /** Sets which hosts see others as alive at random. */
    setOddViews(hasOdd: (index: number) => boolean) {
      hasOddView = hasOdd;
    },
    setAccounts(nextAccounts: readonly mesh.ClientAccount[]) {
      accounts = nextAccounts;
      hosts.forEach(({ coordinator }) => coordinator.setAccounts(accounts));
    },
    kill(index: number) {
      const host = hosts[index];
      if (host) host.state = 'dead';
    },
    /** Starts a new process, which has met no other yet. */
    restart(index: number) {
      hosts.forEach((_, other) => lastContacts.set(`${index} ${other}`, -NOTICE_MS));
      hosts[index] = createHost(index);
      updateView(hosts[index], index);
    },
    setState(index: number, state: Host['state']) {
      const host = hosts[index];
      if (!host || host.state === 'dead') return;
      host.state = state;
      if (state === 'running') host.unread.splice(0).forEach((read) => read());
    },
    call(index: number, name: string) {
      const host = hosts[index];
      const account = accounts.find((each) => each.name === name);
      if (host?.state !== 'running' || !account) return;
      const record = (verdict: mesh.QuotaVerdict): void => {
        if (verdict.type === 'admitted') runs.push({ at: now, account: name });
        else refusals.push({ at: now, account: name, ...verdict });
      };
      const verdict = host.spender.admit(account, record);
      if (verdict) record(verdict);
      else if (host.spender.getCoordinators().includes(host.id)) flush(host);
      else schedule(now + 1, () => flush(host));
    },
    /** Runs until a time, with `each` called every millisecond. */
    runUntil(time: number, each: () => void = () => undefined) {
      while (now < time) {
        step();
        each();
      }
    },
  };
}

export type Simulation = ReturnType<typeof createSimulation>;

/** Returns the largest number of runs of an account in any window. */
export function countMostRuns(runs: readonly Run[], account: string, windowMs: number): number {
  const times = runs.filter((run) => run.account === account).map(({ at }) => at);
  let first = 0;
  let most = 0;
  times.forEach((at, last) => {
    while (at - (times[first] ?? at) >= windowMs) first += 1;
    most = Math.max(most, last - first + 1);
  });
  return most;
}
