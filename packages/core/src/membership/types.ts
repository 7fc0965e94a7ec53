/** What members say about themselves and to one another. */

/** Liveness of a member as others see it; higher values override lower ones at one incarnation. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** State of the target beside a proxy. */
export type TargetState = 'up' | 'draining' | 'down';

/** The target that a member announces. */
export interface TargetInfo {
  service: string;
  slots: number;
  state: TargetState;
  /** Identity of the target's incarnation, where the target has one. */
  id?: string | undefined;
  /** True while the target has just started and is slow. */
  isCold?: boolean | undefined;
}

/** Facts that a member announces about itself. */
export interface MemberInfo {
  /** Identity of the process; a restart has another one. */
  instance: string;
  dataCentre: string;
  region: string;
  address: string;
  callerPort: number;
  peerPort: number;
  /** False until the member holds a configuration, and again from the moment that it stops. */
  ready: boolean;
  target: TargetInfo | null;
}

/** One member's record, spread by gossip. */
export interface Member {
  id: string;
  incarnation: number;
  status: MemberStatus;
  info: MemberInfo;
}

/** Position and digest of the configuration that a member holds. */
export interface ConfigMark {
  position: number;
  version: number;
  digest: string;
}

/** A gossip datagram. */
export type GossipMessage =
  | {
      type: 'ping';
      sequence: number;
      from: string;
      /** Asks the receiver for its own record, because the sender may not know it yet. */
      isContact: boolean;
      mark: ConfigMark;
      members: Member[];
    }
  | { type: 'ack'; sequence: number; from: string; mark: ConfigMark; members: Member[] }
  | {
      type: 'ping-request';
      sequence: number;
      from: string;
      subject: string;
      mark: ConfigMark;
      members: Member[];
    }
  | {
      /** Tells what has changed and asks for nothing. */
      type: 'mark';
      sequence: number;
      from: string;
      mark: ConfigMark;
      /** Time since the mark was known to be the newest, in milliseconds; null when not told. */
      ageMs: number | null;
      members: Member[];
    };

/** Where to send a datagram. */
export interface Endpoint {
  address: string;
  port: number;
}

/** What the membership part asks its surroundings to do. */
export type MembershipEffect =
  | { type: 'send'; to: Endpoint; message: GossipMessage }
  | { type: 'member-changed'; member: Member; before: Member | undefined }
  | {
      type: 'mark-seen';
      id: string;
      mark: ConfigMark;
      /** Time since the mark was known to be the newest; undefined when the member did not say. */
      ageMs: number | undefined;
    };

/** Settings of the membership part; every duration in milliseconds. */
export interface MembershipOptions {
  /** Which members are probed: those of the own data centre, which is the default, or all. */
  scope?: 'data-centre' | 'fleet' | undefined;
  /** Share of the members of other regions that a round of probes includes; all by default. */
  farProbeShare?: number | undefined;
  /** Whether each probe and its answer carry the sender's own record, which repairs lost news. */
  tellsSelf?: boolean | undefined;
  pingIntervalMs: number;
  pingTimeoutMs: number;
  suspicionMs: number;
  /** How long a dead member is kept before it is forgotten. */
  forgetMs: number;
  indirectPings: number;
  /** Member records that one datagram carries at most. */
  maxPiggyback: number;
  /** How often one update is sent, times the logarithm of the member count. */
  retransmitFactor: number;
}
