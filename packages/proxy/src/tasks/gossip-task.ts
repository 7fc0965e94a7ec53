/** Owns the UDP socket of this process and its membership view. */
import * as dgram from 'node:dgram';
import * as msgpack from '@msgpack/msgpack';
import * as core from '@figshed/core';
import * as jsonRpc from 'json-rpc-2.0';
import * as zod from 'zod';
import type * as context from '../context.js';
import * as schemas from '../gossip-schemas.js';

const { z } = zod;

const envelopeSchema = z.object({ key: z.string(), message: schemas.messageSchema });

const syncAnswerSchema = z.object({ members: z.array(schemas.memberSchema) });

const TICK_MS = 100;
const SYNC_INTERVAL_MS = 30_000;
const SYNC_RETRY_MS = 500;
const SYNC_TIMEOUT_MS = 2_000;
const SEED_INTERVAL_MS = 1_000;
const HALF = 0.5;
const KEY_LENGTH = 16;
const LEAVE_ROUNDS = 3;
const METHOD = 'gossip';

/** Members of a region or data centre; everywhere when neither is given. */
export type Place = Partial<Pick<core.MemberInfo, 'region' | 'dataCentre'>>;

/** The membership of this process, read by the other tasks. */
export interface GossipTask extends context.Task {
  membership: core.Membership;
  /** Members of a place that are alive, whether or not they take calls. */
  listAlive(place: Place): core.Member[];
  /** Members of a data centre that are alive and take calls. */
  listReady(dataCentre: string): core.Member[];
  /**
   * Members of a place that may hold duties: those that take calls, or all that are alive while
   * none does yet.
   */
  listHolders(place: Place): core.Member[];
  merge(members: readonly core.Member[]): void;
  setInfo(info: Partial<core.MemberInfo>): void;
  /** Tells some members of the data centre at once which configuration this process holds. */
  advertise(count: number): void;
  /** Sends a ping to an address whose member may not be known yet. */
  contact(endpoint: core.Endpoint): void;
  leave(): void;
  /** Tells one member, which may stand in another data centre, which configuration is held here. */
  tell(member: core.Member): void;
  traffic(): { sent: number; received: number };
}

/**
 * Creates the gossip task.
 *
 * @example
 * const gossip = createGossipTask(context);
 * await gossip.start();
 */
