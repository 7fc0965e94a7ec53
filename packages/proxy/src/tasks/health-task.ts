/** Spreads the news of requests that crash targets, and answers whether one is quarantined. */
import * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import type * as delegateTask from './delegate-task.js';
import type * as gossipTask from './gossip-task.js';

const { z } = zod;

const SEND_TIMEOUT_MS = 1_000;
const MAX_DEATHS = 1_000;

const newsSchema = z.object({
  dataCentre: z.string(),
  deaths: z
    .array(z.object({ fingerprint: z.string(), deathId: z.string(), at: z.number() }))
    .max(MAX_DEATHS),
});

/** The quarantine of this process. */
export interface HealthTask {
  isQuarantined(fingerprint: string): boolean;
  list(): ReturnType<core.Quarantine['list']>;
  /** Connects the task to those that know where to send the news. */
  connect(gossip: gossipTask.GossipTask, delegate: delegateTask.DelegateTask): void;
}

/**
 * Creates the health task.
 *
 * @example
 * const health = createHealthTask(context);
 */
export function createHealthTask(ctx: context.Context): HealthTask {
  const { settings, clock, log, metrics, peers, bus } = ctx;
  const quarantine = core.createQuarantine({
    ...core.quarantineDefaults,
    ttlMs: settings.routing.quarantineMs,
  });
  let listReceivers: (isFromHere: boolean) => core.Member[] = () => [];

  const spread = (deaths: core.Death[], isFromHere: boolean): void => {
    listReceivers(isFromHere).forEach(({ info }) => {
      const peer = ctx.locate(info);
      peers
        .request(
          peer,
          'health.deaths',
          { dataCentre: settings.dataCentre, deaths },
          SEND_TIMEOUT_MS,
        )
        .catch(() => metrics.increment('health.send-failures'));
    });
  };

  const noteDeaths = (deaths: core.Death[]): core.Death[] => {
    const fresh = quarantine.noteDeaths(deaths, clock.now());
    fresh.forEach(({ fingerprint, deathId }) => {
      const isQuarantined = quarantine.isQuarantined(fingerprint, clock.now());
      log.warn(isQuarantined ? 'request-quarantined' : 'request-suspected', {
        fingerprint,
        death: deathId,
      });
      if (isQuarantined) metrics.increment('health.quarantined');
    });
    return fresh;
  };

  bus.on('target-died', ({ deaths }) => {
    const fresh = noteDeaths(deaths);
    if (fresh.length > 0) spread(fresh, true);
  });

  ctx.peerServer.addMethods({
    'health.deaths': (params) => {
      const { dataCentre, deaths } = newsSchema.parse(params);
      const fresh = noteDeaths(deaths);
      // News from another data centre reached one process here, which tells the others.
      if (fresh.length > 0 && dataCentre !== settings.dataCentre) spread(fresh, false);
      return {};
    },
  });

  return {
    isQuarantined: (fingerprint) => quarantine.isQuarantined(fingerprint, clock.now()),
    list: () => quarantine.list(clock.now()),
    connect(gossip, delegate) {
      listReceivers = (isFromHere) => [
        ...gossip.listReady(settings.dataCentre).filter(({ id }) => id !== settings.id),
        ...(isFromHere ? delegate.listDelegates() : []),
      ];
    },
  };
}
