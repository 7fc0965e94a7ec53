/** Discrete-event simulation of callers, ingress hosts and targets, around the decisions of the mesh. */
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

/** Calls that differ in work; one whose `path` is that of another cannot be told apart from it. */
export interface SimulatedKind {
  name: string;
  path: string;
  /** Share of the arrivals; may change with the time. */
  share: (at: number) => number;
  /** Work relative to `meanServiceMs`. */
  work: number;
  /** Size of request and response. */
  kilobytes: number;
  account?: string;
}

export interface SimulatedLoad {
  /** Calls that arrive in each quarter of a second. */
  arrivals: readonly number[];
  dataCentres: readonly { name: string; region: string; share: number }[];
  /** Slots and speed of the targets of each data centre. */
  slots: number;
  speeds: readonly number[];
  meanServiceMs: number;
  objectiveMs: number;
  deadlineMs: number;
  seed: number;
  /** Defaults to one kind of call. */
  kinds?: readonly SimulatedKind[];
  /** Defaults to 1. */
  targetsPerDataCentre?: number;
  /** Multiple of the service times of a target; defaults to 1. */
  slowdown?: (target: number, at: number) => number;
  /** Longest delay of a load report after its response; defaults to 0. */
  reportDelayMs?: number;
  /** Transmission time of a kilobyte on the link of a target; defaults to 0. */
  kilobyteMs?: (target: number) => number;
  /** False to place calls by counts, as processes do whose targets do not report work. */
  placesByWork?: boolean;
  /** False to queue calls as if they had no accounts. */
  sharesFairly?: boolean;
  choosePlacement?: typeof mesh.choosePlacement;
}

export interface KindResult {
  arrived: number;
  inObjective: number;
  /** Response times, that of a call without a response being its deadline. */
  latenciesMs: number[];
}

export interface SimulationResult {
  arrived: number;
  inObjective: number;
  late: number;
  /** Answered as not run, after the caller's own retry. */
  rejected: number;
  /** Ended at the deadline, although no attempt had started. */
  expiredUntried: number;
  /**
   * Sum over the calls that no target had started: 0 for one that was rejected within an eighth of
   * its objective, 1 for one that was held for three quarters of its time.
   */
  heldUntried: number;
  /** Attempts that hosts refused, per call. */
  refusalsPerCall: number;
  byKind: Map<string, KindResult>;
  /** Kilobytes of calls sent to targets in other regions. */
  remoteKilobytes: number;
}

const ARRIVAL_PERIOD_MS = 250;
const HOSTS_PER_DATA_CENTRE = 4;
/** One-way delays, the processing time of a host included, in milliseconds. */
const DELAYS_MS: Record<mesh.Locality, number> = {
  'own-host': 1,
  'data-centre': 3,
  region: 4,
  remote: 15,
};
const SERVICE_SPREAD = 0.6;
const POLL_MS = 20;

type Callback = () => void;

interface SimulatedHandler {
  kind: SimulatedKind;
  workKeys: mesh.WorkKeys;
  receive(event: 'started' | mesh.CallEvent): void;
}

const defaultKinds: readonly SimulatedKind[] = [
  { name: 'read', path: '/read', share: () => 1, work: 1, kilobytes: 1.5 },
];

interface SimulatedTarget {
  hostId: string;
  dataCentre: number;
  queue: mesh.SlotQueue;
  index: number;
  speed: number;
  handlers: Map<string, SimulatedHandler>;
  workEstimates: mesh.WorkEstimates;
}

/**
 * Plays a load and counts how its calls end.
 *
 * @example
 * simulateLoad({ ...load, seed: 1 }).inObjective;
 */
