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

/** How often the host registry is read again, for hosts that gossip has missed. */
const RELIST_INTERVAL_MS = 20_000;
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
 * Creates the registration of a process; nothing is written before `start`.
 *
 * @example
 * const registration = createRegistration({ ctx, hostRegistry, endpoint, onList });
 */
export function createRegistration(input: RegistrationInput): Registration {
  const { ctx, hostRegistry, endpoint, onList } = input;
  const { log, metrics, random } = ctx;
  let timer: NodeJS.Timeout | undefined;
  /** Number of the current round; a renewal begins a new one and ends the one before. */
  let round = 0;
  let isStopped = false;

  const schedule = (ownRound: number, delayMs: number, step: () => Promise<void>): void => {
    if (isStopped || ownRound !== round) return;
    timer = setTimeout(() => {
      step().catch((error: Error) => log.error('announce-failed', { message: error.message }));
    }, delayMs);
  };

  const list = async (ownRound: number, retryMs: number): Promise<void> => {
    try {
      const endpoints = await hostRegistry.list();
      onList(endpoints);
      log.debug('hosts-listed', { hosts: endpoints.length });
      const delayMs = RELIST_INTERVAL_MS * (1 + RELIST_JITTER_SHARE * random());
      schedule(ownRound, delayMs, () => list(ownRound, RETRY_DELAY_MS));
    } catch (error) {
      const { message } = error as Error;
      log.warn('first-contact-failed', { step: 'list', message, retryMs });
      const nextRetryMs = Math.min(MAX_RETRY_DELAY_MS, retryMs * 2);
      schedule(ownRound, retryMs, () => list(ownRound, nextRetryMs));
    }
  };

  /** Registers before listing: of two processes that do so at once, one then finds the other. */
  const register = async (
    ownRound: number,
    write: () => Promise<void>,
    retryMs: number,
  ): Promise<void> => {
    try {
      await write();
    } catch (error) {
      const { message } = error as Error;
      log.warn('first-contact-failed', { step: 'announce', message, retryMs });
      const nextRetryMs = Math.min(MAX_RETRY_DELAY_MS, retryMs * 2);
      schedule(ownRound, retryMs, () =>
        register(ownRound, () => hostRegistry.renew(), nextRetryMs),
      );
      return;
    }
    if (!isStopped && ownRound === round) await list(ownRound, RETRY_DELAY_MS);
  };

  return {
    start() {
      register(round, () => hostRegistry.register(endpoint), RETRY_DELAY_MS).catch((error: Error) =>
        log.error('announce-failed', { message: error.message }),
      );
    },
    renew() {
      round += 1;
      clearTimeout(timer);
      metrics.count('registrations_renewed_total');
      const renewedRound = round;
      schedule(renewedRound, random() * RENEWAL_SPREAD_MS, () =>
        register(renewedRound, () => hostRegistry.renew(), RETRY_DELAY_MS),
      );
    },
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
