import * as core from '@figshed/core';
import type * as context from './context.js';
import * as gossipSchemas from '../gossip-schemas.js';
import * as requestFingerprint from './request-fingerprint.js';

/** Decides which calls are refused, since requests like them crashed targets. */
export interface RequestQuarantine {
  /** Checks a call at the host of its caller, before an attempt is sent. */
  check(request: requestFingerprint.RequestIdentity): QuarantineVerdict;
  /** Returns the time until a quarantined request may be tried again; undefined for all others. */
  getRetryAfterMs(request: requestFingerprint.RequestIdentity): number | undefined;
  /** Records a crash of the target beside this process. */
  recordOwnCrash(target: string, fingerprints: readonly string[]): void;
  /** Records that an attempt lost its target, as the host beside that target has reported. */
  recordCrash(target: string, request: requestFingerprint.RequestIdentity): void;
  /** Records that the target beside this process has completed a call. */
  recordCompletion(request: requestFingerprint.RequestIdentity): void;
  /** Applies what another host has recorded. */
  applyMember(info: core.MemberInfo): void;
  /** Restores what this process had recorded before its restart. */
  recall(info: core.MemberInfo): void;
  computeFingerprint(request: requestFingerprint.RequestIdentity): string;
  /** Returns what other hosts must know, for the record of this host. */
  getRecords(): Pick<core.MemberInfo, 'crashes' | 'cleared'>;
}

export type QuarantineVerdict =
  /** With `isTrial`, the call shows whether its request still crashes targets. */
  { type: 'allowed'; isTrial: boolean } | { type: 'quarantined'; retryAfterMs: number };

export interface RequestQuarantineInput {
  ctx: Pick<context.MeshContext, 'settings' | 'clock' | 'log' | 'metrics' | 'protocol'>;
  /** Lists the hosts of which one may try a quarantined request again. */
  listHostIds: () => string[];
  /** Called when the records for other hosts have changed. */
  onChange: () => void;
}

/**
 * How long other hosts are told of the requests that were in flight in a crash; later, only of those that
 * are quarantined. Gossip reaches all hosts within this time.
 */
const SUSPECT_RECORD_MS = 10_000;

/** Completions of this time are sent together; a request is refused only after a second crash. */
const COMPLETION_DELAY_MS = 250;

interface OwnCrash extends core.CrashRecord {
  /** Monotonic time in milliseconds. */
  at: number;
}

const allowed: QuarantineVerdict = { type: 'allowed', isTrial: false };

/**
 * Creates an empty quarantine. What this process observes reaches the other hosts in its gossip record,
 * and comes back to it from them after a restart.
 *
 * @example
 * const quarantine = createRequestQuarantine({ ctx, listHostIds, onChange });
 * quarantine.check(call).type; // 'allowed'
 */