export function simulateLoad(load: SimulatedLoad): SimulationResult {
  const random = support.createSeededRandom(load.seed);
  const { kinds = defaultKinds, targetsPerDataCentre = 1, placesByWork = true } = load;
  const { slowdown = () => 1, reportDelayMs = 0, kilobyteMs = () => 0 } = load;
  const choosePlacement = load.choosePlacement ?? mesh.choosePlacement;
  const events: { at: number; sequence: number; run: Callback }[] = [];
  let now = 0;
  let sequence = 0;
  const schedule = (at: number, run: Callback): void => {
    sequence += 1;
    const entry = { at, sequence, run };
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((events[middle]?.at ?? 0) <= at) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, entry);
  };
  const result: SimulationResult = {
    arrived: 0,
    inObjective: 0,
    late: 0,
    rejected: 0,
    expiredUntried: 0,
    heldUntried: 0,
    refusalsPerCall: 0,
    byKind: new Map(
      kinds.map(({ name }) => [name, { arrived: 0, inObjective: 0, latenciesMs: [] }]),
    ),
    remoteKilobytes: 0,
  };

  const drawServiceMs = (speed: number): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return (
      (load.meanServiceMs / speed) * Math.exp(normal * SERVICE_SPREAD - SERVICE_SPREAD ** 2 / 2)
    );
  };

  const targets = Array.from(
    { length: load.dataCentres.length * targetsPerDataCentre },
    (_, index): SimulatedTarget => ({
      hostId: `t${index}`,
      dataCentre: index % load.dataCentres.length,
      queue: mesh.createSlotQueue(load.slots, mesh.slotQueueDefaults, random),
      index,
      speed: load.speeds[index % load.speeds.length] ?? 1,
      handlers: new Map(),
      workEstimates: mesh.createWorkEstimates(mesh.workEstimateDefaults),
    }),
  );

  const applyEffects = (target: SimulatedTarget, effects: readonly mesh.SlotEffect[]): void =>
    effects.forEach((effect) => {
      const handler = target.handlers.get(effect.id);
      if (effect.type === 'refuse') {
        target.handlers.delete(effect.id);
        handler?.receive({
          type: 'refused',
          reason: effect.reason,
          retryAfterMs: effect.retryAfterMs,
        });
        return;
      }
      handler?.receive('started');
      const serviceMs =
        drawServiceMs(target.speed) * (handler?.kind.work ?? 1) * slowdown(target.index, now);
      schedule(now + serviceMs, () => {
        if (!target.handlers.has(effect.id)) return;
        target.handlers.delete(effect.id);
        if (handler)
          target.workEstimates.addSample(
            handler.workKeys,
            serviceMs / target.queue.getUnitMs(),
            now,
          );
        handler?.receive({ type: 'answered', isFailure: false });
        applyEffects(target, target.queue.release(effect.id, serviceMs, now));
      });
    });
  const poll = (): void => {
    targets.forEach((target) => applyEffects(target, target.queue.poll(now)));
    if (events.length > 0) schedule(now + POLL_MS, poll);
  };

  const describeLocality = (from: number, to: number): mesh.Locality => {
    if (from === to) return random() < 1 / HOSTS_PER_DATA_CENTRE ? 'own-host' : 'data-centre';
    const isSameRegion = load.dataCentres[from]?.region === load.dataCentres[to]?.region;
    return isSameRegion ? 'region' : 'remote';
  };

  const ingresses = load.dataCentres.flatMap((_, dataCentre) =>
    Array.from({ length: HOSTS_PER_DATA_CENTRE }, () => ({
      dataCentre,
      reports: new Map<string, { load: mesh.TargetLoad; at: number; receivedAt: number }>(),
      open: new Map<string, number>(),
      sentWork: new Map<string, number>(),
      workEstimates: mesh.createWorkEstimates(mesh.workEstimateDefaults),
      rejectedCalls: mesh.createRejectedCalls(mesh.rejectedCallsDefaults),
    })),
  );
  type Ingress = (typeof ingresses)[number];

  let refusals = 0;
  let nextId = 0;

  const runCall = (
    ingress: Ingress,
    kind: SimulatedKind,
    arrivedAt: number,
    isReturning = false,
  ): void => {
    const kindResult = result.byKind.get(kind.name);
    const workKeys = mesh.computeWorkKeys({
      service: 'catalogue',
      route: 'read',
      path: kind.path,
      account: kind.account,
      bodyBytes: 0,
      callerService: undefined,
    });
    const work = placesByWork ? ingress.workEstimates.estimate(workKeys, now) : 1;
    const receivedAt = now;
    const callerDeadlineAt = arrivedAt + load.deadlineMs;
    const firstReceivedAt =
      ingress.rejectedCalls.take(kind.path, callerDeadlineAt)?.firstReceivedAt ?? receivedAt;
    const { objectiveAt, deadlineAt, isLate } = mesh.computeCallTimes(
      { receivedAt, firstReceivedAt, callerDeadlineAt },
      { objectiveMs: load.objectiveMs, timeoutMs: load.deadlineMs },
    );
    const tried = new Set<string>();
    const full = new Set<string>();
    let wasLate = false;
    let hasStarted = false;
    let cancel: Callback = () => undefined;
    const machine = mesh.createCallStateMachine({
      isRepeatable: true,
      isLate,
      maxAttempts: 3,
      maxRefusals: 2,
      maxLateRefusals: 1,
      takeRetry: () => true,
    });
    const finish = (status: number, retryAfterMs: number): void => {
      if (status === 200) {
        kindResult?.latenciesMs.push(now - arrivedAt);
        if (now - arrivedAt <= load.objectiveMs) {
          result.inObjective += 1;
          if (kindResult) kindResult.inObjective += 1;
        } else result.late += 1;
        return;
      }
      if (!hasStarted) {
        const freeMs = load.objectiveMs / 8;
        const fullMs = (deadlineAt - receivedAt) * 0.75;
        const heldShare = (now - receivedAt - freeMs) / Math.max(1, fullMs - freeMs);
        result.heldUntried += Math.min(1, Math.max(0, heldShare));
      }
      if (status === 503 && !isReturning) {
        ingress.rejectedCalls.record({ key: kind.path, firstReceivedAt, deadlineAt }, now);
        const waitMs = Math.min(retryAfterMs, (deadlineAt - now) / 3);
        schedule(now + waitMs, () => runCall(ingress, kind, arrivedAt, true));
        return;
      }
      kindResult?.latenciesMs.push(load.deadlineMs);
      if (status === 503) result.rejected += 1;
      else if (!hasStarted) result.expiredUntried += 1;
    };
    const handle = (event: mesh.CallEvent): void =>
      machine.handle(event).forEach((effect) => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- they call one another
        if (effect.type === 'send') send(effect.mayBeLate);
        else if (effect.type === 'cancel') cancel();
        else if (effect.type === 'deliver') finish(200, 0);
        else if (effect.type === 'answer') finish(effect.status, effect.retryAfterMs);
      });
    const send = (mayBeLate: boolean): void => {
      if (mayBeLate && !wasLate) full.forEach((hostId) => tried.delete(hostId));
      wasLate = mayBeLate;
      const candidates = targets.map((target): mesh.PlacementCandidate => {
        const report = ingress.reports.get(target.hostId);
        return {
          hostId: target.hostId,
          locality: describeLocality(ingress.dataCentre, target.dataCentre),
          slots: load.slots,
          openCalls: ingress.open.get(target.hostId) ?? 0,
          sentWork: ingress.sentWork.get(target.hostId) ?? 0,
          load: report?.load,
          loadAgeMs: report ? now - report.at : 0,
          queueAgeMs: report ? now - report.at : 0,
          isCold: false,
        };
      });
      const placement = choosePlacement(
        candidates,
        tried,
        { kilobytes: kind.kilobytes, work, mayBeLate },
        mesh.placementDefaults,
        random,
      );
      const target = targets.find(({ hostId }) => hostId === placement?.hostId);
      if (!target) {
        handle({ type: 'no-target' });
        return;
      }
      tried.add(target.hostId);
      const locality = describeLocality(ingress.dataCentre, target.dataCentre);
      const linkMs = locality === 'own-host' ? 0 : kind.kilobytes * kilobyteMs(target.index);
      const delayMs = DELAYS_MS[locality];
      if (locality === 'remote') result.remoteKilobytes += kind.kilobytes;
      ingress.sentWork.set(target.hostId, (ingress.sentWork.get(target.hostId) ?? 0) + work);
      ingress.open.set(target.hostId, (ingress.open.get(target.hostId) ?? 0) + 1);
      nextId += 1;
      const id = `c${nextId}`;
      let isOpen = true;
      const sentAt = now;
      let startedAt = 0;
      const settle = (): boolean => {
        if (!isOpen) return false;
        isOpen = false;
        const report = ingress.reports.get(target.hostId);
        if (!report || sentAt >= report.receivedAt)
          ingress.sentWork.set(
            target.hostId,
            Math.max(0, (ingress.sentWork.get(target.hostId) ?? 0) - work),
          );
        ingress.open.set(target.hostId, (ingress.open.get(target.hostId) ?? 1) - 1);
        return true;
      };
      cancel = (): void => {
        if (!settle()) return;
        schedule(now + delayMs, () => {
          if (!target.handlers.delete(id) || target.queue.cancel(id)) return;
          applyEffects(target, target.queue.releaseCancelled(id, load.meanServiceMs, now));
        });
      };
      const receive = (event: mesh.CallEvent): void => {
        const slotLoad = target.queue.getLoad(now);
        const reportedAt = now;
        const ranMs = now - startedAt;
        schedule(now + delayMs + (event.type === 'answered' ? linkMs : 0), () => {
          if (event.type === 'answered')
            ingress.workEstimates.addSample(workKeys, ranMs / slotLoad.unitMs, now);
          if (settle()) handle(event);
        });
        schedule(now + delayMs + random() * reportDelayMs, () => {
          const last = ingress.reports.get(target.hostId);
          if (last && last.at > reportedAt) return;
          ingress.sentWork.set(target.hostId, 0);
          ingress.reports.set(target.hostId, {
            load: {
              ...slotLoad,
              failureShare: 0,
              backlogMs: 0,
              kilobyteMs: kilobyteMs(target.index),
              unitMs: placesByWork ? slotLoad.unitMs : 0,
            },
            at: reportedAt,
            receivedAt: now,
          });
        });
      };
      schedule(now + delayMs, () => {
        if (!isOpen) return;
        target.handlers.set(id, {
          kind,
          workKeys,
          receive(event) {
            if (event === 'started') {
              hasStarted = true;
              startedAt = now;
              return;
            }
            if (event.type === 'refused') {
              refusals += 1;
              if (event.reason === 'full') full.add(target.hostId);
            }
            receive(event);
          },
        });
        const request: mesh.SlotRequest = {
          id,
          kind: 'read',
          rank: 2,
          mayBeLate,
          objectiveAt,
          deadlineAt,
        };
        if (kind.account !== undefined && load.sharesFairly !== false) {
          request.account = kind.account;
          request.wasRejected = isReturning;
        }
        if (placesByWork) {
          request.work = target.workEstimates.estimate(workKeys, now);
          request.workWithinKind = target.workEstimates.estimateWithinRoute(workKeys, now);
        }
        applyEffects(target, target.queue.offer(request, now));
      });
    };
    schedule(deadlineAt - 10, () => {
      if (machine.isFinished()) return;
      cancel();
      handle({ type: 'timeout', isUnsent: false });
    });
    handle({ type: 'start' });
  };

  const chooseIngress = (): Ingress | undefined => {
    let remaining = random() * load.dataCentres.reduce((sum, { share }) => sum + share, 0);
    const dataCentre = load.dataCentres.findIndex(({ share }) => {
      remaining -= share;
      return remaining < 0;
    });
    const index = dataCentre * HOSTS_PER_DATA_CENTRE + Math.floor(random() * HOSTS_PER_DATA_CENTRE);
    return ingresses[index];
  };
  const chooseKind = (at: number): SimulatedKind => {
    let remaining = random() * kinds.reduce((sum, { share }) => sum + share(at), 0);
    const chosen = kinds.find(({ share }) => {
      remaining -= share(at);
      return remaining < 0;
    });
    return chosen ?? (kinds[0] as SimulatedKind);
  };
  /** Scheduled one after another, since a short list of events is faster. */
  const arrivalTimes: number[] = [];
  load.arrivals.forEach((count, period) => {
    for (let index = 0; index < count; index += 1) {
      const at = (period + random()) * ARRIVAL_PERIOD_MS;
      arrivalTimes.push(at);
      result.arrived += 1;
    }
  });
  arrivalTimes.sort((left, right) => left - right);
  let nextArrival = 0;
  const receiveNext = (): void => {
    const at = arrivalTimes[nextArrival];
    if (at === undefined) return;
    nextArrival += 1;
    schedule(at, () => {
      receiveNext();
      const ingress = chooseIngress();
      const kind = chooseKind(at);
      const kindResult = result.byKind.get(kind.name);
      if (kindResult) kindResult.arrived += 1;
      if (ingress) runCall(ingress, kind, at);
    });
  };
  receiveNext();
  schedule(POLL_MS, poll);
  for (let event = events.shift(); event; event = events.shift()) {
    now = event.at;
    event.run();
  }
  result.refusalsPerCall = refusals / result.arrived;
  return result;
}
