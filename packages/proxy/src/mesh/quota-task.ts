/** Socket and timers of the quotas: coordinator and spender of this host. */
import * as dgram from 'node:dgram';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import type * as context from './context.js';
import type * as gossipMembers from './gossip-members.js';
import * as quotaCodec from './quota-codec.js';
import type * as quotas from './quota.js';
import * as quotaView from './quota-view.js';

export interface QuotaTaskInput {
  ctx: context.MeshContext;
  bounds: NonNullable<context.MeshContext['settings']['quota']>;
  members: Pick<gossipMembers.Members, 'list' | 'countKnownHosts'>;
}

const MS_PER_SECOND = 1_000;
const TICK_INTERVAL_MS = 100;
/** Interval of the timers while calls wait for a token. */
const WAITING_TICK_MS = 20;
/** The port above `peerPort` takes the datagrams of the quotas. */
const PORT_OFFSET = 1;
/**
 * Parts of the slack, as a rate per second and as a burst, for shares that an earlier process may have
 * leased to others as well. Over the 2 s of a lease they stay within the slack.
 */
const PROVISIONAL_RATE_SHARE = 0.4;
const PROVISIONAL_BURST_SHARE = 0.1;
const MIN_TOKEN_TTL_MS = 100;
/**
 * Exchanges of a host with itself in one turn: a first contact, the request it makes possible and a
 * further coordinator.
 */
const MAX_LOCAL_EXCHANGES = 4;

/**
 * Creates the quota of a deployment with limits. It opens no socket before `setAccounts` has been
 * called with an account that has a limit.
 *
 * @example
 * const quota = createQuotaTask({ ctx, bounds: settings.quota, members });
 * quota.setAccounts(config.accounts ?? []);
 */
