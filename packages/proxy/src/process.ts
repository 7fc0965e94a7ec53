import * as timers from 'node:timers/promises';
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as uuid from 'uuid';
import * as messageBus from './bus.js';
import * as remoteAttempts from './calls/remote-attempts.js';
import type * as types from './calls/types.js';
import type * as context from './context.js';
import * as peerHttpServer from './egress/peer-http-server.js';
import * as callRunner from './ingress/call-runner.js';
import * as callerServer from './ingress/caller-server.js';
import type * as schema from './settings/schema.js';
import * as configTask from './tasks/config-task.js';
import * as delegateTask from './tasks/delegate-task.js';
import * as gossipTask from './tasks/gossip-task.js';
import * as healthTask from './tasks/health-task.js';
import * as operatorMethods from './tasks/operator-methods.js';
import * as limitTask from './tasks/limit-task.js';
import * as orderTask from './tasks/order-task.js';
import * as targetTask from './tasks/target-task.js';

/** One proxy with all its tasks. */
export interface ProxyProcess {
  /**
   * Starts the proxy; resolves when it accepts callers, or when it is stopped while it waits for a
   * configuration.
   */
  start(): Promise<void>;
  /** Stops the proxy; calls in flight may finish within `stop.graceMs`. */
  stop(): Promise<void>;
}

const ATTEMPT_STATE_TIMEOUT_MS = 500;
const IN_FLIGHT_POLL_MS = 20;
const RANDOM_SEED_RANGE = 0x7fffffff;

function createContext(settings: schema.Settings, write: (text: string) => void): context.Context {
  const clock = runtime.systemClock;
  const log = runtime.createLogger({
    level: settings.log.level,
    commonFields: { node: settings.id },
    now: clock.now,
    write,
  });
  const metrics = runtime.createMetrics(settings.metrics);
  const reportError = (operation: string, error: unknown): void => {
    const isInvariantError = error instanceof core.InvariantError;
    metrics.increment(isInvariantError ? 'invariant-failures' : 'errors');
    log.error(isInvariantError ? 'invariant-failed' : 'error', {
      during: operation,
      message: error instanceof Error ? error.message : String(error),
      stack: error instanceof Error ? error.stack : undefined,
    });
  };
  return {
    settings,
    instance: uuid.v7(),
    clock,
    random: runtime.createSeededRandom(
      core.computeHash32(`${settings.id}|${clock.now()}`) % RANDOM_SEED_RANGE,
    ),
    log,
    metrics,
    bus: messageBus.createBus(),
    logClient: runtime.createLogClient({
      url: settings.platform.logUrl,
      timeoutMs: settings.platform.timeoutMs,
    }),
    peerClient: runtime.createPeerClient(settings.fleetKey),
    peerServer: runtime.createPeerServer(settings.fleetKey, (error) => reportError('rpc', error)),
    resolveEndpoint: ({ dataCentre, address, peerPort }) => ({
      address: settings.gateways[dataCentre]?.address ?? address,
      port: peerPort,
    }),
    reportError,
  };
}

/**
 * Creates a proxy from its settings.
 *
 * @example
 * const proxy = createProxyProcess(settings, (text) => process.stdout.write(text));
 * await proxy.start();
 */
