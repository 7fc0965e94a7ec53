/** Sends loans and questions for tokens to keepers, and keeps the stamps of their answers. */
import type * as core from '@figshed/core';
import type * as context from '../context.js';
import * as constants from './constants.js';
import * as messages from './messages.js';

/** A loan as it is sent. */
export interface LoanToSend extends core.ShareTable {
  level: messages.Level;
  group: number;
}

/** This process's side towards keepers. */
export interface KeeperClient {
  lend(holder: core.Member, loan: LoanToSend): Promise<void>;
  take(
    holder: core.Member,
    level: messages.Level,
    wants: messages.TokenCounts,
  ): Promise<messages.TokenCounts>;
}

/** What a keeper answers; also called directly when the keeper is this very process. */
export interface KeeperMethods {
  receiveLoan(params: unknown): messages.LendAnswer;
  take(level: messages.Level, wants: messages.TokenCounts): Promise<messages.TokenCounts>;
}

/**
 * Creates the client.
 *
 * @example
 * const client = createKeeperClient(context, keeper);
 */
export function createKeeperClient(ctx: context.Context, own: KeeperMethods): KeeperClient {
  const { settings, peers, instance } = ctx;
  const stamps = new Map<string, number>();
  const request = (holder: core.Member, method: string, params: unknown): Promise<unknown> =>
    peers.request(ctx.locate(holder.info), method, params, constants.REQUEST_TIMEOUT_MS);

  return {
    async lend(holder, loan) {
      const key = `${loan.level}|${loan.group}|${holder.info.instance}`;
      const params = { ...loan, from: instance, echo: stamps.get(key) ?? null };
      const answer =
        holder.id === settings.id
          ? own.receiveLoan(params)
          : messages.lendAnswerSchema.parse(await request(holder, 'limits.lend', params));
      if (answer.instance === holder.info.instance) stamps.set(key, answer.stamp);
    },
    async take(holder, level, wants) {
      if (holder.id === settings.id) return own.take(level, wants);
      const answer = await request(holder, 'limits.take', { level, wants });
      return messages.takeAnswerSchema.parse(answer).granted;
    },
  };
}
