/**
 * Roll-outs as one host takes part in them: it keeps the orders, chooses the versions that calls may
 * go to, counts the outcomes of its own target and tells the others what it knows.
 */
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';
import type * as gossipMembers from './gossip-members.js';
import * as rolloutStatusWriter from './rollout-status-writer.js';
import type * as targetTable from './target-table.js';
import type * as types from './types.js';

/** `broken`: the connection was lost; `abandoned`: the caller did not wait for the response. */
export type CallOutcome = 'done' | 'failed' | 'broken' | 'abandoned';

/** Chooses targets for the attempts of one call, of the versions that may get them. */
export interface CallVersions {
  chooseTarget(
    triedHosts: ReadonlySet<string>,
    call: mesh.PlacementCall,
  ): mesh.Placement | undefined;
  hasFreeSlot(triedHosts: ReadonlySet<string>, mayGuess: boolean): boolean;
}

export interface RolloutTask {
  startCall(service: string): CallVersions;
  /** Returns whether the target on this host may get another call, as far as versions are concerned. */
  mayRun(target: mesh.OpenTarget): boolean;
  /** Records a call of the target on this host; `tookMs` is undefined if its time says nothing. */
  recordOutcome(
    target: mesh.OpenTarget,
    route: string,
    outcome: CallOutcome,
    tookMs: number | undefined,
  ): void;
  recordMember(member: core.Member): void;
  /** Lists the roll-outs that a message of this host carries. */
  listStamps(): core.RolloutStamp[];
  receiveStamps(stamps: readonly core.RolloutStamp[], from: string): void;
  start(): void;
  stop(): void;
}

export interface RolloutTaskInput {
  ctx: context.MeshContext;
  orders: types.RolloutOrders;
  statuses: types.RolloutStatuses;
  targets: targetTable.TargetTable;
  getMembers: () => Pick<gossipMembers.Members, 'list' | 'setInfo' | 'sendOwnRecord'>;
  getOwnTarget: () => { openTarget: mesh.OpenTarget | undefined; openAttempts: number };
}

const TICK_MS = 200;
/** Part of the permitted share that is used, since the hosts do not coordinate it. */
const SHARE_IN_USE = 0.85;
/** Part of the slack that all hosts together spend on calls besides the share. */
const SLACK_IN_USE = 0.5;
/** Part of the slack at which the hosts of the canary refuse further calls. */
const SLACK_LIMIT = 0.8;
/** Share of calls that the canary gets during the first step of the move. */
const FIRST_STEP_SHARE = 0.3;
const FIRST_STEP_MS = 1_500;
/** Part of the duration before the deadline up to which open calls at the old targets are waited for. */
const DRAIN_UNTIL_SHARE = 0.1;
/** Least number of canary hosts that get calls at the same time. */
const MIN_ACTIVE_CANARIES = 2;
/** How long the same canary hosts get the calls, so that they have about their usual load. */
const CANARY_TURN_MS = 8_000;
/** How long a version without any target still counts as in use. */
const VERSION_KEPT_MS = 10_000;
/** Time after the start for which a host may not know the targets of a service. */
const SETTLING_MS = 1_000;
/** Targets of a service from which on they are a sufficient sample before that time. */
const MIN_KNOWN_TARGETS = 3;
/** Time after the start for which the version in use is chosen anew, as further targets are found. */
const RECONSIDERED_MS = 5_000;
/** A target that has just opened is slow; its times say nothing. */
const WARM_UP_MS = 5_000;
/** Calls that break together have one cause, such as a killed target. */
const BROKEN_TOGETHER_MS = 250;
const CANARY_REPORT_MS = 500;
const OLD_REPORT_MS = 2_000;
/** All old targets together report at most this often on average. */
const REPORT_MS_PER_HOST = 100;
/** How long a finished roll-out is in all messages; afterwards each carries one of them. */
const FINISHED_STAMP_MS = 20_000;
const COUNTS_LOG_MS = 2_000;
/** Hosts that decide and write; each gets the reports directly. */
const DECIDERS = 3;