export function createQuotaTask({ ctx, bounds, members }: QuotaTaskInput): quotas.Quota {
  const { settings, clock, log, metrics, random } = ctx;
  const { id } = settings;
  const options: mesh.QuotaOptions = {
    ...mesh.quotaDefaults,
    // Tokens that are spent late add to a window what came in during their life.
    tokenTtlMs: Math.max(
      MIN_TOKEN_TTL_MS,
      Math.min(mesh.quotaDefaults.tokenTtlMs, bounds.overage * bounds.windowMs),
    ),
    provisionalPerSecond: bounds.slack * PROVISIONAL_RATE_SHARE,
    provisionalBurst: bounds.slack * PROVISIONAL_BURST_SHARE,
  };
  const spender = mesh.createQuotaSpender({
    id,
    clock,
    random,
    options,
    startedAt: clock.monotonic() - process.uptime() * MS_PER_SECOND,
  });
  const coordinator = mesh.createQuotaCoordinator({
    id,
    clock,
    random,
    options,
    onSuspended() {
      metrics.count('quota_suspensions_total');
      log.warn('quota-suspended');
    },
  });
  const view = quotaView.createQuotaView(ctx, members, options.maxCoordinators);
  let accounts: readonly mesh.ClientAccount[] = [];
  let socket: dgram.Socket | undefined;
  let tickTimer: NodeJS.Timeout | undefined;
  let waitingTimer: NodeJS.Timeout | undefined;
  let isFlushScheduled = false;
  let isStarted = false;
  let isStopped = false;
  let loggedCoordinators = '';

  const sendDatagram = (to: core.Endpoint, kind: string, bytes: Uint8Array): void => {
    metrics.count('quota_datagrams_total', { kind });
    socket?.send(bytes, to.port, to.address, (error) => {
      if (error) metrics.count('quota_send_failures_total');
    });
  };

  const countGranted = ({ answers }: mesh.QuotaReply): void => {
    const granted = answers.reduce((sum, answer) => sum + answer.granted, 0);
    if (granted > 0) metrics.count('quota_tokens_granted_total', {}, granted);
  };

  const receiveRequest = (request: mesh.QuotaRequest): mesh.QuotaReply | undefined => {
    const reply = coordinator.receive(request);
    if (reply) countGranted(reply);
    return reply;
  };

  /** Sends what is due; a request to this host itself is answered at once. */
  const flush = (): void => {
    for (let exchange = 0; exchange < MAX_LOCAL_EXCHANGES; exchange += 1) {
      const requests = spender.takeRequests();
      const ownRequests = requests.filter(({ to }) => to === id);
      requests.forEach(({ to, request }) => {
        const endpoint = to === id ? undefined : view.findEndpoint(to);
        if (!endpoint) return;
        const port = endpoint.port + PORT_OFFSET;
        sendDatagram({ ...endpoint, port }, 'request', quotaCodec.encodeQuotaRequest(request));
      });
      ownRequests.forEach(({ request }) => {
        const reply = receiveRequest(request);
        if (reply) spender.receive(reply);
      });
      if (ownRequests.length === 0) return;
    }
  };

  /** Lets calls of one turn of the event loop share a datagram. */
  const scheduleFlush = (): void => {
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    setImmediate(() => {
      isFlushScheduled = false;
      if (!isStopped) flush();
    });
  };

  const logCoordinators = (): void => {
    const coordinators = spender.getCoordinators().join(',');
    if (coordinators === loggedCoordinators) return;
    loggedCoordinators = coordinators;
    log.info('quota-coordinators', { coordinators, knownHosts: view.get().knownHosts });
  };

  const tick = (): void => {
    if (view.update()) {
      spender.setView(view.get());
      coordinator.setKnownHosts(view.get().knownHosts ?? 0);
    }
    spender.tick();
    flush();
    logCoordinators();
  };

  const scheduleWaitingTick = (): void => {
    if (waitingTimer !== undefined || isStopped) return;
    waitingTimer = setTimeout(() => {
      waitingTimer = undefined;
      spender.tick();
      flush();
      if (spender.countWaiting() > 0) scheduleWaitingTick();
    }, WAITING_TICK_MS);
  };

  const receive = (bytes: Buffer, from: core.Endpoint): void => {
    let message;
    try {
      message = quotaCodec.decodeQuotaMessage(bytes);
    } catch (error) {
      metrics.count('quota_refused_datagrams_total');
      log.debug('quota-datagram-refused', {
        from: from.address,
        message: (error as Error).message,
      });
      return;
    }
    if (message.type === 'request') {
      const reply = receiveRequest(message.request);
      if (reply) sendDatagram(from, 'reply', quotaCodec.encodeQuotaReply(reply));
      return;
    }
    if (!spender.receive(message.reply)) metrics.count('quota_late_replies_total');
    scheduleFlush();
  };

  const open = (): void => {
    const hasLimits = accounts.some(({ ratePerSecond }) => ratePerSecond > 0);
    if (socket || !isStarted || isStopped || !hasLimits) return;
    socket = dgram.createSocket('udp4');
    socket.on('message', receive);
    socket.on('error', (error) => log.error('quota-socket', { message: error.message }));
    socket.bind(settings.peerPort + PORT_OFFSET, settings.address);
    tickTimer = setInterval(tick, TICK_INTERVAL_MS);
    tick();
  };

  const countVerdict = (
    verdict: quotas.QuotaVerdict,
    admittedAt: number,
    hasWaited: boolean,
  ): quotas.QuotaVerdict => {
    metrics.count('quota_verdicts_total', { verdict: verdict.type, waited: String(hasWaited) });
    if (hasWaited) metrics.observe('quota_wait_ms', clock.monotonic() - admittedAt);
    return verdict;
  };

  return {
    setAccounts(nextAccounts) {
      accounts = nextAccounts;
      coordinator.setAccounts(accounts);
      open();
    },
    admit(account) {
      if (account.ratePerSecond <= 0) return { type: 'admitted' };
      const admittedAt = clock.monotonic();
      let settled: quotas.QuotaVerdict | undefined;
      let settleLater = (verdict: quotas.QuotaVerdict): void => {
        settled = verdict;
      };
      const verdict = spender.admit(account, (later) => settleLater(later));
      if (verdict) return countVerdict(verdict, admittedAt, false);
      if (view.isOwnCoordinator(spender.getCoordinators())) flush();
      if (settled) return countVerdict(settled, admittedAt, false);
      scheduleFlush();
      scheduleWaitingTick();
      return new Promise((resolve) => {
        settleLater = (later) => resolve(countVerdict(later, admittedAt, true));
      });
    },
    start() {
      isStarted = true;
      open();
      return Promise.resolve();
    },
    stop() {
      isStopped = true;
      clearInterval(tickTimer);
      clearTimeout(waitingTimer);
      socket?.close();
    },
  };
}
