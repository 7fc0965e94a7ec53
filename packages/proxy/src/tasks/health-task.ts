/**
 * Records target crashes, sends them to other members, and reports whether a request is
 * quarantined. A request is identified by its fingerprint.
 */
import * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import type * as delegateTask from './delegate-task.js';
import type * as gossipTask from './gossip-task.js';

const { z } = zod;

const REPORT_TIMEOUT_MS = 1_000;
const MAX_DEATHS_PER_REPORT = 1_000;

const deathReportSchema = z.object({
  dataCentre: z.string(),
  deaths: z
    .array(z.object({ fingerprint: z.string(), deathId: z.string(), at: z.number() }))
    .max(MAX_DEATHS_PER_REPORT),
});

/** Quarantine of requests that crash targets, as this process has recorded it. */
export interface HealthTask {
  isQuarantined(fingerprint: string): boolean;
  /** Lists the fingerprints with recorded deaths. */
  list(): ReturnType<core.Quarantine['list']>;
  /** Sets the tasks that list the receivers of death reports; until then, none are sent. */
  setReceiverSources(gossip: gossipTask.GossipTask, delegate: delegateTask.DelegateTask): void;
}

/**
 * Creates the health task.
 *
 * @example
 * const health = createHealthTask(context);
 */
export function createHealthTask(ctx: context.Context): HealthTask {
  const { settings, clock, log, metrics, peerClient: peers, bus } = ctx;
  const quarantine = core.createQuarantine({
    ...core.quarantineDefaults,
    ttlMs: settings.routing.quarantineMs,
  });
  let listReceivers: (isLocalReport: boolean) => core.Member[] = () => [];

  const sendReport = (deaths: core.TargetCrash[], isLocalReport: boolean): void => {
    listReceivers(isLocalReport).forEach(({ info }) => {
      const peer = ctx.resolveEndpoint(info);
      peers
        .request(
          peer,
          'health.deaths',
          { dataCentre: settings.dataCentre, deaths },
          REPORT_TIMEOUT_MS,
        )
        .catch(() => metrics.increment('health.send-failures'));
    });
  };

  const recordDeaths = (deaths: core.TargetCrash[]): core.TargetCrash[] => {
    const newDeaths = quarantine.recordCrashes(deaths, clock.now());
    newDeaths.forEach(({ fingerprint, deathId }) => {
      const isQuarantined = quarantine.isQuarantined(fingerprint, clock.now());
      log.warn(isQuarantined ? 'request-quarantined' : 'request-suspected', {
        fingerprint,
        death: deathId,
      });
      if (isQuarantined) metrics.increment('health.quarantined');
    });
    return newDeaths;
  };

  bus.on('target-crashed', ({ deaths }) => {
    const newDeaths = recordDeaths(deaths);
    if (newDeaths.length > 0) sendReport(newDeaths, true);
  });

  ctx.peerServer.addMethods({
    'health.deaths': (params) => {
      const { dataCentre, deaths } = deathReportSchema.parse(params);
      const newDeaths = recordDeaths(deaths);
      // A report from another data centre arrives at one process here, which forwards it to the
      // others.
      if (newDeaths.length > 0 && dataCentre !== settings.dataCentre) sendReport(newDeaths, false);
      return {};
    },
  });

  return {
    isQuarantined: (fingerprint) => quarantine.isQuarantined(fingerprint, clock.now()),
    list: () => quarantine.list(clock.now()),
    setReceiverSources(gossip, delegate) {
      listReceivers = (isLocalReport) => [
        ...gossip.listReady(settings.dataCentre).filter(({ id }) => id !== settings.id),
        ...(isLocalReport ? delegate.listDelegates() : []),
      ];
    },
  };
}
