/**
 * Gossip failure detection within one data centre, and the table of every known member.
 * Members of other data centres arrive through `merge` and are spread but never probed.
 */
import * as errors from '../shared/errors.js';
import type * as clock from '../shared/clock.js';
import * as precedence from './precedence.js';
import type * as types from './types.js';
import * as updates from './updates.js';

/** The membership part of one process. */
export interface Membership {
  /** Advances timers; call it at least every 100 ms. */
  tick(now: number): types.MembershipEffect[];
  receive(
    message: types.GossipMessage,
    from: types.Endpoint,
    now: number,
  ): types.MembershipEffect[];
  /** Takes in records that came from elsewhere, such as another data centre or a first contact. */
  merge(members: readonly types.Member[], now: number): types.MembershipEffect[];
  /** Announces new facts about this process. */
  setInfo(info: Partial<types.MemberInfo>, now: number): types.MembershipEffect[];
  setMark(mark: types.ConfigMark): void;
  /** Tells members the mark, which was known to be the newest `ageMs` ago. */
  tellMark(ids: readonly string[], ageMs: number): types.MembershipEffect[];
  /** Tells members the newest record of this process, without an answer. */
  tellSelf(ids: readonly string[]): types.MembershipEffect[];
  /** Announces that this process leaves for good. */
  leave(now: number): types.MembershipEffect[];
  /** Sends a ping to an endpoint whose member is not known yet. */
  contact(to: types.Endpoint): types.MembershipEffect[];
  self(): types.Member;
  get(id: string): types.Member | undefined;
  list(): types.Member[];
  marks(): ReadonlyMap<string, types.ConfigMark>;
}

/** What a membership part needs to start. */
export interface MembershipInput {
  id: string;
  /** Higher than any incarnation that an earlier process of this id used; wall-clock start time. */
  incarnation: number;
  info: types.MemberInfo;
  options: types.MembershipOptions;
  random: clock.Random;
}

interface Probe {
  subject: string;
  sequence: number;
  sentAt: number;
  indirect: boolean;
}

interface Relay {
  requester: types.Endpoint;
  sequence: number;
  expiresAt: number;
}

/**
 * Creates the membership part of one process.
 *
 * @example
 * const membership = createMembership({ id: 'node-1', incarnation: clock.now(), info, options, random });
 */
