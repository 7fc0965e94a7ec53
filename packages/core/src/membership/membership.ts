/**
 * SWIM-style membership protocol: failure detection by direct and indirect pings, and gossip
 * dissemination of member records. By default only members of the local data centre are probed;
 * records of other data centres arrive through `mergeMembers` and are disseminated.
 */
import * as errors from '../shared/errors.js';
import type * as clock from '../shared/clock.js';
import * as formerRecordsModule from './former-records.js';
import * as precedence from './precedence.js';
import type * as types from './types.js';
import * as updates from './updates.js';

export interface Membership {
  /** Processes elapsed timers; must be called at least every 100 ms. */
  tick(now: number): types.MembershipEffect[];
  receive(
    message: types.GossipMessage,
    from: types.Endpoint,
    now: number,
  ): types.MembershipEffect[];
  /** Merges records from another source, such as another data centre or a bootstrap peer. */
  mergeMembers(members: readonly types.Member[], now: number): types.MembershipEffect[];
  /** Updates the metadata of this process under a new incarnation. */
  updateInfo(info: Partial<types.MemberInfo>, now: number): types.MembershipEffect[];
  /** Sets the configuration watermark that all further messages carry. */
  setWatermark(watermark: types.ConfigWatermark): void;
  /** Sends the watermark to members; `ageMs` is the time since it was confirmed as the newest. */
  sendWatermark(ids: readonly string[], ageMs: number): types.MembershipEffect[];
  /** Sends the current record of this process to members, which do not reply. */
  sendSelf(ids: readonly string[]): types.MembershipEffect[];
  /** Announces that this process leaves permanently. */
  leave(now: number): types.MembershipEffect[];
  /** Pings an endpoint whose member id is unknown, and requests its record. */
  pingEndpoint(to: types.Endpoint): types.MembershipEffect[];
  getSelf(): types.Member;
  getMember(id: string): types.Member | undefined;
  listMembers(): types.Member[];
  /** Returns the last received configuration watermark of each member, by member id. */
  getWatermarks(): ReadonlyMap<string, types.ConfigWatermark>;
}

export interface MembershipInput {
  id: string;
  /** Must exceed that of earlier processes with this id, such as the wall-clock start time. */
  incarnation: number;
  info: types.MemberInfo;
  options: types.MembershipOptions;
  random: clock.Random;
  /** Sequence number before that of the first ping; 0 by default. */
  startSequence?: number;
}

interface Probe {
  subject: string;
  sequence: number;
  sentAt: number;
  isIndirect: boolean;
}

interface PingRelay {
  requester: types.Endpoint;
  sequence: number;
  expiresAt: number;
}

/**
 * Creates the membership protocol instance of one process.
 *
 * @example
 * const membership = createMembership({ id: 'node-1', incarnation: clock.now(), info, options, random });
 */
