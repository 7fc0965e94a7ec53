import type * as core from '@figshed/core';
import type * as context from './context.js';
import type * as types from './types.js';

/** Keeps this process registered in the host registry and lists the other hosts. */
export interface Registration {
  start(): void;
  /** Registers and lists again after a random delay, because the registry has lost records. */
  renew(): void;
  stop(): void;
}

export interface RegistrationInput {
  ctx: context.MeshContext;
  hostRegistry: types.HostRegistry;
  endpoint: core.Endpoint;
  onList: (endpoints: readonly core.Endpoint[]) => void;
}

/** Shortest interval at which a host reads the registry again, for hosts that gossip has missed. */
const MIN_RELIST_INTERVAL_MS = 20_000;
/**
 * Mean time between the readings of all hosts together: what one host finds, gossip brings to the
 * others, so the readings of the fleet need not grow with it.
 */
const FLEET_RELIST_INTERVAL_MS = 500;
/** Delay before a failed request to the host registry is retried; doubles up to the maximum. */
const RETRY_DELAY_MS = 250;
/** Half of the 2 s within which a host must be registered again after an outage of the registry. */
const MAX_RETRY_DELAY_MS = 1_000;
const RELIST_JITTER_SHARE = 0.5;
/**
 * Range of the random delay of a renewal, so that 300 hosts stay within 400 requests a second; with
 * the time until a reader detects the loss, it fits into the 2 s.
 */
const RENEWAL_SPREAD_MS = 750;

/**
 * Computes the time until the next reading of the registry, in milliseconds, in a fleet of `hosts`.
 *
 * @example
 * computeRelistDelayMs(24, random);
 */
export function computeRelistDelayMs(hosts: number, random: core.Random): number {
  const intervalMs = Math.max(MIN_RELIST_INTERVAL_MS, hosts * FLEET_RELIST_INTERVAL_MS);
  return intervalMs * (1 + RELIST_JITTER_SHARE * random());
}

/**
 * Creates the registration of a process; nothing is written before `start`.
 *
 * @example
 * const registration = createRegistration({ ctx, hostRegistry, endpoint, onList });
 */
export function createRegistration(input: RegistrationInput): Registration {
  const { ctx, hostRegistry, endpoint, onList } = input;
  const { log, metrics, random } = ctx;
  let registerTimer: NodeJS.Timeout | undefined;
  let listTimer: NodeJS.Timeout | undefined;
  /** Numbers of the current loops; a new loop ends the one before, also while it awaits a response. */
  let registerLoop = 0;
  let listLoop = 0;
  let isStopped = false;

  const run = (step: () => Promise<void>): void => {
    step().catch((error: Error) => log.error('announce-failed', { message: error.message }));
  };

  const computeNextRetryMs = (retryMs: number): number => Math.min(MAX_RETRY_DELAY_MS, retryMs * 2);

  const list = async (loop: number, retryMs: number): Promise<void> => {
    let delayMs = retryMs;
    let nextRetryMs = computeNextRetryMs(retryMs);
    try {
      const endpoints = await hostRegistry.list();
      onList(endpoints);
      log.debug('hosts-listed', { hosts: endpoints.length });
      delayMs = computeRelistDelayMs(endpoints.length, random);
      nextRetryMs = RETRY_DELAY_MS;
    } catch (error) {
      const { message } = error as Error;
      log.warn('first-contact-failed', { step: 'list', message, retryMs });
    }
    if (isStopped || loop !== listLoop) return;
    listTimer = setTimeout(() => run(() => list(loop, nextRetryMs)), delayMs);
  };

  const startListing = (): void => {
    if (isStopped) return;
    clearTimeout(listTimer);
    listLoop += 1;
    const loop = listLoop;
    run(() => list(loop, RETRY_DELAY_MS));
  };

  const retryRegistration = async (loop: number, retryMs: number): Promise<void> => {
    try {
      await hostRegistry.renew();
      if (loop === registerLoop) startListing();
    } catch (error) {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two retry in turn
      scheduleRetry(loop, retryMs, error as Error);
    }
  };

  const scheduleRetry = (loop: number, retryMs: number, { message }: Error): void => {
    log.warn('first-contact-failed', { step: 'announce', message, retryMs });
    if (isStopped || loop !== registerLoop) return;
    registerTimer = setTimeout(
      () => run(() => retryRegistration(loop, computeNextRetryMs(retryMs))),
      retryMs,
    );
  };

  /**
   * Registers, then lists, also if the registration failed. Of two processes that register before
   * they list, one then finds the other.
   */
  const register = async (loop: number, write: () => Promise<void>): Promise<void> => {
    try {
      await write();
    } catch (error) {
      scheduleRetry(loop, RETRY_DELAY_MS, error as Error);
    }
    if (loop === registerLoop) startListing();
  };

  return {
    start: () => run(() => register(registerLoop, () => hostRegistry.register(endpoint))),
    renew() {
      if (isStopped) return;
      metrics.count('registrations_renewed_total');
      clearTimeout(registerTimer);
      registerLoop += 1;
      const loop = registerLoop;
      registerTimer = setTimeout(
        () => run(() => register(loop, () => hostRegistry.renew())),
        random() * RENEWAL_SPREAD_MS,
      );
    },
    stop() {
      isStopped = true;
      clearTimeout(registerTimer);
      clearTimeout(listTimer);
    },
  };
}
