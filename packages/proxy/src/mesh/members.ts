/** Keeps the view of all hosts by gossip over UDP, after first contact by the platform. */
import * as dgram from 'node:dgram';
import * as core from '@figshed/core';
import type * as contextModule from './context.js';
import * as gossipCodec from './gossip-codec.js';
import type * as types from './types.js';

/** The view of one process. */
export interface Members {
  list(): core.Member[];
  setInfo(info: Partial<core.MemberInfo>): void;
  setVersion(version: number): void;
  /** Tells members the version, which was known to be the newest `ageMs` ago. */
  tellVersion(ids: readonly string[], ageMs: number): void;
  start(): Promise<void>;
  /** Tells others that this process leaves. */
  leave(): void;
  stop(): void;
}

/** What the view needs. */
export interface MembersInput {
  ctx: contextModule.MeshContext;
  firstContact: types.FirstContact;
  onChange: (member: core.Member, before: core.Member | undefined) => void;
  /**
   * Hears which configuration version a member holds, and how long ago it was known to be the
   * newest, in milliseconds.
   */
  onVersion: (member: core.Member, version: number, ageMs: number | undefined) => void;
}

const TICK_MS = 100;
/** Hosts that hear of a change of this one at once; gossip reaches the rest. */
const MAX_TOLD_AT_ONCE = 32;
/** Hosts that a new process contacts at once; enough that some live after a large loss. */
const MAX_FIRST_CONTACTS = 24;
/** How often a host that is not known to live is contacted; cuts heal within a few of these. */
const RECONTACT_MS = 500;
/** How often the list of known hosts is read again, for strangers that gossip has missed. */
const RELIST_MS = 20_000;
/** A failed read or announcement is tried again after this, doubled up to half of the 2 s in which
    an entry must be back after an outage. */
const RETRY_MS = 250;
const MAX_RETRY_MS = 1_000;
const RELIST_JITTER = 0.5;

const options: core.MembershipOptions = {
  ...core.membershipDefaults,
  scope: 'fleet',
  // One ping a second keeps traffic flat; two seconds let a busy host answer before it is dropped.
  pingIntervalMs: 500,
  pingTimeoutMs: 200,
  suspicionMs: 2_000,
  forgetMs: 120_000,
  maxPiggyback: 8,
  // With fewer sends, gossip of this kind leaves some hosts out; what is lost all the same comes with
  // the next probe between the two.
  tellsSelf: true,
  // Hosts of other regions are watched by their own; this finds cuts between regions.
  farProbeShare: 0.25,
};

const formatEndpoint = ({ address, port }: core.Endpoint): string => `${address}:${port}`;

/**
 * Creates the view; it holds only this process until `start`.
 *
 * @example
 * const members = createMembers({ ctx, firstContact, onChange, onVersion });
 */