interface ServiceState {
  service: string;
  rollout: mesh.Rollout | undefined;
  /** Version in use; undefined while it is not known. */
  current: string | undefined;
  versions: Map<string, { bornAt: number; seenAt: number }>;
  share: mesh.CanaryShare | undefined;
  /** Reports of other processes by host and instance; those of former processes still count. */
  reports: Map<string, core.RolloutReport>;
  canaryCounts: mesh.RouteCounts[];
  oldCounts: mesh.RouteCounts[];
  usualMsByRoute: Map<string, number>;
  activeCanaries: ReadonlySet<string>;
  isMoved: boolean;
  verdict: mesh.RolloutVerdict;
}

const unknownVerdict: mesh.RolloutVerdict = { type: 'unknown', responses: 0 };

/** Creates the choices of a deployment without roll-outs, or of a call that all targets may get. */
function createUnrestrictedVersions(
  targets: targetTable.TargetTable,
  service: string,
): CallVersions {
  return {
    chooseTarget: (triedHosts, call) => targets.chooseTarget(service, triedHosts, call),
    hasFreeSlot: (triedHosts, mayGuess) => targets.hasFreeSlot(service, triedHosts, mayGuess),
  };
}

/**
 * Creates the task of a deployment without roll-outs, which restricts and sends nothing.
 *
 * @example
 * const rollouts = createNoRollouts(targets);
 */
export function createNoRollouts(targets: targetTable.TargetTable): RolloutTask {
  return {
    startCall: (service) => createUnrestrictedVersions(targets, service),
    mayRun: () => true,
    recordOutcome: () => undefined,
    recordMember: () => undefined,
    listStamps: () => [],
    receiveStamps: () => undefined,
    start: () => undefined,
    stop: () => undefined,
  };
}

/**
 * Creates the task; without the setting `rollout` it does nothing.
 *
 * @example
 * const rollouts = createRolloutTask(input);
 * rollouts.start();
 */
