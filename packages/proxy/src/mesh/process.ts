/** Puts the tasks of one mesh process together, and starts and stops them in order. */
import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as bodies from './bodies.js';
import * as callRunner from './call-runner.js';
import * as callerServer from './caller-server.js';
import * as constants from './constants.js';
import * as configurationTask from './configuration-task.js';
import type * as contextModule from './context.js';
import * as membersModule from './members.js';
import * as peerClient from './peer-client.js';
import * as peerServer from './peer-server.js';
import * as sideServers from './side-servers.js';
import * as targetPort from './target-port.js';
import * as targetsModule from './targets.js';
import type * as types from './types.js';

/** A mesh process. */
export interface MeshProcess {
  start(): Promise<void>;
  /** Stops within the grace of the settings without cutting calls that run. */
  stop(): Promise<void>;
}

/** Callers notice that the process is not ready within two questions a second apart. */
const SERVE_AFTER_STOP_MS = 3_100;
/** Kept free at the end of the grace for the exit itself. */
const EXIT_MARGIN_MS = 400;
const STOP_POLL_MS = 20;

/**
 * Creates a mesh process on a platform.
 *
 * @example
 * const process = createMeshProcess(ctx, adapter);
 * await process.start();
 */
export function createMeshProcess(
  ctx: contextModule.MeshContext,
  adapter: types.PlatformAdapter,
): MeshProcess {
  const { settings, clock, log, metrics } = ctx;
  const held = bodies.createHeldBytes(constants.MAX_HELD_BYTES);
  let routes: mesh.RouteTable | undefined;
  let isStopping = false;
  let isRefusingPeers = false;
  let isAnnouncedReady = false;

  const targets = targetsModule.createTargets(ctx);
  const peers = peerClient.createPeerClient(ctx);

  const applyConfig = (config: mesh.MeshConfig, source: string): void => {
    const before = routes?.config.version;
    if (before !== undefined && config.version <= before) return;
    routes = mesh.compileRoutes(config);
    log.info('configuration', {
      version: config.version,
      before,
      source,
      routes: config.routes.length,
    });
    metrics.count('configurations_total', { source });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks know one another
    members.setVersion(config.version);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    callers.setLimits(config.limits);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    noteReady();
  };

  const configuration = configurationTask.createConfigurationTask({
    ctx,
    source: adapter.configuration,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- tasks know one another
    members: () => members,
    fetchFromPeer: ({ info }) => peers.fetchConfig({ address: info.address, port: info.peerPort }),
    getVersion: () => routes?.config.version,
    apply: applyConfig,
  });

  const members = membersModule.createMembers({
    ctx,
    firstContact: adapter.firstContact,
    onChange: (member) => targets.setMember(member),
    onVersion: configuration.noteVersion,
  });

  const describeTarget = (): core.TargetInfo | null => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
    const current = target.current();
    if (!current) return null;
    return {
      id: current.id,
      service: current.service,
      slots: current.slots,
      state: 'up',
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- as above
      isCold: target.isCold(),
    };
  };

  const target = targetPort.createTargetPort({
    ctx,
    endpoint: settings.target,
    onChange: () => members.setInfo({ target: describeTarget() }),
  });

  const runner = callRunner.createCallRunner({
    ctx,
    targets,
    target,
    peers,
    held,
    countProcesses: () =>
      Math.max(1, members.list().filter(({ status }) => status === 'alive').length),
  });
  const callers = callerServer.createCallerServer({
    ctx,
    getRoutes: () => routes,
    runner,
    isNested: (callId) => target.runsParentOf(callId),
    held,
  });
  const isReady = (): boolean => routes !== undefined && !isStopping;
  const noteReady = (): void => {
    if (isAnnouncedReady || !isReady()) return;
    isAnnouncedReady = true;
    members.setInfo({ ready: true });
    log.info('ready', { version: routes?.config.version });
  };
  const sides = [
    sideServers.createReadyServer(ctx, isReady),
    sideServers.createAnnouncementServer(ctx, adapter.announcements, target, held),
  ];
  const peerHttp = peerServer.createPeerServer({
    ctx,
    target,
    getConfig: () => routes?.config,
    isStopping: () => isRefusingPeers,
    held,
  });

  const waitUntilIdle = async (until: number): Promise<void> => {
    while (callers.openCalls() + target.openAttempts() > 0 && clock.monotonic() < until) {
      // eslint-disable-next-line no-await-in-loop -- a poll
      await timers.setTimeout(STOP_POLL_MS);
    }
  };

  return {
    async start() {
      log.info('start', { service: settings.service, dataCentre: settings.dataCentre });
      await new Promise<void>((resolve, reject) => {
        peerHttp.once('error', reject).listen(settings.peerPort, settings.address, resolve);
      });
      await Promise.all([
        metrics.start(settings.address, settings.metricsPort),
        callers.start(),
        members.start(),
        ...sides.map((side) => side.start()),
      ]);
      configuration.start();
    },
    async stop() {
      if (isStopping) return;
      isStopping = true;
      const stoppedAt = clock.monotonic();
      const until = stoppedAt + settings.graceMs - EXIT_MARGIN_MS;
      log.info('stopping', { openCalls: callers.openCalls(), attempts: target.openAttempts() });
      callers.drain();
      members.setInfo({ ready: false });
      adapter.firstContact
        .withdraw()
        .catch((error: Error) => log.warn('withdraw-failed', { message: error.message }));
      await timers.setTimeout(Math.min(SERVE_AFTER_STOP_MS, settings.graceMs / 2));
      isRefusingPeers = true;
      callers.close();
      await waitUntilIdle(until);
      members.leave();
      configuration.stop();
      log.info('stopped', { tookMs: Math.round(clock.monotonic() - stoppedAt) });
      log.flush();
      callers.destroy();
      sides.forEach((side) => side.stop());
      peerHttp.close();
      peerHttp.closeAllConnections();
      peers.close();
      target.stop();
      members.stop();
      metrics.stop();
    },
  };
}
