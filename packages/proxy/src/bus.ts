import type * as core from '@figshed/core';

/** Payloads of the messages between the tasks of one process, by message type. */
export interface Messages {
  'member-changed': { member: core.Member; before: core.Member | undefined };
  'watermark-received': { id: string; mark: core.ConfigWatermark };
  'config-applied': { config: core.CompiledConfig; source: string };
  'target-changed': { target: core.TargetInfo | null };
  'target-crashed': { crashes: core.TargetCrash[] };
  'order-done': { orderKey: string; claimId: string; answer: core.OrderAnswer };
}

/** Delivers messages to the registered handlers, synchronously and in the order of registration. */
export interface Bus {
  on<K extends keyof Messages>(type: K, handler: (message: Messages[K]) => void): void;
  send<K extends keyof Messages>(type: K, message: Messages[K]): void;
}

/**
 * Creates a bus without handlers.
 *
 * @example
 * const bus = createBus();
 * bus.on('target-changed', ({ target }) => gossip.setInfo({ target }));
 */
export function createBus(): Bus {
  const handlers = new Map<keyof Messages, ((message: never) => void)[]>();
  return {
    on(type, handler) {
      handlers.set(type, [...(handlers.get(type) ?? []), handler]);
    },
    send(type, message) {
      handlers.get(type)?.forEach((handler) => handler(message as never));
    },
  };
}