export function createRequestQuarantine(input: RequestQuarantineInput): RequestQuarantine {
  const { ctx, listHostIds, onChange } = input;
  const { settings, clock, log, metrics, protocol } = ctx;
  const quarantine = core.createQuarantine(core.quarantineDefaults);
  let ownCrashes: OwnCrash[] = [];
  let cleared: core.ClearedCrashes[] = [];
  let changeTimer: NodeJS.Timeout | undefined;

  const computeFingerprint = (request: requestFingerprint.RequestIdentity): string =>
    requestFingerprint.computeFingerprint(request, protocol.callerServiceHeader);

  /** A crash ends several attempts, and its requests are completed one by one. */
  const scheduleChange = (delayMs: number): void => {
    clearTimeout(changeTimer);
    changeTimer = setTimeout(onChange, delayMs);
    changeTimer.unref();
  };

  const addCrashes = (target: string, fingerprints: readonly string[]): void => {
    const at = clock.now();
    const crashes = fingerprints.map((fingerprint) => ({ fingerprint, deathId: target, at }));
    quarantine.recordCrashes(crashes, at).forEach(({ fingerprint }) => {
      const isQuarantined = quarantine.isQuarantined(fingerprint, at);
      if (isQuarantined) metrics.count('requests_quarantined_total');
      log.warn(isQuarantined ? 'request-quarantined' : 'request-suspected', {
        fingerprint,
        target,
      });
    });
  };

  /** Keeps of each crash the requests that others must still know of. */
  const pruneOwnCrashes = (): void => {
    const now = clock.monotonic();
    ownCrashes = ownCrashes
      .map((crash) => ({
        ...crash,
        fingerprints: crash.fingerprints.filter((fingerprint) =>
          now - crash.at < SUSPECT_RECORD_MS
            ? quarantine.isSuspect(fingerprint, clock.now())
            : quarantine.isQuarantined(fingerprint, clock.now()),
        ),
      }))
      .filter(({ fingerprints }) => fingerprints.length > 0)
      .slice(-gossipSchemas.MAX_CRASH_RECORDS);
  };

  const addOwnCrash = (target: string, fingerprints: readonly string[]): void => {
    const known = ownCrashes.find((crash) => crash.target === target);
    const all = [...new Set([...(known?.fingerprints ?? []), ...fingerprints])];
    const crash = {
      target,
      // The requests that started last are the more likely cause.
      fingerprints: all.slice(-gossipSchemas.MAX_FINGERPRINTS_PER_CRASH),
      at: known?.at ?? clock.monotonic(),
    };
    ownCrashes = [...ownCrashes.filter((other) => other !== known), crash];
    addCrashes(target, fingerprints);
    scheduleChange(0);
    setTimeout(scheduleChange, SUSPECT_RECORD_MS, 0).unref();
  };

  const isTrialHost = (fingerprint: string): boolean =>
    core.chooseByRendezvousHash(fingerprint, listHostIds(), 1)[0] === settings.id;

  const computeRetryAfterMs = (fingerprint: string): number | undefined => {
    const now = clock.now();
    const nextTrialAt = quarantine.getNextTrialAt(fingerprint, now);
    return nextTrialAt === Number.POSITIVE_INFINITY ? undefined : Math.max(0, nextTrialAt - now);
  };

  return {
    check(request) {
      if (!quarantine.hasSuspects()) return allowed;
      const fingerprint = computeFingerprint(request);
      const retryAfterMs = computeRetryAfterMs(fingerprint);
      if (retryAfterMs === undefined) return allowed;
      if (retryAfterMs === 0 && isTrialHost(fingerprint)) {
        quarantine.recordTrial(fingerprint);
        log.info('request-tried-again', { fingerprint });
        return { type: 'allowed', isTrial: true };
      }
      metrics.count('calls_quarantined_total');
      return { type: 'quarantined', retryAfterMs };
    },
    getRetryAfterMs: (request) =>
      quarantine.hasSuspects() ? computeRetryAfterMs(computeFingerprint(request)) : undefined,
    recordOwnCrash: addOwnCrash,
    recordCrash: (target, request) => addCrashes(target, [computeFingerprint(request)]),
    recordCompletion(request) {
      if (!quarantine.hasSuspects()) return;
      const completed = quarantine.recordCompletion(computeFingerprint(request), clock.now());
      if (!completed) return;
      log.info('request-cleared', { fingerprint: completed.fingerprint });
      cleared = [
        ...cleared.filter(({ fingerprint }) => fingerprint !== completed.fingerprint),
        completed,
      ].slice(-gossipSchemas.MAX_CLEARED_REQUESTS);
      setTimeout(() => {
        cleared = cleared.filter((other) => other !== completed);
        scheduleChange(COMPLETION_DELAY_MS);
      }, SUSPECT_RECORD_MS).unref();
      scheduleChange(COMPLETION_DELAY_MS);
    },
    applyMember(info) {
      quarantine.recordCleared(info.cleared ?? [], clock.now());
      info.crashes?.forEach(({ target, fingerprints }) => addCrashes(target, fingerprints));
    },
    recall: (info) =>
      info.crashes?.forEach(({ target, fingerprints }) => addOwnCrash(target, fingerprints)),
    computeFingerprint,
    getRecords() {
      pruneOwnCrashes();
      return {
        crashes:
          ownCrashes.length === 0
            ? undefined
            : ownCrashes.map(({ target, fingerprints }) => ({ target, fingerprints })),
        cleared: cleared.length === 0 ? undefined : cleared,
      };
    },
  };
}