export function createMembership(input: MembershipInput): Membership {
  const { options, random } = input;
  const members = new Map<string, types.Member>();
  const changedAtById = new Map<string, number>();
  const watermarks = new Map<string, types.ConfigWatermark>();
  const updateQueue = updates.createUpdateQueue();
  const relays = new Map<number, PingRelay>();
  const formerRecords = formerRecordsModule.createFormerRecords();
  const ownFormerRecords = formerRecordsModule.createOwnFormerRecords();
  let self: types.Member = {
    id: input.id,
    incarnation: input.incarnation,
    status: 'alive',
    info: input.info,
  };
  let watermark: types.ConfigWatermark = { position: -1, version: -1, digest: '' };
  let sequence = input.startSequence ?? 0;
  let probe: Probe | undefined;
  let probeOrder: string[] = [];
  let nextPingAt = 0;
  members.set(self.id, self);
  updateQueue.add(self);

  const getEndpoint = (member: types.Member): types.Endpoint => ({
    address: member.info.address,
    port: member.info.peerPort,
  });

  const takePiggybackedUpdates = (receiver?: string): types.Member[] => {
    const maxSends = Math.ceil(options.retransmitFactor * Math.log2(members.size + 2));
    return updateQueue.take(options.maxPiggyback, maxSends, receiver);
  };

  const storeMember = (member: types.Member, now: number): types.MembershipEffect[] => {
    const previous = members.get(member.id);
    if (previous) formerRecords.update(previous, member);
    errors.assertInvariant(
      !previous || member.incarnation >= previous.incarnation,
      'incarnation-regress',
      `member ${member.id}: incarnation ${member.incarnation} after ${previous?.incarnation}`,
    );
    members.set(member.id, member);
    changedAtById.set(member.id, now);
    updateQueue.add(member);
    return [{ type: 'member-changed', member, before: previous }];
  };

  const replaceSelf = (change: Partial<types.Member>, now: number): types.MembershipEffect[] => {
    self = { ...self, incarnation: self.incarnation + 1, ...change };
    return storeMember(self, now);
  };

  /** Overrides a record of this process that is not older than its own. */
  const overrideRecord = (record: types.Member, now: number): types.MembershipEffect[] => {
    if (record.incarnation < self.incarnation || self.status === 'left') return [];
    if (record.incarnation === self.incarnation && record.status === 'alive') return [];
    return replaceSelf({ incarnation: record.incarnation + 1 }, now);
  };

  const refuteRecord = (record: types.Member, now: number): types.MembershipEffect[] => {
    const recalled = ownFormerRecords.take(record, self.info.instance);
    const effects: types.MembershipEffect[] = recalled
      ? [{ type: 'self-recalled', info: recalled }]
      : [];
    return [...effects, ...overrideRecord(record, now)];
  };

  const mergeRecord = (member: types.Member, now: number): types.MembershipEffect[] => {
    if (member.id === self.id) return refuteRecord(member, now);
    return precedence.isNewerRecord(member, members.get(member.id)) ? storeMember(member, now) : [];
  };

  const mergeRecords = (records: readonly types.Member[], now: number): types.MembershipEffect[] =>
    records.flatMap((member) => mergeRecord(member, now));

  const listProbeCandidates = (): types.Member[] =>
    [...members.values()].filter(
      ({ id, status, info }) =>
        id !== self.id &&
        (options.probeScope === 'fleet' || info.dataCentre === self.info.dataCentre) &&
        (status === 'alive' || status === 'suspect'),
    );

  const shuffle = (ids: string[]): string[] =>
    ids
      .map((id) => ({ id, sortKey: random() }))
      .sort((left, right) => left.sortKey - right.sortKey)
      .map(({ id }) => id);

  const isInProbeRound = ({ info }: types.Member): boolean =>
    info.region === self.info.region || random() < (options.otherRegionProbeShare ?? 1);

  const takeNextProbeSubject = (): types.Member | undefined => {
    if (probeOrder.length === 0) {
      probeOrder = shuffle(
        listProbeCandidates()
          .filter(isInProbeRound)
          .map(({ id }) => id),
      );
    }
    const id = probeOrder.pop();
    return id === undefined ? undefined : members.get(id);
  };

  const prependSelf = (records: types.Member[]): types.Member[] =>
    options.shouldIncludeSelf ? [self, ...records.filter(({ id }) => id !== self.id)] : records;

  const sendPing = (
    to: types.Endpoint,
    pingSequence: number,
    receiver: string | undefined,
    isContact = false,
  ): types.MembershipEffect => ({
    type: 'send',
    to,
    message: {
      type: 'ping',
      sequence: pingSequence,
      from: self.id,
      isContact,
      mark: watermark,
      members: prependSelf(takePiggybackedUpdates(receiver)),
    },
  });

  const startProbe = (now: number): types.MembershipEffect[] => {
    nextPingAt = now + options.pingIntervalMs;
    const subject = takeNextProbeSubject();
    if (!subject) return [];
    sequence += 1;
    probe = { subject: subject.id, sequence, sentAt: now, isIndirect: false };
    // A suspect must receive the suspicion, or it cannot refute it.
    if (subject.status === 'suspect') updateQueue.add(subject);
    return [sendPing(getEndpoint(subject), sequence, subject.id)];
  };

  const requestIndirectPings = (activeProbe: Probe): types.MembershipEffect[] => {
    const relayIds = shuffle(
      listProbeCandidates()
        .filter(({ id, status }) => id !== activeProbe.subject && status === 'alive')
        .map(({ id }) => id),
    ).slice(0, options.indirectPings);
    return relayIds.map((id) => ({
      type: 'send',
      to: getEndpoint(members.get(id) as types.Member),
      message: {
        type: 'ping-request',
        sequence: activeProbe.sequence,
        from: self.id,
        subject: activeProbe.subject,
        mark: watermark,
        members: takePiggybackedUpdates(id),
      },
    }));
  };

  const suspectSubject = (failedProbe: Probe, now: number): types.MembershipEffect[] => {
    const subject = members.get(failedProbe.subject);
    if (!subject || subject.status !== 'alive') return [];
    return storeMember({ ...subject, status: 'suspect' }, now);
  };

  const tickProbe = (now: number): types.MembershipEffect[] => {
    const effects: types.MembershipEffect[] = [];
    if (probe && !probe.isIndirect && now - probe.sentAt >= options.pingTimeoutMs) {
      probe.isIndirect = true;
      effects.push(...requestIndirectPings(probe));
    }
    if (now < nextPingAt) return effects;
    if (probe) effects.push(...suspectSubject(probe, now));
    probe = undefined;
    return [...effects, ...startProbe(now)];
  };

  const tickMember = (member: types.Member, now: number): types.MembershipEffect[] => {
    const ageMs = now - (changedAtById.get(member.id) ?? now);
    if (member.status === 'suspect' && ageMs >= options.suspicionMs) {
      return storeMember({ ...member, status: 'dead' }, now);
    }
    const isDeadOrLeft = member.status === 'dead' || member.status === 'left';
    if (isDeadOrLeft && ageMs >= options.forgetMs) {
      members.delete(member.id);
      watermarks.delete(member.id);
      formerRecords.delete(member.id);
      changedAtById.delete(member.id);
    }
    return [];
  };

  const sendWatermarkTo = (
    ids: readonly string[],
    ageMs: number | null,
    records: types.Member[],
  ): types.MembershipEffect[] =>
    ids.flatMap((id): types.MembershipEffect[] => {
      const member = members.get(id);
      if (!member || id === self.id) return [];
      sequence += 1;
      const message = { sequence, from: self.id, mark: watermark, ageMs, members: records };
      return [{ type: 'send', to: getEndpoint(member), message: { type: 'mark', ...message } }];
    });

  const selectAckMembers = (ping: {
    from: string;
    isContact: boolean;
    members: types.Member[];
  }) => {
    const { from: receiver, isContact } = ping;
    const storedRecord = members.get(receiver);
    const sentRecord = ping.members.find(({ id }) => id === receiver);
    // A live member that is recorded as suspect, dead or left must receive that record, or it
    // cannot refute it. The same applies to a member that restarted with a lower incarnation
    // because its clock was set back: its record is ignored in favour of the earlier one.
    const shouldSendRecord =
      storedRecord &&
      (storedRecord.status !== 'alive' ||
        (sentRecord && sentRecord.incarnation < storedRecord.incarnation));
    const previousRecord = formerRecords.take(receiver);
    const leadingRecords = [
      ...(previousRecord ? [previousRecord] : []),
      ...(isContact || options.shouldIncludeSelf ? [self] : []),
      ...(shouldSendRecord ? [storedRecord] : []),
    ];
    const leadingIds = leadingRecords.map(({ id }) => id);
    return [
      ...leadingRecords,
      ...takePiggybackedUpdates(receiver).filter(({ id }) => !leadingIds.includes(id)),
    ];
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
          mark: watermark,
          members: selectAckMembers(message),
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
      return [sendPing(getEndpoint(subject), sequence, subject.id)];
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
      const effects = mergeRecords(message.members, now);
      watermarks.set(message.from, message.mark);
      const ageMs = message.type === 'mark' ? (message.ageMs ?? undefined) : undefined;
      effects.push({ type: 'watermark-received', id: message.from, mark: message.mark, ageMs });
      const handle = handlers[message.type] as (
        message: types.GossipMessage,
        from: types.Endpoint,
        now: number,
      ) => types.MembershipEffect[];
      return [...effects, ...handle(message, from, now)];
    },
    mergeMembers: mergeRecords,
    updateInfo: (info, now) => replaceSelf({ info: { ...self.info, ...info } }, now),
    setWatermark({ position, version, digest, epoch }) {
      // Copies the fields, so that other properties of the caller's object are not sent.
      watermark = { position, version, digest, ...(epoch === undefined ? {} : { epoch }) };
    },
    sendWatermark: (ids, ageMs) => sendWatermarkTo(ids, ageMs, []),
    sendSelf: (ids) => sendWatermarkTo(ids, null, [self]),
    leave: (now) =>
      replaceSelf({ status: 'left', info: { ...self.info, ready: false, target: null } }, now),
    pingEndpoint(to) {
      sequence += 1;
      updateQueue.add(self);
      return [sendPing(to, sequence, undefined, true)];
    },
    getSelf: () => self,
    getMember: (id) => members.get(id),
    listMembers: () => [...members.values()],
    getWatermarks: () => watermarks,
  };
}
