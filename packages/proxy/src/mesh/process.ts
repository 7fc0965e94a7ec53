import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as callerAdmission from './caller-admission.js';
import * as callRunner from './call-runner.js';
import * as callerLimits from './caller-limits.js';
import * as callerServer from './caller-server.js';
import * as configurationSender from './configuration-sender.js';
import * as configurationTask from './configuration-task.js';
import type * as context from './context.js';
import * as eventLoop from '../event-loop.js';
import * as gossipMembers from './gossip-members.js';
import * as linkUsages from './link-usage.js';
import * as loadMonitors from './load-monitor.js';
import * as peerClient from './peer-client.js';
import * as peerServer from './peer-server.js';
import * as quotas from './quota.js';
import * as quotaTask from './quota-task.js';
import * as requestQuarantine from './request-quarantine.js';
import * as rolloutTask from './rollout-task.js';
import * as stallMonitors from './stall-monitor.js';
import * as auxiliaryServers from './auxiliary-servers.js';
import * as localTarget from './local-target.js';
import * as targetTable from './target-table.js';
import type * as types from './types.js';

/** A mesh process: all its tasks, started and stopped in order. */
export interface MeshProcess {
  start(): Promise<void>;
  /**
   * Stops within `graceMs`; running calls may finish before connections are closed. A further call
   * waits for the same stop.
   */
  stop(): Promise<void>;
}

/**
 * How long calls are still accepted once a stop has begun, unless half of `graceMs` is shorter.
 * Callers poll readiness every second and detect within two polls that the process is not ready.
 */
const SERVE_AFTER_STOP_MS = 3_100;
/** Part of `graceMs` reserved for the last responses and the exit itself. */
const EXIT_MARGIN_MS = 400;
/** Time to write the responses of calls that are ended by the stop; half of the exit margin. */
const LAST_RESPONSES_MS = 200;
const STOP_POLL_MS = 20;

/**
 * Creates a mesh process that runs on a platform.
 *
 * @example
 * const process = createMeshProcess(ctx, adapter);
 * await process.start();
 */
