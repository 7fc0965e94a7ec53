import * as dgram from 'node:dgram';
import * as core from '@figshed/core';
import type * as configurationTask from './configuration-task.js';
import type * as context from './context.js';
import * as datagramWait from './datagram-wait.js';
import * as gossipCodec from './gossip-codec.js';
import * as registrations from './registration.js';
import type * as types from './types.js';

/**
 * Member list of one process, updated by gossip over UDP; the host registry lists the first hosts to
 * contact.
 */
export interface Members {
  list(): core.Member[];
  /**
   * Counts the hosts that have not left: members, dead ones included, and entries of the host registry.
   * Undefined before that has been read.
   */
  countKnownHosts(): number | undefined;
  /** Updates this process's own record and sends it at once to `receivers`, or to some members. */
  setInfo(info: Partial<core.MemberInfo>, receivers?: readonly string[]): void;
  /** Sends this process's own record, and what every message carries, to some members at once. */
  sendOwnRecord(): void;
  /** Sets the configuration version that gossip messages carry. */
  setVersion(version: number): void;
  /** Asks a member how long ago its version was proven to be the newest. */
  requestProof(member: core.Member): void;
  /** Sends the version to members; it was confirmed to be the newest `ageMs` ago. */
  sendVersion(ids: readonly string[], ageMs: number): void;
  start(): Promise<void>;
  /** Sends other members a record with status `left`. */
  leave(): void;
  stop(): void;
}

export interface MembersInput {
  ctx: context.MeshContext;
  hostRegistry: types.HostRegistry;
  sourceEpoch: types.SourceEpoch;
  onChange: (member: core.Member, before: core.Member | undefined) => void;
  /** Called with what another member stored of this one before its restart. */
  onRecalled: (info: core.MemberInfo) => void;
  /**
   * Called with the configuration version that a member holds, and the milliseconds since it was
   * confirmed to be the newest.
   */
  onVersion: (member: core.Member, version: number, ageMs: number | undefined) => void;
  /** Returns the proof that acks carry; undefined if there is none. */
  getProof: () => core.VersionProofStamp | undefined;
  /** Called with the proof in an ack. */
  onProof: (member: core.Member, proof: configurationTask.VersionProofRecord) => void;
  /** Returns the roll-outs that each message carries; none by default. */
  listRollouts?: (() => core.RolloutStamp[]) | undefined;
  onRollouts?: ((stamps: readonly core.RolloutStamp[], from: string) => void) | undefined;
}

const TICK_INTERVAL_MS = 100;
/** Members that an update is sent to directly; gossip disseminates it to the others. */
const MAX_DIRECT_UPDATES = 32;
/** Registered hosts contacted at once; enough to reach a live one after the loss of many hosts. */
const MAX_CONTACTS_PER_RELIST = 24;
/** How often a host that is not alive is contacted; partitions heal within a few intervals. */
const RECONTACT_INTERVAL_MS = 500;

/** Pings whose acks may still arrive; an older proof would be of no use. */
const MAX_SENT_PINGS = 64;
/** Far above the number of pings of one process, within the integers that take 5 bytes. */
const MAX_START_SEQUENCE = 2 ** 31;

/** Version in the watermark of a process without a configuration. */
const NO_VERSION = -1;
/** Lower than any epoch. */
const NO_EPOCH = -1;

const membershipOptions: core.MembershipOptions = {
  ...core.membershipDefaults,
  probeScope: 'fleet',
  // A fixed ping rate keeps the traffic per host constant; 2 s of suspicion give a busy host time
  // to respond before it is declared dead.
  pingIntervalMs: 500,
  pingTimeoutMs: 200,
  suspicionMs: 2_000,
  forgetMs: 120_000,
  maxPiggyback: 8,
  // Each probe carries the sender's own record, which repairs lost updates. `retransmitFactor` has its
  // default value, since with fewer retransmissions some hosts miss an update.
  shouldIncludeSelf: true,
  // Hosts are probed mainly within their region; this share of the hosts of other regions in each
  // probe round detects partitions between regions.
  otherRegionProbeShare: 0.25,
};

const formatEndpoint = ({ address, port }: core.Endpoint): string => `${address}:${port}`;

/**
 * Creates the member list; it contains only this process until `start`.
 *
 * @example
 * const members = createMembers({ ctx, hostRegistry, sourceEpoch, onChange, onVersion });
 */