export function createMembers(input: MembersInput): Members {
  const { ctx, firstContact, onChange, onVersion } = input;
  const { settings, clock, log, metrics, random } = ctx;
  const socket = dgram.createSocket('udp4');
  const own: core.Endpoint = { address: settings.address, port: settings.peerPort };
  const listed = new Map<string, core.Endpoint>();
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
    },
    options,
    random,
  });
  let tickTimer: NodeJS.Timeout | undefined;
  let contactTimer: NodeJS.Timeout | undefined;
  let listTimer: NodeJS.Timeout | undefined;
  let announceTimer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const sendDatagram = (to: core.Endpoint, message: core.GossipMessage): void => {
    const bytes = gossipCodec.encodeGossip(message);
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

  const perform = (effects: readonly core.MembershipEffect[]): void => {
    effects.forEach((effect) => {
      if (effect.type === 'send') sendDatagram(effect.to, effect.message);
      else if (effect.type === 'member-changed') {
        logChange(effect.member, effect.before);
        onChange(effect.member, effect.before);
      } else {
        const member = membership.get(effect.id);
        if (member) onVersion(member, effect.mark.version, effect.ageMs);
      }
    });
  };

  const receive = (bytes: Buffer, from: core.Endpoint): void => {
    let message;
    try {
      message = gossipCodec.decodeGossip(bytes);
    } catch (error) {
      metrics.count('gossip_refused_total');
      log.debug('gossip-refused', { from: from.address, message: (error as Error).message });
      return;
    }
    perform(membership.receive(message, from, clock.monotonic()));
  };

  const isLive = (endpoint: core.Endpoint): boolean =>
    membership
      .list()
      .some(
        ({ status, info }) =>
          (status === 'alive' || status === 'suspect') &&
          info.address === endpoint.address &&
          info.peerPort === endpoint.port,
      );

  const contact = (endpoint: core.Endpoint): void => perform(membership.contact(endpoint));

  const pickRandom = <T>(items: readonly T[], count: number): T[] =>
    items
      .map((item) => ({ item, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, count)
      .map(({ item }) => item);

  const noteListed = (endpoints: readonly core.Endpoint[]): void => {
    listed.clear();
    endpoints
      .filter((endpoint) => formatEndpoint(endpoint) !== formatEndpoint(own))
      .forEach((endpoint) => listed.set(formatEndpoint(endpoint), endpoint));
    const strangers = [...listed.values()].filter((endpoint) => !isLive(endpoint));
    pickRandom(strangers, MAX_FIRST_CONTACTS).forEach(contact);
  };

  /** Contacts one host that is not known to live, so that cuts heal and the returned are found. */
  const recontact = (): void => {
    const lost = membership
      .list()
      .filter(({ id, status }) => id !== settings.id && (status === 'dead' || status === 'left'))
      .map(({ info }) => ({ address: info.address, port: info.peerPort }));
    const strangers = [...listed.values(), ...lost].filter((endpoint) => !isLive(endpoint));
    pickRandom(strangers, 1).forEach(contact);
  };

  const relist = (retryMs: number): void => {
    firstContact
      .list()
      .then((endpoints) => {
        noteListed(endpoints);
        log.debug('hosts-listed', { hosts: endpoints.length });
        return RELIST_MS * (1 + RELIST_JITTER * random());
      })
      .catch((error: Error) => {
        log.warn('first-contact-failed', { step: 'list', message: error.message, retryMs });
        return retryMs;
      })
      .then((delayMs) => {
        if (isStopped) return;
        listTimer = setTimeout(
          () => relist(Math.min(MAX_RETRY_MS, delayMs === retryMs ? retryMs * 2 : RETRY_MS)),
          delayMs,
        );
      })
      .catch((error: Error) => log.error('relist-failed', { message: error.message }));
  };

  const announce = async (retryMs: number): Promise<void> => {
    try {
      await firstContact.announce(own);
    } catch (error) {
      log.warn('first-contact-failed', {
        step: 'announce',
        message: (error as Error).message,
        retryMs,
      });
      if (isStopped) return;
      announceTimer = setTimeout(() => {
        announce(Math.min(MAX_RETRY_MS, retryMs * 2)).catch((failure: Error) =>
          log.error('announce-failed', { message: failure.message }),
        );
      }, retryMs);
    }
  };

  /** Tells some live members at once, those of the own region first; gossip reaches the others. */
  const tellNow = (): void => {
    const live = membership
      .list()
      .filter(({ id, status }) => id !== settings.id && status === 'alive');
    const ids = pickRandom(live, MAX_TOLD_AT_ONCE).map(({ id }) => id);
    perform(membership.tellSelf(ids));
  };

  return {
    list: () => membership.list(),
    setInfo(info) {
      perform(membership.setInfo(info, clock.monotonic()));
      tellNow();
    },
    setVersion(version) {
      membership.setMark({ position: version, version, digest: '' });
    },
    tellVersion: (ids, ageMs) => perform(membership.tellMark(ids, Math.round(ageMs))),
    async start() {
      socket.on('message', receive);
      socket.on('error', (error) => log.error('gossip-socket', { message: error.message }));
      await new Promise<void>((resolve) => {
        socket.bind(own.port, own.address, resolve);
      });
      tickTimer = setInterval(() => perform(membership.tick(clock.monotonic())), TICK_MS);
      contactTimer = setInterval(recontact, RECONTACT_MS);
      // Announced before the list is read: of two that start at once, one then finds the other.
      announce(RETRY_MS)
        .then(() => relist(RETRY_MS))
        .catch((error: Error) => log.error('announce-failed', { message: error.message }));
    },
    leave() {
      perform(membership.leave(clock.monotonic()));
      tellNow();
    },
    stop() {
      isStopped = true;
      clearInterval(tickTimer);
      clearInterval(contactTimer);
      clearTimeout(listTimer);
      clearTimeout(announceTimer);
      socket.close();
    },
  };
}
