/** Runs the gossip protocol of this process over UDP and holds its member table. */
import * as dgram from 'node:dgram';
import * as msgpack from '@msgpack/msgpack';
import * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';
import * as jsonRpc from 'json-rpc-2.0';
import * as zod from 'zod';
import type * as context from '../context.js';
import * as gossipSchemas from '../gossip-schemas.js';

const { z } = zod;

const envelopeSchema = z.object({ key: z.string(), message: gossipSchemas.gossipMessageSchema });

const syncResponseSchema = z.object({ members: z.array(gossipSchemas.memberSchema) });

const TICK_INTERVAL_MS = 100;
const SYNC_INTERVAL_MS = 30_000;
const SYNC_RETRY_MS = 500;
const SYNC_TIMEOUT_MS = 2_000;
const SEED_PING_INTERVAL_MS = 1_000;
const MIN_JITTER_FACTOR = 0.5;
const KEY_LENGTH = 16;
const LEAVE_ROUNDS = 3;
const GOSSIP_METHOD = 'gossip';

/** Selects the members of a region or data centre, or all members when neither is set. */
export type MemberFilter = Partial<Pick<core.MemberInfo, 'region' | 'dataCentre'>>;

/** Membership of the fleet as this process has observed it. */
export interface GossipTask extends context.Task {
  membership: core.Membership;
  /** Lists the selected members that are alive, whether or not they accept calls. */
  listAlive(filter: MemberFilter): core.Member[];
  /** Lists the members of a data centre that are alive and accept calls. */
  listReady(dataCentre: string): core.Member[];
  /**
   * Lists the selected members to which duties may be assigned: those that accept calls, or all
   * that are alive while none accepts calls yet.
   */
  listDutyCandidates(filter: MemberFilter): core.Member[];
  /** Merges member records that were received outside of gossip. */
  mergeMembers(members: readonly core.Member[]): void;
  /** Changes the record of this process and queues it for dissemination. */
  setInfo(info: Partial<core.MemberInfo>): void;
  /**
   * Pings up to `count` random members of the data centre at once. Pings carry the record and the
   * configuration watermark of this process, so that changes of either arrive before the next
   * gossip round.
   */
  pingRandomMembers(count: number): void;
  /** Pings an endpoint whose member may not be in the table yet. */
  pingEndpoint(endpoint: core.Endpoint): void;
  /** Marks this process as left and disseminates that. */
  leave(): void;
  /** Pings one member of any data centre, to send it the watermark of this process. */
  pingMember(member: core.Member): void;
  /** Returns the bytes of all datagrams sent and received. */
  getTraffic(): { sent: number; received: number };
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
  const datagramBytes = { sent: 0, received: 0 };
  const key = core.computeDigest(`gossip|${settings.fleetKey}`).slice(0, KEY_LENGTH);
  let tickTimer: NodeJS.Timeout | undefined;
  let nextSeedPingAt = 0;
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
    const payload = jsonRpc.createJSONRPCNotification(GOSSIP_METHOD, { key, message });
    const bytes = msgpack.encode(payload);
    datagramBytes.sent += bytes.byteLength;
    socket.send(bytes, to.port, to.address, () => undefined);
  };

  const logMemberChange = (member: core.Member, before: core.Member | undefined): void => {
    const isUnchanged =
      before?.status === member.status &&
      before.info.ready === member.info.ready &&
      before.info.target?.state === member.info.target?.state;
    if (isUnchanged) return;
    log.info('member', {
      member: member.id,
      status: member.status,
      ready: member.info.ready,
      target: member.info.target?.state,
      dataCentre: member.info.dataCentre,
    });
  };

  const performEffects = (effects: readonly core.MembershipEffect[]): void => {
    effects.forEach((effect) => {
      if (effect.type === 'send') sendDatagram(effect.to, effect.message);
      else if (effect.type === 'watermark-received') bus.send('watermark-received', effect);
      else if (effect.type === 'member-changed') {
        logMemberChange(effect.member, effect.before);
        bus.send('member-changed', effect);
      }
    });
  };

  const receiveMessage = (params: unknown, from: core.Endpoint | undefined): void => {
    const parsed = envelopeSchema.safeParse(params);
    if (!parsed.success || !from || parsed.data.key !== key) {
      metrics.increment('gossip.refused');
      return;
    }
    performEffects(membership.receive(parsed.data.message, from, clock.monotonic()));
  };

  const isSeedInTable = (seed: core.Endpoint): boolean =>
    membership
      .listMembers()
      .some(
        ({ info, status }) =>
          status !== 'dead' &&
          status !== 'left' &&
          info.peerPort === seed.port &&
          ctx.resolveEndpoint(info).address === seed.address,
      );

  const pingSeeds = (now: number): void => {
    if (now < nextSeedPingAt) return;
    nextSeedPingAt = now + SEED_PING_INTERVAL_MS;
    settings.peers
      .filter((seed) => !isSeedInTable(seed))
      .forEach((seed) => performEffects(membership.pingEndpoint(seed)));
  };

  const computeTableDigest = (): string => core.computeMembersDigest(membership.listMembers());

  /**
   * Compares the digest of the member table with one random member of the data centre, and merges
   * the records of that member if the digests differ. A new process gets its first table this way.
   */
  const syncMembers = async (): Promise<void> => {
    const peers = membership
      .listMembers()
      .filter(
        ({ id, info, status }) =>
          id !== settings.id && status === 'alive' && info.dataCentre === settings.dataCentre,
      );
    const peer = peers[Math.floor(random() * peers.length)];
    if (!peer) return;
    const response = await ctx.peerClient.request(
      ctx.resolveEndpoint(peer.info),
      'members.sync',
      { digest: computeTableDigest() },
      SYNC_TIMEOUT_MS,
    );
    nextSyncAt = clock.monotonic() + SYNC_INTERVAL_MS * (MIN_JITTER_FACTOR + random());
    const { members } = syncResponseSchema.parse(response);
    performEffects(membership.mergeMembers(members, clock.monotonic()));
  };

  const syncMembersIfDue = (now: number): void => {
    if (now < nextSyncAt) return;
    nextSyncAt = now + SYNC_RETRY_MS;
    syncMembers().catch(() => metrics.increment('gossip.sync-failures'));
  };

  const tick = (): void => {
    const now = clock.monotonic();
    pingSeeds(now);
    syncMembersIfDue(now);
    performEffects(membership.tick(now));
  };

  const listAlive = ({ region, dataCentre }: MemberFilter): core.Member[] =>
    membership
      .listMembers()
      .filter(
        ({ info, status }) =>
          status === 'alive' &&
          (region === undefined || info.region === region) &&
          (dataCentre === undefined || info.dataCentre === dataCentre),
      );

  const listReady = (dataCentre: string): core.Member[] =>
    listAlive({ dataCentre }).filter(({ info }) => info.ready);

  const listDutyCandidates = (filter: MemberFilter): core.Member[] => {
    const alive = listAlive(filter);
    const ready = alive.filter(({ info }) => info.ready);
    return ready.length > 0 ? ready : alive;
  };

  ctx.peerServer.addMethods({
    'members.sync': (params) => {
      const { digest } = z.object({ digest: z.string() }).parse(params);
      return { members: digest === computeTableDigest() ? [] : membership.listMembers() };
    },
  });
  server.addMethod(GOSSIP_METHOD, receiveMessage);
  bus.on('target-changed', ({ target }) =>
    performEffects(membership.updateInfo({ target }, clock.monotonic())),
  );
  bus.on('config-applied', ({ config }) => membership.setWatermark(config));

  return {
    membership,
    listAlive,
    listReady,
    listDutyCandidates,
    mergeMembers: (members) => performEffects(membership.mergeMembers(members, clock.monotonic())),
    setInfo: (info) => performEffects(membership.updateInfo(info, clock.monotonic())),
    pingRandomMembers(count) {
      listAlive({ dataCentre: settings.dataCentre })
        .filter(({ id }) => id !== settings.id)
        .map((member) => ({ member, sortKey: random() }))
        .sort((left, right) => left.sortKey - right.sortKey)
        .slice(0, count)
        .forEach(({ member: { info } }) =>
          performEffects(membership.pingEndpoint(ctx.resolveEndpoint(info))),
        );
    },
    pingMember: ({ info }) => performEffects(membership.pingEndpoint(ctx.resolveEndpoint(info))),
    pingEndpoint: (endpoint) => performEffects(membership.pingEndpoint(endpoint)),
    leave() {
      performEffects(membership.leave(clock.monotonic()));
      for (let round = 0; round < LEAVE_ROUNDS; round += 1) {
        membership
          .listMembers()
          .filter(
            ({ status, info }) => status === 'alive' && info.dataCentre === settings.dataCentre,
          )
          .slice(0, settings.membership.maxPiggyback)
          .forEach(({ info }) =>
            performEffects(membership.pingEndpoint(ctx.resolveEndpoint(info))),
          );
      }
    },
    getTraffic: () => ({ ...datagramBytes }),
    async start() {
      socket.on('message', (bytes, { address, port }) => {
        datagramBytes.received += bytes.byteLength;
        try {
          const payload = runtime.decodeMessage(bytes) as jsonRpc.JSONRPCRequest;
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
      tickTimer = setInterval(() => {
        try {
          tick();
        } catch (error) {
          ctx.reportError('gossip-tick', error);
        }
      }, TICK_INTERVAL_MS);
    },
    async stop() {
      clearInterval(tickTimer);
      await new Promise<void>((resolve) => {
        socket.close(() => resolve());
      });
    },
  };
}