export function createRolloutTask(input: RolloutTaskInput): RolloutTask {
  const { ctx, orders, statuses, targets, getMembers, getOwnTarget } = input;
  const { settings, clock, log, metrics, random } = ctx;
  const { rollout: bounds } = settings;
  if (!bounds) return createNoRollouts(targets);
  const times = mesh.rolloutTimesDefaults;
  const states = new Map<string, ServiceState>();
  const ownCounts = mesh.createOutcomeCounts();
  const startedAt = clock.monotonic();
  let ownVersion: string | undefined;
  let ownIncarnation: string | undefined;
  let ownOpenedAt = 0;
  let lastBrokenAt = Number.NEGATIVE_INFINITY;
  let reportedAt = Number.NEGATIVE_INFINITY;
  let reportedKey = '';
  let hasReport = false;
  let finishedTurn = 0;
  let loggedAt = Number.NEGATIVE_INFINITY;
  let timer: NodeJS.Timeout | undefined;

  const getState = (service: string): ServiceState => {
    const existing = states.get(service);
    if (existing) return existing;
    const state: ServiceState = {
      service,
      rollout: undefined,
      current: undefined,
      versions: new Map(),
      share: undefined,
      reports: new Map(),
      canaryCounts: [],
      oldCounts: [],
      usualMsByRoute: new Map(),
      activeCanaries: new Set(),
      isMoved: false,
      verdict: unknownVerdict,
    };
    states.set(service, state);
    return state;
  };

  const getRole = (state: ServiceState, version: string | undefined): mesh.VersionRole =>
    mesh.getVersionRole(version, state, clock.monotonic());

  const isActive = ({ rollout }: ServiceState): boolean =>
    rollout !== undefined && !mesh.isFinalPhase(rollout.phase);

  const countAlive = (): number =>
    getMembers()
      .list()
      .filter(({ status }) => status === 'alive').length;

  const countServiceHosts = (): number =>
    getMembers()
      .list()
      .filter(({ info }) => info.target?.service === settings.service).length;

  const rankHosts = (): string[] =>
    mesh.rankReaders(
      getMembers()
        .list()
        .filter(({ status }) => status === 'alive')
        .map(({ id, info }) => ({ id, linkMbps: info.linkMbps })),
    );

  const createShare = ({ durationMs }: mesh.RolloutOrder): mesh.CanaryShare => {
    const now = clock.monotonic();
    const callsPerSecond = mesh.computeExtraCallRate(bounds.slack * SLACK_IN_USE, {
      overMs: durationMs * times.moveAfterShare,
      hosts: countAlive(),
      processAgeMs: now - startedAt,
    });
    const options = { share: bounds.maxShare * SHARE_IN_USE, callsPerSecond };
    return mesh.createCanaryShare(options, random, now);
  };

  const recordMember = ({ id, info }: core.Member): void => {
    if (id === settings.id || info.rollout?.offset === undefined) return;
    const { offset } = info.rollout;
    const state = [...states.values()].find(({ rollout }) => rollout?.order.offset === offset);
    state?.reports.set(`${id}|${info.instance}`, info.rollout);
  };

  /** Starts the observation of an order that replaces the one before, if there was one. */
  const startOrder = (state: ServiceState, rollout: mesh.Rollout, from: string): void => {
    const { order } = rollout;
    log.info('rollout-order', {
      service: state.service,
      targetVersion: order.targetVersion,
      offset: order.offset,
      durationMs: order.durationMs,
      leftMs: Math.round(rollout.deadlineAt - clock.monotonic()),
      phase: rollout.phase,
      record: rollout.record,
      replaced: state.rollout?.order.targetVersion,
      current: state.current,
      from,
    });
    metrics.count('rollout_orders_total');
    state.share = createShare(order);
    state.reports.clear();
    state.canaryCounts = [];
    state.oldCounts = [];
    state.isMoved = false;
    state.verdict = unknownVerdict;
    if (state.service === settings.service) ownCounts.reset();
  };

  /** Stores a changed roll-out; the other hosts hear of a new phase at once. */
  const storeRollout = (state: ServiceState, next: mesh.Rollout, from: string): void => {
    const before = state.rollout;
    if (next === before) return;
    const isNewOrder = before === undefined || mesh.isNewerOrder(next.order, before.order);
    if (isNewOrder) startOrder(state, next, from);
    state.rollout = next;
    // Reports may have arrived before the order.
    if (isNewOrder) getMembers().list().forEach(recordMember);
    if (!isNewOrder && next.phase === before.phase) return;
    if (!isNewOrder || next.phase !== 'observing') {
      const { verdict } = state;
      log.info('rollout-phase', {
        service: state.service,
        targetVersion: next.order.targetVersion,
        before: before?.phase,
        phase: next.phase,
        from,
        leftMs: Math.round(next.deadlineAt - clock.monotonic()),
        verdict: verdict.type,
        ...('finding' in verdict ? verdict.finding : { responses: verdict.responses }),
      });
      metrics.count('rollout_phases_total', { phase: next.phase });
    }
    getMembers().sendOwnRecord();
  };

  const setPhase = (state: ServiceState, phase: mesh.RolloutPhase, from: string): void => {
    if (!state.rollout || state.rollout.phase === phase) return;
    storeRollout(state, { ...state.rollout, phase, phaseSince: clock.monotonic() }, from);
  };

  const writer = rolloutStatusWriter.createRolloutStatusWriter({
    ctx,
    statuses,
    getRollout: (service) => states.get(service)?.rollout,
    setRollout: (next) => storeRollout(getState(next.order.service), next, 'store'),
  });

  const recordVersions = (now: number): void => {
    const targetsByService = new Map<string, number>();
    getMembers()
      .list()
      .forEach(({ status, info: { target } }) => {
        if (!target || status === 'left') return;
        targetsByService.set(target.service, (targetsByService.get(target.service) ?? 0) + 1);
        if (target.version === undefined) return;
        const { versions } = getState(target.service);
        const bornAt = mesh.parseIncarnation(target.id ?? '').bornAt ?? Number.MAX_SAFE_INTEGER;
        const known = versions.get(target.version);
        const isSeenNow = known?.seenAt === now;
        versions.set(target.version, {
          bornAt: isSeenNow ? Math.min(known.bornAt, bornAt) : bornAt,
          seenAt: now,
        });
      });
    states.forEach((state) => {
      state.versions.forEach(({ seenAt }, version) => {
        if (now - seenAt > VERSION_KEPT_MS) state.versions.delete(version);
      });
      const isSettled =
        now - startedAt >= SETTLING_MS ||
        (targetsByService.get(state.service) ?? 0) >= MIN_KNOWN_TARGETS;
      const before = now - startedAt >= RECONSIDERED_MS ? state.current : undefined;
      const listed = [...state.versions].map(([version, { bornAt }]) => ({ version, bornAt }));
      const current = isSettled
        ? mesh.chooseCurrentVersion(listed, before, state.rollout)
        : undefined;
      if (current !== undefined && current !== state.current)
        log.info('version-in-use', { service: state.service, version: current });
      state.current = current;
    });
  };

  /** Chooses the hosts of the canary that get the calls now. */
  const chooseActiveCanaries = (state: ServiceState, { order, deadlineAt }: mesh.Rollout): void => {
    const members = getMembers()
      .list()
      .filter(
        ({ status, info }) =>
          status === 'alive' && info.ready && info.target?.service === state.service,
      );
    const canaries = members.filter(
      ({ info }) => info.target?.state === 'up' && getRole(state, info.target.version) === 'canary',
    );
    const count = Math.ceil((members.length - canaries.length) * bounds.maxShare * SHARE_IN_USE);
    const turn = Math.floor((deadlineAt - clock.monotonic()) / CANARY_TURN_MS);
    const ids = canaries.map(({ id }) => id);
    const key = `${order.offset}|${turn}`;
    state.activeCanaries = new Set(
      mesh.chooseCanaryHosts(key, ids, Math.max(MIN_ACTIVE_CANARIES, count)),
    );
  };

  const listReports = (state: ServiceState): core.RolloutReport[] => {
    const { offset } = state.rollout?.order ?? {};
    const isOwn = state.service === settings.service && ownIncarnation !== undefined;
    const own = isOwn
      ? [{ offset, version: ownVersion ?? '', moved: [], counts: ownCounts.list() }]
      : [];
    return [...state.reports.values(), ...own];
  };

  const sumCounts = (state: ServiceState, { order }: mesh.Rollout): void => {
    const reports = listReports(state);
    const isCanary = ({ version }: core.RolloutReport): boolean => version === order.targetVersion;
    const listCounts = (selected: readonly core.RolloutReport[]): mesh.RouteCounts[] =>
      mesh.sumRouteCounts(selected.map(({ counts }) => counts));
    state.canaryCounts = listCounts(reports.filter(isCanary));
    state.oldCounts = listCounts(reports.filter((report) => !isCanary(report)));
    state.usualMsByRoute = new Map(
      state.oldCounts
        .filter(({ usualMs }) => usualMs > 0)
        .map(({ route, usualMs }) => [route, usualMs]),
    );
  };

  const sumField = (
    counts: readonly mesh.RouteCounts[],
    field: 'responses' | 'failures' | 'slow',
  ): number => counts.reduce((sum, each) => sum + each[field], 0);

  const countResponses = (counts: readonly mesh.RouteCounts[]): number =>
    sumField(counts, 'responses');

  /** Returns whether the canary may get one more call within the bound, by the counts known here. */
  const isWithinBound = (state: ServiceState): boolean => {
    const canaryCalls = countResponses(state.canaryCounts) + getOwnTarget().openAttempts;
    const calls = canaryCalls + countResponses(state.oldCounts);
    return canaryCalls < calls * bounds.maxShare + bounds.slack * SLACK_LIMIT;
  };

  const decide = (state: ServiceState, rank: number): void => {
    const { rollout } = state;
    if (!rollout) return;
    const now = clock.monotonic();
    const isUnopposed = state.current === rollout.order.targetVersion;
    state.verdict = isUnopposed
      ? { type: 'good', responses: 0 }
      : mesh.judgeCanary(state.canaryCounts, state.oldCounts, mesh.rolloutTestDefaults);
    // Nothing is to be observed or moved if all targets have the version already.
    const phase =
      isUnopposed && rollout.phase === 'observing' && rollout.record !== 'unknown'
        ? 'moving'
        : mesh.decidePhase(rollout, state.verdict, { now, rank }, times);
    setPhase(state, phase, 'verdict');
  };

  const hasMoved = (state: ServiceState, rollout: mesh.Rollout): boolean => {
    const now = clock.monotonic();
    if (rollout.phase !== 'moving' && rollout.phase !== 'completed') return false;
    if (now - rollout.phaseSince < FIRST_STEP_MS) return false;
    const isPrevious = (version: string | undefined): boolean =>
      getRole(state, version) === 'previous';
    const openCalls = targets.countOpenCalls(state.service, ({ info }) =>
      isPrevious(info.target?.version),
    );
    const isOwnPrevious = state.service === settings.service && isPrevious(ownVersion);
    const openAttempts = isOwnPrevious ? getOwnTarget().openAttempts : 0;
    const drainUntil = rollout.deadlineAt - rollout.order.durationMs * DRAIN_UNTIL_SHARE;
    return openCalls + openAttempts === 0 || now >= drainUntil;
  };

  const updateMoved = (state: ServiceState): void => {
    const { rollout } = state;
    if (!rollout || state.isMoved || !hasMoved(state, rollout)) return;
    state.isMoved = true;
    const { targetVersion } = rollout.order;
    log.info('rollout-moved', { service: state.service, targetVersion });
  };

  /** Returns whether all hosts that this one sees, which must be most of those it knows, have moved. */
  const haveAllMoved = (state: ServiceState): boolean => {
    const { offset } = state.rollout?.order ?? {};
    if (!state.isMoved || offset === undefined) return false;
    const known = getMembers()
      .list()
      .filter(({ id, status }) => status !== 'left' && id !== settings.id);
    const seen = known.filter(({ status, info }) => status === 'alive' && info.ready);
    return (
      seen.length * 2 >= known.length &&
      seen.every(({ info }) => info.rollout?.moved.includes(offset) === true)
    );
  };

  const updateOwnTarget = (target: mesh.OpenTarget | undefined): void => {
    if (!target) return;
    const incarnation = mesh.formatIncarnation(target);
    if (incarnation !== ownIncarnation) {
      ownIncarnation = incarnation;
      ownOpenedAt = clock.monotonic();
    }
    if (target.version === ownVersion) return;
    ownVersion = target.version;
    ownCounts.reset();
  };

  const listReportReceivers = (ranked: readonly string[]): string[] => {
    const canaries = states.get(settings.service)?.activeCanaries ?? [];
    return [...new Set([...ranked.slice(0, DECIDERS), ...canaries])].filter(
      (id) => id !== settings.id,
    );
  };

  const publishReport = (ranked: readonly string[], now: number): void => {
    const reported = [...states.values()].filter(
      (state) =>
        state.rollout !== undefined &&
        (isActive(state) || now - state.rollout.phaseSince < FINISHED_STAMP_MS),
    );
    if (reported.length === 0) {
      if (hasReport) getMembers().setInfo({ rollout: undefined }, []);
      hasReport = false;
      reportedKey = '';
      return;
    }
    const moved = reported
      .filter(({ isMoved }) => isMoved)
      .flatMap(({ rollout }) => (rollout ? [rollout.order.offset] : []));
    const own = reported.find(({ service }) => service === settings.service);
    const isCounting = own !== undefined && isActive(own) && ownIncarnation !== undefined;
    const isCanary = isCounting && own.rollout?.order.targetVersion === ownVersion;
    const intervalMs = isCanary
      ? CANARY_REPORT_MS
      : Math.max(OLD_REPORT_MS, REPORT_MS_PER_HOST * countServiceHosts());
    const offset = isCounting ? own.rollout?.order.offset : undefined;
    const key = [offset, ...moved].join();
    const isRepeated = isCounting || reported.some((state) => state.isMoved && isActive(state));
    const isDue = isRepeated && now - reportedAt >= intervalMs;
    if (!isDue && key === reportedKey) return;
    reportedAt = now;
    reportedKey = key;
    hasReport = true;
    const report: core.RolloutReport = {
      ...(offset === undefined ? {} : { offset }),
      version: ownVersion ?? '',
      moved,
      counts: isCounting ? ownCounts.list() : [],
    };
    getMembers().setInfo({ rollout: report }, listReportReceivers(ranked));
  };

  /** Logs what the verdict is based on; one host does. */
  const logCounts = (state: ServiceState, now: number): void => {
    if (!isActive(state) || now - loggedAt < COUNTS_LOG_MS) return;
    loggedAt = now;
    const responses = countResponses(state.canaryCounts);
    const oldResponses = countResponses(state.oldCounts);
    log.info('rollout-counts', {
      service: state.service,
      targetVersion: state.rollout?.order.targetVersion,
      phase: state.rollout?.phase,
      responses,
      share: Math.round((responses / Math.max(1, responses + oldResponses)) * 1_000) / 1_000,
      failures: sumField(state.canaryCounts, 'failures'),
      slow: sumField(state.canaryCounts, 'slow'),
      oldResponses,
      oldFailures: sumField(state.oldCounts, 'failures'),
      oldSlow: sumField(state.oldCounts, 'slow'),
      verdict: state.verdict.type,
      canaries: [...state.activeCanaries].join(),
    });
  };

  const tick = (): void => {
    const now = clock.monotonic();
    updateOwnTarget(getOwnTarget().openTarget);
    recordVersions(now);
    const isUnwritten = [...states.values()].some(
      ({ rollout }) => rollout !== undefined && rollout.record !== 'final',
    );
    const ranked = isUnwritten ? rankHosts() : [];
    const rank = Math.max(0, ranked.indexOf(settings.id));
    states.forEach((state) => {
      const { rollout } = state;
      if (!rollout) return;
      if (isActive(state)) {
        chooseActiveCanaries(state, rollout);
        sumCounts(state, rollout);
        decide(state, rank);
      }
      updateMoved(state);
      if (rank === 0) logCounts(state, now);
      writer.step(state.service, { rank, haveAllMoved: haveAllMoved(state) });
    });
    publishReport(ranked, now);
  };

  const createFilter =
    (state: ServiceState, role: mesh.VersionRole): targetTable.TargetFilter =>
    ({ id, info }) =>
      getRole(state, info.target?.version) === role &&
      (role !== 'canary' || state.activeCanaries.has(id));

  /** Returns the roles of the targets that a call may be sent to, in the order of preference. */
  const listRoles = ({ rollout }: ServiceState): mesh.VersionRole[] => {
    if (rollout?.phase !== 'moving') return ['current'];
    if (clock.monotonic() - rollout.phaseSince >= FIRST_STEP_MS) return ['current'];
    return random() < FIRST_STEP_SHARE ? ['current', 'previous'] : ['previous', 'current'];
  };

  orders.onOrder((order, isNew) => {
    const now = clock.monotonic();
    const received: mesh.Rollout = {
      order,
      phase: 'observing',
      phaseSince: now,
      deadlineAt: now + order.durationMs,
      record: isNew ? 'nothing' : 'unknown',
    };
    const state = getState(order.service);
    storeRollout(state, mesh.mergeRollout(state.rollout, received, now), 'source');
  });

  return {
    startCall(service) {
      const state = getState(service);
      const now = clock.monotonic();
      const isObserving = state.rollout?.phase === 'observing' && state.activeCanaries.size > 0;
      let mayUseCanary = isObserving && state.share?.takeCall(now) === true;
      return {
        chooseTarget(triedHosts, call) {
          if (mayUseCanary) {
            mayUseCanary = false;
            const filter = createFilter(state, 'canary');
            const placement = targets.chooseTarget(service, triedHosts, call, filter);
            if (placement) {
              metrics.count('rollout_canary_calls_total');
              return placement;
            }
            state.share?.returnCall();
          }
          for (const role of listRoles(state)) {
            const filter = createFilter(state, role);
            const placement = targets.chooseTarget(service, triedHosts, call, filter);
            if (placement) return placement;
          }
          return undefined;
        },
        hasFreeSlot: (triedHosts, mayGuess) =>
          targets.hasFreeSlot(service, triedHosts, mayGuess, createFilter(state, 'current')),
      };
    },
    mayRun(target) {
      const state = getState(target.service);
      const role = getRole(state, target.version);
      return role === 'canary' ? isWithinBound(state) : role !== 'excluded';
    },
    recordOutcome(target, route, outcome, tookMs) {
      updateOwnTarget(target);
      const now = clock.monotonic();
      const state = getState(target.service);
      const usualMs = isActive(state) ? state.usualMsByRoute.get(route) : undefined;
      const isWarm = now >= target.coldUntil && now - ownOpenedAt >= WARM_UP_MS;
      if (outcome === 'abandoned') {
        if (isWarm && tookMs !== undefined) ownCounts.recordAbandoned(route, tookMs, usualMs);
        return;
      }
      if (outcome === 'broken') {
        const isSameCause = now - lastBrokenAt < BROKEN_TOGETHER_MS;
        lastBrokenAt = now;
        if (isSameCause) return;
      }
      const isFailure = outcome !== 'done';
      ownCounts.record(route, { isFailure, tookMs: isWarm ? tookMs : undefined }, usualMs);
    },
    recordMember,
    listStamps() {
      const now = clock.monotonic();
      const rollouts = [...states.values()].flatMap(({ rollout }) => (rollout ? [rollout] : []));
      const isRecent = ({ phase, phaseSince }: mesh.Rollout): boolean =>
        !mesh.isFinalPhase(phase) || now - phaseSince < FINISHED_STAMP_MS;
      const finished = rollouts.filter((rollout) => !isRecent(rollout));
      finishedTurn += 1;
      const turn = finished[finishedTurn % Math.max(1, finished.length)];
      return [...rollouts.filter(isRecent), ...(turn ? [turn] : [])].map(
        ({ order, phase, record, deadlineAt }) => ({
          ...order,
          remainingMs: Math.max(0, Math.round(deadlineAt - now)),
          phase,
          record,
        }),
      );
    },
    receiveStamps(stamps, from) {
      const now = clock.monotonic();
      stamps.forEach(({ remainingMs, phase, record, ...order }) => {
        const received = { order, phase, record, phaseSince: now, deadlineAt: now + remainingMs };
        const state = getState(order.service);
        storeRollout(state, mesh.mergeRollout(state.rollout, received, now), from);
      });
    },
    start() {
      timer = setInterval(tick, TICK_MS);
    },
    stop() {
      clearInterval(timer);
    },
  };
}