export function createMembership(input: MembershipInput): Membership {
  const { options, random } = input;
  const members = new Map<string, types.Member>();
  const changedAt = new Map<string, number>();
  const marks = new Map<string, types.ConfigMark>();
  const queue = updates.createUpdateQueue();
  const relays = new Map<number, Relay>();
  let self: types.Member = {
    id: input.id,
    incarnation: input.incarnation,
    status: 'alive',
    info: input.info,
  };
  let mark: types.ConfigMark = { position: -1, version: -1, digest: '' };
  let sequence = 0;
  let probe: Probe | undefined;
  let probeOrder: string[] = [];
  let nextPingAt = 0;
  members.set(self.id, self);
  queue.add(self);

  const endpointOf = (member: types.Member): types.Endpoint => ({
    address: member.info.address,
    port: member.info.peerPort,
  });

  const takeUpdates = (receiver?: string): types.Member[] => {
    const limit = Math.ceil(options.retransmitFactor * Math.log2(members.size + 2));
    return queue.take(options.maxPiggyback, limit, receiver);
  };

  const store = (member: types.Member, now: number): types.MembershipEffect[] => {
    const before = members.get(member.id);
    errors.checkInvariant(
      !before || member.incarnation >= before.incarnation,
      'incarnation-regress',
      `${member.id} ${member.incarnation} after ${before?.incarnation}`,
    );
    members.set(member.id, member);
    changedAt.set(member.id, now);
    queue.add(member);
    return [{ type: 'member-changed', member, before }];
  };

  const replaceSelf = (change: Partial<types.Member>, now: number): types.MembershipEffect[] => {
    self = { ...self, incarnation: self.incarnation + 1, ...change };
    return store(self, now);
  };

  const refute = (claim: types.Member, now: number): types.MembershipEffect[] => {
    if (claim.incarnation < self.incarnation || self.status === 'left') return [];
    if (claim.incarnation === self.incarnation && claim.status === 'alive') return [];
    return replaceSelf({ incarnation: claim.incarnation + 1 }, now);
  };

  const mergeOne = (member: types.Member, now: number): types.MembershipEffect[] => {
    if (member.id === self.id) return refute(member, now);
    return precedence.isNewer(member, members.get(member.id)) ? store(member, now) : [];
  };

  const merge = (list: readonly types.Member[], now: number): types.MembershipEffect[] =>
    list.flatMap((member) => mergeOne(member, now));

  const listProbed = (): types.Member[] =>
    [...members.values()].filter(
      ({ id, status, info }) =>
        id !== self.id &&
        (options.scope === 'fleet' || info.dataCentre === self.info.dataCentre) &&
        (status === 'alive' || status === 'suspect'),
    );

  const shuffle = (ids: string[]): string[] =>
    ids
      .map((id) => ({ id, order: random() }))
      .sort((left, right) => left.order - right.order)
      .map(({ id }) => id);

  const isInRound = ({ info }: types.Member): boolean =>
    info.region === self.info.region || random() < (options.farProbeShare ?? 1);

  const takeProbeSubject = (): types.Member | undefined => {
    if (probeOrder.length === 0) {
      probeOrder = shuffle(
        listProbed()
          .filter(isInRound)
          .map(({ id }) => id),
      );
    }
    const id = probeOrder.pop();
    return id === undefined ? undefined : members.get(id);
  };

  const withSelf = (list: types.Member[]): types.Member[] =>
    options.tellsSelf ? [self, ...list.filter(({ id }) => id !== self.id)] : list;

  const sendPing = (
    to: types.Endpoint,
    number: number,
    receiver: string | undefined,
    isContact = false,
  ): types.MembershipEffect => ({
    type: 'send',
    to,
    message: {
      type: 'ping',
      sequence: number,
      from: self.id,
      isContact,
      mark,
      members: withSelf(takeUpdates(receiver)),
    },
  });

  const startProbe = (now: number): types.MembershipEffect[] => {
    nextPingAt = now + options.pingIntervalMs;
    const subject = takeProbeSubject();
    if (!subject) return [];
    sequence += 1;
    probe = { subject: subject.id, sequence, sentAt: now, indirect: false };
    // A suspect must hear of the suspicion, or it cannot refute it.
    if (subject.status === 'suspect') queue.add(subject);
    return [sendPing(endpointOf(subject), sequence, subject.id)];
  };

  const askIndirectly = (current: Probe): types.MembershipEffect[] => {
    const helpers = shuffle(
      listProbed()
        .filter(({ id, status }) => id !== current.subject && status === 'alive')
        .map(({ id }) => id),
    ).slice(0, options.indirectPings);
    return helpers.map((id) => ({
      type: 'send',
      to: endpointOf(members.get(id) as types.Member),
      message: {
        type: 'ping-request',
        sequence: current.sequence,
        from: self.id,
        subject: current.subject,
        mark,
        members: takeUpdates(id),
      },
    }));
  };

  const failProbe = (current: Probe, now: number): types.MembershipEffect[] => {
    const subject = members.get(current.subject);
    if (!subject || subject.status !== 'alive') return [];
    return store({ ...subject, status: 'suspect' }, now);
  };

  const tickProbe = (now: number): types.MembershipEffect[] => {
    const effects: types.MembershipEffect[] = [];
    if (probe && !probe.indirect && now - probe.sentAt >= options.pingTimeoutMs) {
      probe.indirect = true;
      effects.push(...askIndirectly(probe));
    }
    if (now < nextPingAt) return effects;
    if (probe) effects.push(...failProbe(probe, now));
    probe = undefined;
    return [...effects, ...startProbe(now)];
  };

  const tickMember = (member: types.Member, now: number): types.MembershipEffect[] => {
    const age = now - (changedAt.get(member.id) ?? now);
    if (member.status === 'suspect' && age >= options.suspicionMs) {
      return store({ ...member, status: 'dead' }, now);
    }
    const isGone = member.status === 'dead' || member.status === 'left';
    if (isGone && age >= options.forgetMs) {
      members.delete(member.id);
      marks.delete(member.id);
      changedAt.delete(member.id);
    }
    return [];
  };

  const tell = (
    ids: readonly string[],
    ageMs: number | null,
    told: types.Member[],
  ): types.MembershipEffect[] =>
    ids.flatMap((id): types.MembershipEffect[] => {
      const member = members.get(id);
      if (!member || id === self.id) return [];
      sequence += 1;
      const message = { sequence, from: self.id, mark, ageMs, members: told };
      return [{ type: 'send', to: endpointOf(member), message: { type: 'mark', ...message } }];
    });

  const chooseAckMembers = (ping: {
    from: string;
    isContact: boolean;
    members: types.Member[];
  }) => {
    const { from: receiver, isContact } = ping;
    const known = members.get(receiver);
    const told = ping.members.find(({ id }) => id === receiver);
    // Whoever is wrongly held dead must hear of it, or it cannot refute it; so must one whose
    // record is passed over for that of a former life, since its clock was set back.
    const mustHear =
      known && (known.status !== 'alive' || (told && told.incarnation < known.incarnation));
    const first = [...(isContact || options.tellsSelf ? [self] : []), ...(mustHear ? [known] : [])];
    const firstIds = first.map(({ id }) => id);
    return [...first, ...takeUpdates(receiver).filter(({ id }) => !firstIds.includes(id))];
  };

  const handlers: {
    [K in types.GossipMessage['type']]: (
      message: Extract<types.GossipMessage, { type: K }>,
      from: types.Endpoint,
      now: number,
    ) => types.MembershipEffect[];
  } = {
    ping: (message, from) => [
      {
        type: 'send',
        to: from,
        message: {
          type: 'ack',
          sequence: message.sequence,
          from: self.id,
          mark,
          members: chooseAckMembers(message),
        },
      },
    ],
    ack: (message) => {
      if (probe?.sequence === message.sequence && probe.subject === message.from) probe = undefined;
      const relay = relays.get(message.sequence);
      if (!relay) return [];
      relays.delete(message.sequence);
      return [
        {
          type: 'send',
          to: relay.requester,
          message: { ...message, sequence: relay.sequence, members: [] },
        },
      ];
    },
    mark: () => [],
    'ping-request': (message, from, now) => {
      const subject = members.get(message.subject);
      if (!subject) return [];
      sequence += 1;
      relays.set(sequence, {
        requester: from,
        sequence: message.sequence,
        expiresAt: now + options.pingIntervalMs,
      });
      return [sendPing(endpointOf(subject), sequence, subject.id)];
    },
  };

  return {
    tick(now) {
      relays.forEach((relay, key) => {
        if (now >= relay.expiresAt) relays.delete(key);
      });
      return [
        ...tickProbe(now),
        ...[...members.values()].flatMap((member) => tickMember(member, now)),
      ];
    },
    receive(message, from, now) {
      const effects = merge(message.members, now);
      marks.set(message.from, message.mark);
      const ageMs = message.type === 'mark' ? (message.ageMs ?? undefined) : undefined;
      effects.push({ type: 'mark-seen', id: message.from, mark: message.mark, ageMs });
      const handle = handlers[message.type] as (
        item: types.GossipMessage,
        endpoint: types.Endpoint,
        at: number,
      ) => types.MembershipEffect[];
      return [...effects, ...handle(message, from, now)];
    },
    merge,
    setInfo: (info, now) => replaceSelf({ info: { ...self.info, ...info } }, now),
    setMark({ position, version, digest }) {
      // Copied, so that whatever else the caller's object holds stays out of the datagrams.
      mark = { position, version, digest };
    },
    tellMark: (ids, ageMs) => tell(ids, ageMs, []),
    tellSelf: (ids) => tell(ids, null, [self]),
    leave: (now) =>
      replaceSelf({ status: 'left', info: { ...self.info, ready: false, target: null } }, now),
    contact(to) {
      sequence += 1;
      queue.add(self);
      return [sendPing(to, sequence, undefined, true)];
    },
    self: () => self,
    get: (id) => members.get(id),
    list: () => [...members.values()],
    marks: () => marks,
  };
}
