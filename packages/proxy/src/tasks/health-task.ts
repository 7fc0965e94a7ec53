/**
 * Records the crashes of targets, sends reports of them to other members, and determines whether a
 * request is quarantined. A request is identified by its fingerprint.
 */
import * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import type * as delegateTask from './delegate-task.js';
import type * as gossipTask from './gossip-task.js';

const { z } = zod;

const REPORT_TIMEOUT_MS = 1_000;
const MAX_CRASHES_PER_REPORT = 1_000;

const crashReportSchema = z.object({
  dataCentre: z.string(),
  deaths: z
    .array(z.object({ fingerprint: z.string(), deathId: z.string(), at: z.number() }))
    .max(MAX_CRASHES_PER_REPORT),
});

const completionReportSchema = z.object({
  dataCentre: z.string(),
  cleared: z
    .array(z.object({ fingerprint: z.string(), deathIds: z.array(z.string()) }))
    .max(MAX_CRASHES_PER_REPORT),
});

/** Quarantine of requests that crash targets, by the crashes that this process has recorded. */
export interface HealthTask {
  isQuarantined(fingerprint: string): boolean;
  /** Records that the target beside this process has completed a request. */
  recordCompletion(fingerprint: string): void;
  /** Lists the fingerprints of requests during which targets crashed. */
  listFingerprints(): ReturnType<core.Quarantine['list']>;
  /** Sets the tasks that list the receivers of crash reports; until then none are sent. */
  setReceiverSources(gossip: gossipTask.GossipTask, delegate: delegateTask.DelegateTask): void;
}

/**
 * Creates the health task.
 *
 * @example
 * const health = createHealthTask(context);
 */
export function createHealthTask(ctx: context.Context): HealthTask {
  const { settings, clock, log, metrics, peerClient, bus } = ctx;
  const quarantine = core.createQuarantine({
    ...core.quarantineDefaults,
    ttlMs: settings.routing.quarantineMs,
  });
  let listReceivers: (isLocalReport: boolean) => core.Member[] = () => [];

  const sendReport = (method: string, report: object, isLocalReport: boolean): void => {
    listReceivers(isLocalReport).forEach(({ info }) => {
      peerClient
        .request(
          ctx.resolveEndpoint(info),
          method,
          { dataCentre: settings.dataCentre, ...report },
          REPORT_TIMEOUT_MS,
        )
        .catch(() => metrics.increment('health.send-failures'));
    });
  };

  const recordCrashes = (crashes: core.TargetCrash[]): core.TargetCrash[] => {
    const newCrashes = quarantine.recordCrashes(crashes, clock.now());
    newCrashes.forEach(({ fingerprint, deathId }) => {
      const isQuarantined = quarantine.isQuarantined(fingerprint, clock.now());
      log.warn(isQuarantined ? 'request-quarantined' : 'request-suspected', {
        fingerprint,
        death: deathId,
      });
      if (isQuarantined) metrics.increment('health.quarantined');
    });
    return newCrashes;
  };

  bus.on('target-crashed', ({ crashes }) => {
    const newCrashes = recordCrashes(crashes);
    if (newCrashes.length > 0) sendReport('health.deaths', { deaths: newCrashes }, true);
  });

  ctx.peerServer.addMethods({
    'health.deaths': (params) => {
      const { dataCentre, deaths } = crashReportSchema.parse(params);
      const newCrashes = recordCrashes(deaths);
      // A report from another data centre arrives at one process here, which forwards it to the
      // others.
      if (newCrashes.length > 0 && dataCentre !== settings.dataCentre)
        sendReport('health.deaths', { deaths: newCrashes }, false);
      return {};
    },
    'health.completions': (params) => {
      const { dataCentre, cleared } = completionReportSchema.parse(params);
      quarantine.recordCleared(cleared, clock.now());
      if (dataCentre !== settings.dataCentre) sendReport('health.completions', { cleared }, false);
      return {};
    },
  });

  return {
    isQuarantined: (fingerprint) => quarantine.isQuarantined(fingerprint, clock.now()),
    recordCompletion(fingerprint) {
      if (!quarantine.hasSuspects()) return;
      const completed = quarantine.recordCompletion(fingerprint, clock.now());
      if (!completed) return;
      log.info('request-cleared', { fingerprint });
      sendReport('health.completions', { cleared: [completed] }, true);
    },
    listFingerprints: () => quarantine.list(clock.now()),
    setReceiverSources(gossip, delegate) {
      listReceivers = (isLocalReport) => [
        ...gossip.listReady(settings.dataCentre).filter(({ id }) => id !== settings.id),
        ...(isLocalReport ? delegate.listDelegates() : []),
      ];
    },
  };
}