export function createProxyProcess(
  settings: schema.Settings,
  write: (text: string) => void,
): ProxyProcess {
  const ctx = createContext(settings, write);
  const { clock, log, bus } = ctx;
  const health = healthTask.createHealthTask(ctx);
  const gossip = gossipTask.createGossipTask(ctx);
  const target = targetTask.createTargetTask(ctx, health);
  const config = configTask.createConfigTask(ctx, gossip);
  const delegate = delegateTask.createDelegateTask(ctx, gossip, config);
  const orders = orderTask.createOrderTask(ctx, gossip);
  const limits = limitTask.createLimitTask(ctx, gossip, config);
  const remote = remoteAttempts.createRemoteAttempts(ctx);
  const targetTable = core.createTargetTable({
    dataCentre: settings.dataCentre,
    region: settings.region,
    choice: {
      ...core.targetChoiceDefaults,
      slowStartMs: settings.routing.slowStartMs,
      spillLoad: settings.routing.spillLoad,
    },
    circuit: { ...core.circuitBreakerDefaults, openMs: settings.routing.circuitOpenMs },
    random: ctx.random,
  });
  health.setReceiverSources(gossip, delegate);

  const requestAttemptState = (
    member: core.Member,
    attemptId: string,
  ): Promise<types.AttemptState> =>
    ctx.peerClient.requestOverNewConnection(
      ctx.resolveEndpoint(member.info),
      'calls.ask',
      { attemptId, instance: member.info.instance },
      ATTEMPT_STATE_TIMEOUT_MS,
    ) as Promise<types.AttemptState>;

  const runner = callRunner.createCallRunner(ctx, {
    targetTable,
    retryBudget: core.createRetryBudget({
      ...core.retryBudgetDefaults,
      ratio: settings.routing.retryRatio,
    }),
    getMember: (id) => gossip.membership.getMember(id),
    isLocal: (id) => id === settings.id,
    runLocal: (request, handler) => target.egress.run(request, handler),
    runRemote: (member, request, handler) => remote.run(member, request, handler),
    replaceConnections: (member) => remote.replaceConnections(member),
    isQuarantined: health.isQuarantined,
    requestAttemptState,
  });
  const callers = callerServer.createCallerServer(ctx, {
    getConfig: () => config.getCurrent(),
    runner,
    orders,
    limits,
    isQuarantined: health.isQuarantined,
  });

  const peers = peerHttpServer.createPeerHttpServer(ctx, target.egress);

  bus.on('member-changed', ({ member }) => targetTable.setMember(member, clock.monotonic()));
  ctx.peerServer.addMethods({
    'calls.ask': (params) => {
      const { attemptId, instance } = params as { attemptId: string; instance: string };
      return target.egress.getAttemptState(String(attemptId), String(instance));
    },
    ...operatorMethods.createOperatorMethods(ctx, {
      gossip,
      config,
      orders,
      health,
      callers,
      limits,
      delegate,
      egress: target.egress,
    }),
  });

  let isStopping = false;

  const waitForCallsInFlight = async (): Promise<void> => {
    const until = clock.monotonic() + settings.stop.graceMs;
    const countOpen = () =>
      callers.countInFlight() +
      callers.countUnsent() +
      target.egress.countInFlight() +
      peers.countUnsent();
    while (countOpen() > 0 && clock.monotonic() < until) {
      // eslint-disable-next-line no-await-in-loop
      await timers.setTimeout(IN_FLIGHT_POLL_MS);
    }
  };

  return {
    async start() {
      await peers.start();
      await gossip.start();
      await config.start();
      await target.start();
      await delegate.start();
      await orders.start();
      await limits.start();
      // eslint-disable-next-line no-await-in-loop -- sequential waits
      while (!isStopping && !(await config.waitForConfig(settings.startTimeoutMs))) {
        log.warn('no-configuration', { waitedMs: settings.startTimeoutMs });
      }
      if (isStopping) return;
      await limits.waitUntilJoined();
      await callers.start();
      gossip.setInfo({ ready: true });
      log.info('ready', { version: config.getCurrent()?.version });
    },
    async stop() {
      isStopping = true;
      log.info('stopping', { inFlight: callers.countInFlight() + target.egress.countInFlight() });
      gossip.setInfo({ ready: false });
      gossip.pingRandomMembers(settings.membership.maxPiggyback);
      callers.drain();
      await timers.setTimeout(settings.stop.announceMs);
      target.egress.drain();
      callers.close();
      await waitForCallsInFlight();
      await callers.stop();
      await orders.stop();
      gossip.leave();
      await delegate.stop();
      await config.stop();
      await limits.stop();
      await timers.setTimeout(IN_FLIGHT_POLL_MS);
      await gossip.stop();
      await target.stop();
      remote.close();
      await peers.stop();
      await ctx.peerClient.close();
      await ctx.logClient.close();
      ctx.metrics.close();
      log.info('stopped');
      log.flush();
    },
  };
}