export function createGossipTask(ctx: context.Context): GossipTask {
  const { settings, clock, random, bus, log, metrics } = ctx;
  const { listen } = settings;
  const socket = dgram.createSocket(listen.address.includes(':') ? 'udp6' : 'udp4');
  const server = new jsonRpc.JSONRPCServer<core.Endpoint>({ errorListener: () => undefined });
  const traffic = { sent: 0, received: 0 };
  const key = core.computeDigest(`gossip|${settings.fleetKey}`).slice(0, KEY_LENGTH);
  let timer: NodeJS.Timeout | undefined;
  let nextSeedAt = 0;
  let nextSyncAt = 0;
  const membership = core.createMembership({
    id: settings.id,
    incarnation: clock.now(),
    info: {
      instance: ctx.instance,
      dataCentre: settings.dataCentre,
      region: settings.region,
      address: listen.address,
      callerPort: listen.callerPort,
      peerPort: listen.peerPort,
      ready: false,
      target: null,
    },
    options: settings.membership,
    random,
  });

  const sendDatagram = (to: core.Endpoint, message: core.GossipMessage): void => {
    const payload = jsonRpc.createJSONRPCNotification(METHOD, { key, message });
    const bytes = msgpack.encode(payload);
    traffic.sent += bytes.byteLength;
    socket.send(bytes, to.port, to.address, () => undefined);
  };

  const logChange = (member: core.Member, before: core.Member | undefined): void => {
    const isSame =
      before?.status === member.status &&
      before.info.ready === member.info.ready &&
      before.info.target?.state === member.info.target?.state;
    if (isSame) return;
    log.info('member', {
      member: member.id,
      status: member.status,
      ready: member.info.ready,
      target: member.info.target?.state,
      dataCentre: member.info.dataCentre,
    });
  };

  const perform = (effects: readonly core.MembershipEffect[]): void => {
    effects.forEach((effect) => {
      if (effect.type === 'send') sendDatagram(effect.to, effect.message);
      else if (effect.type === 'mark-seen') bus.send('mark-seen', effect);
      else {
        logChange(effect.member, effect.before);
        bus.send('member-changed', effect);
      }
    });
  };

  const receive = (params: unknown, from: core.Endpoint | undefined): void => {
    const parsed = envelopeSchema.safeParse(params);
    if (!parsed.success || !from || parsed.data.key !== key) {
      metrics.increment('gossip.refused');
      return;
    }
    perform(membership.receive(parsed.data.message, from, clock.monotonic()));
  };

  const isKnown = (seed: core.Endpoint): boolean =>
    membership
      .list()
      .some(
        ({ info, status }) =>
          status !== 'dead' &&
          status !== 'left' &&
          info.peerPort === seed.port &&
          ctx.locate(info).address === seed.address,
      );

  const contactSeeds = (now: number): void => {
    if (now < nextSeedAt) return;
    nextSeedAt = now + SEED_INTERVAL_MS;
    settings.peers
      .filter((seed) => !isKnown(seed))
      .forEach((seed) => perform(membership.contact(seed)));
  };

  const readDigest = (): string => core.computeMembersDigest(membership.list());

  /** Compares the whole table with one member, which also brings a new process up to date. */
  const syncMembers = async (): Promise<void> => {
    const peers = membership
      .list()
      .filter(
        ({ id, info, status }) =>
          id !== settings.id && status === 'alive' && info.dataCentre === settings.dataCentre,
      );
    const peer = peers[Math.floor(random() * peers.length)];
    if (!peer) return;
    const answer = await ctx.peers.request(
      ctx.locate(peer.info),
      'members.sync',
      { digest: readDigest() },
      SYNC_TIMEOUT_MS,
    );
    nextSyncAt = clock.monotonic() + SYNC_INTERVAL_MS * (HALF + random());
    const { members } = syncAnswerSchema.parse(answer);
    perform(membership.merge(members, clock.monotonic()));
  };

  const tickComparison = (now: number): void => {
    if (now < nextSyncAt) return;
    nextSyncAt = now + SYNC_RETRY_MS;
    syncMembers().catch(() => metrics.increment('gossip.sync-failures'));
  };

  const tick = (): void => {
    const now = clock.monotonic();
    contactSeeds(now);
    tickComparison(now);
    perform(membership.tick(now));
  };

  const listAlive = ({ region, dataCentre }: Place): core.Member[] =>
    membership
      .list()
      .filter(
        ({ info, status }) =>
          status === 'alive' &&
          (region === undefined || info.region === region) &&
          (dataCentre === undefined || info.dataCentre === dataCentre),
      );

  const listReady = (dataCentre: string): core.Member[] =>
    listAlive({ dataCentre }).filter(({ info }) => info.ready);

  const listHolders = (place: Place): core.Member[] => {
    const alive = listAlive(place);
    const ready = alive.filter(({ info }) => info.ready);
    return ready.length > 0 ? ready : alive;
  };

  ctx.peerServer.addMethods({
    'members.sync': (params) => {
      const { digest } = z.object({ digest: z.string() }).parse(params);
      return { members: digest === readDigest() ? [] : membership.list() };
    },
  });
  server.addMethod(METHOD, receive);
  bus.on('target-changed', ({ target }) =>
    perform(membership.setInfo({ target }, clock.monotonic())),
  );
  bus.on('config-applied', ({ config }) => membership.setMark(config));

  return {
    membership,
    listAlive,
    listReady,
    listHolders,
    merge: (members) => perform(membership.merge(members, clock.monotonic())),
    setInfo: (info) => perform(membership.setInfo(info, clock.monotonic())),
    advertise(count) {
      listAlive({ dataCentre: settings.dataCentre })
        .filter(({ id }) => id !== settings.id)
        .map((member) => ({ member, order: random() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .forEach(({ member: { info } }) => perform(membership.contact(ctx.locate(info))));
    },
    tell: ({ info }) => perform(membership.contact(ctx.locate(info))),
    contact: (endpoint) => perform(membership.contact(endpoint)),
    leave() {
      perform(membership.leave(clock.monotonic()));
      for (let round = 0; round < LEAVE_ROUNDS; round += 1) {
        membership
          .list()
          .filter(
            ({ status, info }) => status === 'alive' && info.dataCentre === settings.dataCentre,
          )
          .slice(0, settings.membership.maxPiggyback)
          .forEach(({ info }) => perform(membership.contact(ctx.locate(info))));
      }
    },
    traffic: () => ({ ...traffic }),
    async start() {
      socket.on('message', (bytes, { address, port }) => {
        traffic.received += bytes.byteLength;
        try {
          const payload = msgpack.decode(bytes) as jsonRpc.JSONRPCRequest;
          Promise.resolve(server.receive(payload, { address, port })).catch(() => undefined);
        } catch {
          metrics.increment('gossip.refused');
        }
      });
      await new Promise<void>((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(listen.peerPort, listen.address, resolve);
      });
      socket.on('error', (error) => ctx.reportError('gossip-socket', error));
      timer = setInterval(() => {
        try {
          tick();
        } catch (error) {
          ctx.reportError('gossip-tick', error);
        }
      }, TICK_MS);
    },
    async stop() {
      clearInterval(timer);
      await new Promise<void>((resolve) => {
        socket.close(() => resolve());
      });
    },
  };
}
