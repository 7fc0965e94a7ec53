import type * as quarantine from '../health/quarantine.js';
import type * as rollout from '../mesh/rollout.js';
import type * as rolloutState from '../mesh/rollout-state.js';

/**
 * Liveness of a member. At the same incarnation, a later status in this order overrides an earlier
 * one.
 */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

export type TargetState = 'up' | 'draining' | 'down';

export interface TargetInfo {
  service: string;
  slots: number;
  state: TargetState;
  /** Instance id of the target, if it has one. */
  id?: string | undefined;
  /** True during the slow start of the target. */
  isCold?: boolean | undefined;
  /** Version of its program; undefined if it states none, and in deployments without roll-outs. */
  version?: string | undefined;
}

/** What a host counts and does for a roll-out that is under way. */
export interface RolloutReport {
  /** Offset of the order that the counts belong to; undefined if none concerns its target. */
  offset?: number | undefined;
  /** Version of the counted target. */
  version: string;
  /** Offsets of the orders for which the host sends no more calls to the old targets. */
  moved: number[];
  counts: rollout.RouteCounts[];
}

/** State of a roll-out in a message; fields as in `Rollout`. */
export interface RolloutStamp {
  service: string;
  targetVersion: string;
  epoch: number;
  offset: number;
  durationMs: number;
  /** Time left until the deadline when the message was sent. */
  remainingMs: number;
  phase: rolloutState.RolloutPhase;
  record: rolloutState.RolloutRecord;
}

/** Requests that were in flight when a target crashed. */
export interface CrashRecord {
  /** Incarnation of the target. */
  target: string;
  fingerprints: string[];
}

export interface MemberInfo {
  /** ID of the process; changes with each restart. */
  instance: string;
  dataCentre: string;
  region: string;
  address: string;
  callerPort: number;
  peerPort: number;
  /** False before the member has a configuration, and during its shutdown. */
  ready: boolean;
  target: TargetInfo | null;
  /** Instance id of the last target of the member that has left; undefined if none has. */
  departedTarget?: string | undefined;
  /** Bandwidth of its link in megabits per second; undefined if it is not announced. */
  linkMbps?: number | undefined;
  /** Crashes of the member's targets that others must know of; undefined if there are none. */
  crashes?: CrashRecord[] | undefined;
  /** Requests that the member saw completed after crashes; undefined if there are none. */
  cleared?: quarantine.ClearedCrashes[] | undefined;
  /** Undefined while no roll-out is under way. */
  rollout?: RolloutReport | undefined;
}

/** Record of one member, disseminated by gossip. */
export interface Member {
  id: string;
  /** Version of the record; only the member itself increases it. */
  incarnation: number;
  status: MemberStatus;
  info: MemberInfo;
}

/** Position, version and digest of the configuration that a process has applied. */
export interface ConfigWatermark {
  position: number;
  version: number;
  digest: string;
  /** Epoch of the configuration source, which rises when the source has lost records; if known. */
  epoch?: number | undefined;
}

/** How long ago a version was proven to be the newest, in milliseconds. */
export interface VersionProofStamp {
  version: number;
  ageMs: number;
}

export type GossipMessage = (
  | {
      type: 'ping';
      sequence: number;
      from: string;
      /** Requests the receiver's own record, which the sender may not have yet. */
      isContact: boolean;
      mark: ConfigWatermark;
      members: Member[];
    }
  | {
      type: 'ack';
      sequence: number;
      from: string;
      mark: ConfigWatermark;
      members: Member[];
      /** Proof of the sender when it sent the ack, if it has one and its deployment needs it. */
      proof?: VersionProofStamp | undefined;
    }
  | {
      type: 'ping-request';
      sequence: number;
      from: string;
      subject: string;
      mark: ConfigWatermark;
      members: Member[];
    }
  | {
      /** Carries the sender's watermark or own record; has no reply. */
      type: 'mark';
      sequence: number;
      from: string;
      mark: ConfigWatermark;
      /** Time since `mark` was confirmed as the newest, in milliseconds; null when not stated. */
      ageMs: number | null;
      members: Member[];
    }
) & {
  /** Roll-outs that the sender knows; undefined if there are none. */
  rollouts?: RolloutStamp[] | undefined;
};

/** Address of a gossip socket. */
export interface Endpoint {
  address: string;
  port: number;
}

/** Actions and notifications for the caller. */
export type MembershipEffect =
  | { type: 'send'; to: Endpoint; message: GossipMessage }
  | { type: 'member-changed'; member: Member; before: Member | undefined }
  /** Another member has sent what it stored of this one before its restart. */
  | { type: 'self-recalled'; info: MemberInfo }
  | {
      type: 'watermark-received';
      id: string;
      mark: ConfigWatermark;
      /** Time since `mark` was confirmed as the newest, in milliseconds, if stated. */
      ageMs: number | undefined;
    };

/** Options of the membership protocol; all durations are in milliseconds. */
export interface MembershipOptions {
  /** Members to probe: those of the local data centre (default) or all. */
  probeScope?: 'data-centre' | 'fleet' | undefined;
  /** Share of the members of other regions in each probe round; 1 by default. */
  otherRegionProbeShare?: number | undefined;
  /** Whether each ping and ack includes the sender's own record, which repairs lost updates. */
  shouldIncludeSelf?: boolean | undefined;
  /** Time between two probes; also the time until an unanswered probe has failed. */
  pingIntervalMs: number;
  /** Time without an ack after which indirect pings are sent. */
  pingTimeoutMs: number;
  /** Time after which a suspect is declared dead, unless it refutes the suspicion. */
  suspicionMs: number;
  /** Retention of the record of a dead or left member. */
  forgetMs: number;
  /** Number of members that relay an indirect ping to the subject of an unanswered probe. */
  indirectPings: number;
  /** Maximum number of piggybacked records per datagram. */
  maxPiggyback: number;
  /** Number of sends per update, as a multiple of the base-2 logarithm of the cluster size. */
  retransmitFactor: number;
}
