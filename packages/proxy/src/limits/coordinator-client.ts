/**
 * Sends share leases and token requests to coordinators. Each lease echoes the time stamp of the
 * coordinator's previous response, at which it starts on the coordinator's clock.
 */
import type * as core from '@figshed/core';
import type * as context from '../context.js';
import * as constants from './constants.js';
import * as messages from './messages.js';

export interface OutgoingLease extends core.ShareTable {
  level: messages.Level;
  group: number;
}

export interface CoordinatorClient {
  sendLease(coordinator: core.Member, lease: OutgoingLease): Promise<void>;
  /** Requests tokens and returns the granted counts. */
  requestTokens(
    coordinator: core.Member,
    level: messages.Level,
    wants: messages.TokenCounts,
  ): Promise<messages.TokenCounts>;
}

/** Methods of a coordinator, which are called directly when it is this process. */
export interface CoordinatorMethods {
  receiveLease(params: unknown): messages.LeaseResponse;
  grantTokens(level: messages.Level, wants: messages.TokenCounts): Promise<messages.TokenCounts>;
}

/**
 * Creates the client.
 *
 * @example
 * const client = createCoordinatorClient(context, { receiveLease, grantTokens });
 */
export function createCoordinatorClient(
  ctx: context.Context,
  local: CoordinatorMethods,
): CoordinatorClient {
  const { settings, peerClient, instance } = ctx;
  const stamps = new Map<string, number>();
  const request = (coordinator: core.Member, method: string, params: unknown): Promise<unknown> =>
    peerClient.request(
      ctx.resolveEndpoint(coordinator.info),
      method,
      params,
      constants.REQUEST_TIMEOUT_MS,
    );

  return {
    async sendLease(coordinator, lease) {
      const key = `${lease.level}|${lease.group}|${coordinator.info.instance}`;
      const params = { ...lease, from: instance, echo: stamps.get(key) ?? null };
      const response =
        coordinator.id === settings.id
          ? local.receiveLease(params)
          : messages.leaseResponseSchema.parse(await request(coordinator, 'limits.lend', params));
      if (response.instance === coordinator.info.instance) stamps.set(key, response.stamp);
    },
    async requestTokens(coordinator, level, wants) {
      if (coordinator.id === settings.id) return local.grantTokens(level, wants);
      const response = await request(coordinator, 'limits.take', { level, wants });
      return messages.takeResponseSchema.parse(response).granted;
    },
  };
}