export function createMembers(input: MembersInput): Members {
  const { ctx, hostRegistry, sourceEpoch, onChange, onRecalled, onVersion, getProof, onProof } =
    input;
  const { listRollouts, onRollouts } = input;
  const { settings, clock, log, metrics, random } = ctx;
  const socket = dgram.createSocket('udp4');
  const wait = datagramWait.createDatagramWait(clock);
  const ownEndpoint: core.Endpoint = { address: settings.address, port: settings.peerPort };
  const listedEndpoints = new Map<string, core.Endpoint>();
  const membership = core.createMembership({
    id: settings.id,
    incarnation: clock.now(),
    info: {
      instance: String(clock.now()),
      dataCentre: settings.dataCentre,
      region: settings.region,
      address: settings.address,
      callerPort: settings.callers.port,
      peerPort: settings.peerPort,
      ready: false,
      target: null,
      linkMbps: settings.linkMbps,
    },
    options: membershipOptions,
    random,
    // A late ack to an earlier process of this host would make its proof seem younger than it is.
    ...(settings.revokeWithinMs === undefined
      ? {}
      : { startSequence: Math.floor(random() * MAX_START_SEQUENCE) }),
  });
  let tickTimer: NodeJS.Timeout | undefined;
  let contactTimer: NodeJS.Timeout | undefined;
  let version = NO_VERSION;
  /** Highest epoch of the source that a member has sent and this process had not received yet. */
  let announcedEpoch = NO_EPOCH;
  let hasListed = false;

  /** Monotonic times at which pings were sent, by their sequence numbers. */
  const pingTimes = new Map<number, number>();

  const recordPing = (sequence: number): void => {
    pingTimes.set(sequence, clock.monotonic());
    const [oldest] = pingTimes.keys();
    if (oldest !== undefined && pingTimes.size > MAX_SENT_PINGS) pingTimes.delete(oldest);
  };

  /** Adds the proof to this process's own acks; a relayed one carries that of its sender. */
  const stampProof = (message: core.GossipMessage): core.GossipMessage => {
    if (message.type !== 'ack' || message.from !== settings.id) return message;
    const proof = getProof();
    return proof ? { ...message, proof } : message;
  };

  const stampRollouts = (message: core.GossipMessage): core.GossipMessage => {
    const rollouts = message.from === settings.id ? listRollouts?.() : undefined;
    return rollouts && rollouts.length > 0 ? { ...message, rollouts } : message;
  };

  const sendDatagram = (to: core.Endpoint, message: core.GossipMessage): void => {
    if (message.type === 'ping') recordPing(message.sequence);
    const bytes = gossipCodec.encodeGossip(stampRollouts(stampProof(message)));
    metrics.count('gossip_datagrams_total');
    socket.send(bytes, to.port, to.address, (error) => {
      if (error) metrics.count('gossip_send_failures_total');
    });
  };

  const logChange = (member: core.Member, before: core.Member | undefined): void => {
    const { status, info } = member;
    const isSame =
      before?.status === status &&
      before.info.ready === info.ready &&
      before.info.target?.state === info.target?.state &&
      before.info.target?.id === info.target?.id;
    if (isSame) return;
    log.info('member', {
      member: member.id,
      incarnation: member.incarnation,
      status,
      ready: info.ready,
      target: info.target?.id,
      state: info.target?.state,
    });
  };

  const applyEffects = (effects: readonly core.MembershipEffect[]): void => {
    effects.forEach((effect) => {
      if (effect.type === 'send') sendDatagram(effect.to, effect.message);
      else if (effect.type === 'member-changed') {
        logChange(effect.member, effect.before);
        onChange(effect.member, effect.before);
      } else if (effect.type === 'self-recalled') onRecalled(effect.info);
      else {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- renewal lists, which sends
        recordEpoch(effect.mark.epoch);
        const member = membership.getMember(effect.id);
        const ageMs =
          effect.ageMs === undefined ? undefined : effect.ageMs + wait.computeMaxWaitMs();
        if (member) onVersion(member, effect.mark.version, ageMs);
      }
    });
  };

  /** The age counts from the ping, since the ack may have waited on its way. */
  const receiveProof = ({
    sequence,
    from,
    proof,
  }: Extract<core.GossipMessage, { type: 'ack' }>): void => {
    const askedAt = pingTimes.get(sequence);
    pingTimes.delete(sequence);
    const member = membership.getMember(from);
    if (!proof || askedAt === undefined || !member) return;
    onProof(member, { version: proof.version, askedAt, provenAt: askedAt - proof.ageMs });
  };

  const receive = (bytes: Buffer, from: core.Endpoint): void => {
    wait.recordDatagram();
    let message;
    try {
      message = gossipCodec.decodeGossip(bytes);
    } catch (error) {
      metrics.count('gossip_refused_total');
      log.debug('gossip-refused', { from: from.address, message: (error as Error).message });
      return;
    }
    applyEffects(membership.receive(message, from, clock.monotonic()));
    if (message.type === 'ack') receiveProof(message);
    if (message.rollouts) onRollouts?.(message.rollouts, message.from);
  };

  const isEndpointAlive = (endpoint: core.Endpoint): boolean =>
    membership
      .listMembers()
      .some(
        ({ status, info }) =>
          (status === 'alive' || status === 'suspect') &&
          info.address === endpoint.address &&
          info.peerPort === endpoint.port,
      );

  const contactEndpoint = (endpoint: core.Endpoint): void =>
    applyEffects(membership.pingEndpoint(endpoint));

  const pickRandom = <T>(items: readonly T[], count: number): T[] =>
    items
      .map((item) => ({ item, sortKey: random() }))
      .sort((left, right) => left.sortKey - right.sortKey)
      .slice(0, count)
      .map(({ item }) => item);

  const updateListedEndpoints = (endpoints: readonly core.Endpoint[]): void => {
    hasListed = true;
    listedEndpoints.clear();
    endpoints
      .filter((endpoint) => formatEndpoint(endpoint) !== formatEndpoint(ownEndpoint))
      .forEach((endpoint) => listedEndpoints.set(formatEndpoint(endpoint), endpoint));
    const inactiveEndpoints = [...listedEndpoints.values()].filter(
      (endpoint) => !isEndpointAlive(endpoint),
    );
    pickRandom(inactiveEndpoints, MAX_CONTACTS_PER_RELIST).forEach(contactEndpoint);
  };

  /**
   * Contacts one random host that is not alive, to heal partitions and find hosts that returned.
   */
  const recontact = (): void => {
    const departedEndpoints = membership
      .listMembers()
      .filter(({ id, status }) => id !== settings.id && (status === 'dead' || status === 'left'))
      .map(({ info }) => ({ address: info.address, port: info.peerPort }));
    const inactiveEndpoints = [...listedEndpoints.values(), ...departedEndpoints].filter(
      (endpoint) => !isEndpointAlive(endpoint),
    );
    pickRandom(inactiveEndpoints, 1).forEach(contactEndpoint);
  };

  const registration = registrations.createRegistration({
    ctx,
    hostRegistry,
    endpoint: ownEndpoint,
    onList: updateListedEndpoints,
  });

  /** Renews the registration when a member has received a higher epoch than this process. */
  const recordEpoch = (epoch: number | undefined): void => {
    const ownEpoch = sourceEpoch.get();
    if (epoch === undefined || ownEpoch === undefined) return;
    if (epoch <= Math.max(ownEpoch, announcedEpoch)) return;
    announcedEpoch = epoch;
    registration.renew();
  };

  /** Sends only an epoch that this process has received from the source itself. */
  const updateWatermark = (): void =>
    membership.setWatermark({ position: version, version, digest: '', epoch: sourceEpoch.get() });

  sourceEpoch.onChange((epoch, before) => {
    updateWatermark();
    if (before === undefined) return;
    log.warn('store-restored', { epoch, before, version });
    metrics.count('store_restorations_total');
    if (epoch !== announcedEpoch) registration.renew();
  });

  const countKnownHosts = (): number | undefined => {
    if (!hasListed) return undefined;
    const endpoints = new Set(listedEndpoints.keys());
    const [left, others] = [true, false].map((hasLeft) =>
      membership.listMembers().filter(({ status }) => (status === 'left') === hasLeft),
    );
    const format = ({ info }: core.Member): string =>
      formatEndpoint({ address: info.address, port: info.peerPort });
    left?.forEach((member) => endpoints.delete(format(member)));
    others?.forEach((member) => endpoints.add(format(member)));
    return endpoints.size;
  };

  const tick = (): void => {
    wait.startTurn();
    applyEffects(membership.tick(clock.monotonic()));
  };

  const sendOwnRecord = (): void => {
    const aliveMembers = membership
      .listMembers()
      .filter(({ id, status }) => id !== settings.id && status === 'alive');
    const ids = pickRandom(aliveMembers, MAX_DIRECT_UPDATES).map(({ id }) => id);
    applyEffects(membership.sendSelf(ids));
  };

  return {
    list: () => membership.listMembers(),
    countKnownHosts,
    setInfo(info, receivers) {
      applyEffects(membership.updateInfo(info, clock.monotonic()));
      if (receivers) applyEffects(membership.sendSelf(receivers));
      else sendOwnRecord();
    },
    sendOwnRecord,
    setVersion(nextVersion) {
      version = nextVersion;
      updateWatermark();
    },
    requestProof: ({ info }) => contactEndpoint({ address: info.address, port: info.peerPort }),
    sendVersion: (ids, ageMs) => applyEffects(membership.sendWatermark(ids, Math.round(ageMs))),
    async start() {
      socket.on('message', receive);
      socket.on('error', (error) => log.error('gossip-socket', { message: error.message }));
      await new Promise<void>((resolve) => {
        socket.bind(ownEndpoint.port, ownEndpoint.address, resolve);
      });
      tickTimer = setInterval(tick, TICK_INTERVAL_MS);
      contactTimer = setInterval(recontact, RECONTACT_INTERVAL_MS);
      registration.start();
    },
    leave() {
      applyEffects(membership.leave(clock.monotonic()));
      sendOwnRecord();
    },
    stop() {
      clearInterval(tickTimer);
      clearInterval(contactTimer);
      registration.stop();
      socket.close();
    },
  };
}