export function createMeshProcess(
  ctx: context.MeshContext,
  adapter: types.PlatformAdapter,
): MeshProcess {
  const { settings, clock, log, metrics } = ctx;
  const byteBudget = callerLimits.createHeldMemoryBudget(settings);
  let routes: mesh.RouteTable | undefined;
  let isStopping = false;
  let stopped: Promise<void> | undefined;
  let isRefusingPeers = false;
  let hasAnnouncedReady = false;

  const stallMonitor = stallMonitors.createStallMonitor(ctx);
  const loadMonitor = loadMonitors.createLoadMonitor(ctx);
  // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks depend on one another
  const targets = targetTable.createTargetTable(ctx, () => target);
  const linkUsage = linkUsages.createLinkUsage(ctx);
  const peers = peerClient.createPeerClient(ctx, linkUsage);

  const history = mesh.createConfigHistory(mesh.configHistoryDefaults);

  const applyConfig: configurationTask.ConfigurationTaskInput['applyConfig'] = (
    config,
    source,
    transfer,
  ) => {
    const before = routes?.config.version;
    if (before !== undefined && config.version <= before) return;
    routes = mesh.compileRoutes(history.record(config));
    log.info('configuration', {
      version: config.version,
      before,
      source,
      routes: config.routes.length,
      ...transfer,
    });
    metrics.count('configurations_total', { source });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks depend on one another
    members.setVersion(config.version);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    callers.setLimits(config.limits);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    quota.setAccounts(config.accounts ?? []);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    announceReady();
  };

  const configuration = configurationTask.createConfigurationTask({
    ctx,
    source: adapter.configurationSource,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks depend on one another
    getMembers: () => members,
    fetchFromPeer: ({ info }) =>
      peers.fetchConfig({ address: info.address, port: info.peerPort }, history.listSnapshots()),
    getVersion: () => routes?.config.version,
    applyConfig,
  });

  const members = gossipMembers.createMembers({
    ctx,
    hostRegistry: adapter.hostRegistry,
    sourceEpoch: adapter.sourceEpoch,
    onChange(member) {
      targets.setMember(member);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks depend on one another
      quarantine.applyMember(member.info);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
      rollouts.recordMember(member);
    },
    onRecalled(info) {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
      if (info.departedTarget !== undefined) target.recallDeparted(info.departedTarget);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
      quarantine.recall(info);
    },
    onVersion: configuration.recordVersion,
    getProof: configuration.getProof,
    onProof: configuration.recordProof,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks depend on one another
    listRollouts: () => rollouts.listStamps(),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    onRollouts: (stamps, from) => rollouts.receiveStamps(stamps, from),
  });

  const describeTarget = (): core.TargetInfo | null => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    const current = target.getOpenTarget();
    if (!current) return null;
    return {
      id: mesh.formatIncarnation(current),
      service: current.service,
      slots: current.slots,
      state: 'up',
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
      isCold: target.isCold(),
      ...(settings.rollout && current.version !== undefined ? { version: current.version } : {}),
    };
  };

  const quarantine = requestQuarantine.createRequestQuarantine({
    ctx,
    listHostIds: () =>
      members
        .list()
        .filter(
          ({ id, status, info }) =>
            id === settings.id || (status === 'alive' && info.target?.service === settings.service),
        )
        .map(({ id }) => id),
    onChange: () => members.setInfo(quarantine.getRecords()),
  });

  const workEstimates = mesh.createWorkEstimates(mesh.workEstimateDefaults);
  const rollouts = rolloutTask.createRolloutTask({
    ctx,
    orders: adapter.rolloutOrders,
    statuses: adapter.rolloutStatuses,
    targets,
    getMembers: () => members,
    getOwnTarget: () => ({
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks depend on one another
      openTarget: target.getOpenTarget(),
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
      openAttempts: target.countOpenAttempts(),
    }),
  });

  const target = localTarget.createLocalTarget({
    ctx,
    quarantine,
    workEstimates,
    rollouts,
    endpoint: settings.target,
    getHealthPath: () =>
      routes?.config.services.find(({ name }) => name === settings.service)?.healthPath,
    onChange: () =>
      members.setInfo({
        target: describeTarget(),
        departedTarget: target.getDeparted(),
      }),
  });

  const runner = callRunner.createCallRunner({
    ctx,
    targets,
    target,
    peers,
    quarantine,
    workEstimates,
    rollouts,
    byteBudget,
    countProcesses: () =>
      Math.max(1, members.list().filter(({ status }) => status === 'alive').length),
  });
  const quota = settings.quota
    ? quotaTask.createQuotaTask({ ctx, bounds: settings.quota, members })
    : quotas.createUnlimitedQuota();
  const callers = callerServer.createCallerServer({
    ctx,
    linkUsage,
    getRoutes: () => routes,
    configuration,
    admission: callerAdmission.createCallerAdmission({ ctx, configuration, quota }),
    runner,
    isNested: (callId) => target.isRunningParentOf(callId),
    byteBudget,
  });
  const isReady = (): boolean => routes !== undefined && !isStopping;
  const announceReady = (): void => {
    if (hasAnnouncedReady || !isReady()) return;
    hasAnnouncedReady = true;
    members.setInfo({ ready: true });
    log.info('ready', { version: routes?.config.version });
  };
  const localServers = [
    auxiliaryServers.createReadyServer(ctx, isReady),
    auxiliaryServers.createAnnouncementServer(ctx, adapter.announcementParser, target, byteBudget),
  ];
  const peerAttempts = peerServer.createPeerServer({
    ctx,
    linkUsage,
    target,
    configurationSender: configurationSender.createConfigurationSender(ctx, history),
    isStopping: () => isRefusingPeers,
    byteBudget,
  });

  /** A response to a peer may still be waiting for the link after its attempt has ended. */
  const isIdle = (): boolean =>
    callers.countOpenCalls() + target.countOpenAttempts() + peerAttempts.countOpenAttempts() === 0;

  /** Callers that have not closed their ended connections may not have received all bytes. */
  const isDrained = (): boolean => isIdle() && callers.countEndingConnections() === 0;

  const waitUntil = async (isDone: () => boolean, deadlineAt: number): Promise<void> => {
    while (!isDone() && clock.monotonic() < deadlineAt) {
      // eslint-disable-next-line no-await-in-loop -- a poll
      await timers.setTimeout(STOP_POLL_MS);
    }
  };

  const stopTasks = async (): Promise<void> => {
    isStopping = true;
    const stoppedAt = clock.monotonic();
    const deadlineAt = stoppedAt + settings.graceMs - EXIT_MARGIN_MS;
    log.info('stopping', {
      openCalls: callers.countOpenCalls(),
      attempts: target.countOpenAttempts(),
    });
    callers.drain(deadlineAt);
    members.setInfo({ ready: false });
    adapter.hostRegistry
      .deregister()
      .catch((error: Error) => log.warn('withdraw-failed', { message: error.message }));
    await timers.setTimeout(Math.min(SERVE_AFTER_STOP_MS, settings.graceMs / 2));
    // Calls that arrived while the process was busy are still accepted on connections about to close.
    await eventLoop.waitForSocketPoll();
    isRefusingPeers = true;
    callers.close();
    await waitUntil(isDrained, deadlineAt);
    runner.expireOpenCalls();
    await waitUntil(isIdle, deadlineAt + LAST_RESPONSES_MS);
    members.leave();
    configuration.stop();
    rollouts.stop();
    log.info('stopped', {
      tookMs: Math.round(clock.monotonic() - stoppedAt),
      openCalls: callers.countOpenCalls(),
      attempts: target.countOpenAttempts() + peerAttempts.countOpenAttempts(),
    });
    callers.destroy();
    localServers.forEach((server) => server.stop());
    peerAttempts.destroy();
    peers.close();
    target.stop();
    quota.stop();
    members.stop();
    stallMonitor.stop();
    loadMonitor.stop();
    linkUsage.stop();
    metrics.stop();
    // The responses that were cut are logged when their connections have closed.
    await eventLoop.waitForSocketPoll();
    log.flush();
  };

  return {
    async start() {
      log.info('start', { service: settings.service, dataCentre: settings.dataCentre });
      await peerAttempts.start();
      await Promise.all([
        metrics.start(settings.address, settings.metricsPort),
        callers.start(),
        members.start(),
        quota.start(),
        ...localServers.map((server) => server.start()),
      ]);
      configuration.start();
      rollouts.start();
      stallMonitor.start();
      loadMonitor.start();
      linkUsage.start();
    },
    stop() {
      stopped ??= stopTasks();
      return stopped;
    },
  };
}
