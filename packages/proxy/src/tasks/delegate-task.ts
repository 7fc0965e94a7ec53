/**
 * Exchanges member records and configuration watermarks between data centres. A few members of
 * each data centre, its delegates, start the exchanges, so that the traffic between data centres
 * does not grow with the number of processes.
 */
import * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import * as gossipSchemas from '../gossip-schemas.js';
import type * as configTask from './config-task.js';
import type * as gossipTask from './gossip-task.js';

const { z } = zod;

const DELEGATES_PER_DATA_CENTRE = 2;
const EXCHANGE_INTERVAL_MS = 1_000;
/**
 * Number of exchange intervals between exchanges with other regions. Their readers get changes from
 * the log sooner.
 */
const OTHER_REGION_INTERVALS = 2;
const EXCHANGE_TIMEOUT_MS = 1_000;
/**
 * Time without an exchange after which a data centre is reported as unreachable, and delay before
 * contacts are written again after a failure.
 */
const UNREACHABLE_AFTER_MS = 5_000;
/** Time since the start of a member from which it is marked dead if its data centre omits it. */
const MIN_ABSENT_AGE_MS = 60_000;
const CONTACTS_STREAM = 'members';
/** Maximum number of members in a contact record, and of the newest records that are read. */
const CONTACTS_PER_RECORD = 5;
/** Interval between contact records, as a share of the log's retention time. */
const CONTACTS_INTERVAL_SHARE = 0.25;
/**
 * Share of the start time-out for which only the peers in the settings are tried, before the stored
 * contacts.
 */
const CONTACTS_DELAY_SHARE = 0.6;

const exchangeRequestSchema = z.object({
  from: z.string(),
  dataCentre: z.string(),
  mark: gossipSchemas.configWatermarkSchema,
  /** Digest of the sender's records of the receiver's data centre. */
  digest: z.string(),
  /**
   * Incarnation and status of each of these records by member ID, or null while the digests match.
   */
  known: z.record(z.string(), z.string()).nullable(),
});

const exchangeResponseSchema = z.object({
  mark: gossipSchemas.configWatermarkSchema,
  isSame: z.boolean(),
  members: z.array(gossipSchemas.memberSchema),
  ids: z.array(z.string()),
});

const contactsSchema = z.object({
  type: z.literal('contacts'),
  members: z.array(gossipSchemas.memberSchema),
});

type ExchangeRequest = zod.infer<typeof exchangeRequestSchema>;

export interface DelegateTask extends context.Task {
  /**
   * Returns whether a data centre took part in an exchange with this process recently. True for the
   * own data centre, and for one without any exchange so far.
   */
  isReachable(dataCentre: string): boolean;
  /** Lists one delegate of each other data centre, or any member where no delegate is known. */
  listDelegates(): core.Member[];
}

/**
 * Creates the delegate task.
 *
 * @example
 * const delegate = createDelegateTask(context, gossip, config);
 */
export function createDelegateTask(
  ctx: context.Context,
  gossip: gossipTask.GossipTask,
  config: configTask.ConfigTask,
): DelegateTask {
  const { settings, clock, log, metrics, peerClient, logClient } = ctx;
  const lastExchangeAt = new Map<string, number>();
  const mismatchedDataCentres = new Set<string>();
  let tickTimer: NodeJS.Timeout | undefined;
  let nextContactsAt = 0;
  let isReadingContacts = false;
  let startedAt = 0;
  let tickCount = 0;

  const listMembers = (dataCentre: string): core.Member[] =>
    gossip.membership
      .listMembers()
      .filter(({ info, status }) => info.dataCentre === dataCentre && status !== 'left');

  const listDataCentres = (): string[] => [
    ...new Set(gossip.membership.listMembers().map(({ info }) => info.dataCentre)),
  ];

  const chooseDelegates = (dataCentre: string): core.Member[] => {
    const candidates = gossip.listDutyCandidates({ dataCentre });
    const ids = core.chooseByRendezvousHash(
      `delegate|${dataCentre}`,
      candidates.map(({ id }) => id),
      DELEGATES_PER_DATA_CENTRE,
    );
    return candidates.filter(({ id }) => ids.includes(id));
  };

  const isDelegate = (): boolean =>
    chooseDelegates(settings.dataCentre).some(({ id }) => id === settings.id);

  const markAbsentMembersDead = (dataCentre: string, ids: readonly string[]): void => {
    const cutoff = clock.now() - MIN_ABSENT_AGE_MS;
    const absentMembers = listMembers(dataCentre)
      .filter((member) => !ids.includes(member.id) && member.incarnation < cutoff)
      .filter(({ status }) => status !== 'dead')
      .map((member) => ({ ...member, status: 'dead' as const }));
    gossip.mergeMembers(absentMembers);
  };

  const isReachable = (dataCentre: string): boolean => {
    if (dataCentre === settings.dataCentre) return true;
    const exchangedAt = lastExchangeAt.get(dataCentre);
    // Undefined on most members that are not delegates, which treat the data centre as reachable.
    return exchangedAt === undefined || clock.monotonic() - exchangedAt < UNREACHABLE_AFTER_MS;
  };

  const recordExchange = (dataCentre: string): void => {
    if (lastExchangeAt.has(dataCentre) && !isReachable(dataCentre)) {
      log.info('data-centre-reachable', { dataCentre });
    }
    lastExchangeAt.set(dataCentre, clock.monotonic());
  };

  const exchangeWith = async (dataCentre: string, peer: core.Member): Promise<void> => {
    const members = listMembers(dataCentre);
    const isMismatch = mismatchedDataCentres.has(dataCentre);
    const request: ExchangeRequest = {
      from: settings.id,
      dataCentre: settings.dataCentre,
      mark: config.getWatermark(),
      digest: core.computeMembersDigest(members),
      known: isMismatch
        ? Object.fromEntries(members.map((member) => [member.id, core.formatRecordVersion(member)]))
        : null,
    };
    const address = ctx.resolveEndpoint(peer.info);
    const response = exchangeResponseSchema.parse(
      await peerClient.request(address, 'delegate.exchange', request, EXCHANGE_TIMEOUT_MS),
    );
    recordExchange(dataCentre);
    metrics.increment('delegate.exchanges');
    if (isMismatch) {
      gossip.mergeMembers(response.members);
      markAbsentMembersDead(dataCentre, response.ids);
    }
    if (response.isSame) mismatchedDataCentres.delete(dataCentre);
    else mismatchedDataCentres.add(dataCentre);
    config.receiveWatermark(peer.id, response.mark);
    // Fetches the differing records at once, so that updates arrive within one interval.
    if (!response.isSame && !isMismatch) await exchangeWith(dataCentre, peer);
  };

  const handleExchange = (params: unknown): zod.infer<typeof exchangeResponseSchema> => {
    const request = exchangeRequestSchema.parse(params);
    recordExchange(request.dataCentre);
    config.receiveWatermark(request.from, request.mark);
    const ownMembers = listMembers(settings.dataCentre);
    const { known } = request;
    return {
      mark: config.getWatermark(),
      isSame: core.computeMembersDigest(ownMembers) === request.digest,
      members: known
        ? ownMembers.filter((member) => known[member.id] !== core.formatRecordVersion(member))
        : [],
      ids: known ? ownMembers.map(({ id }) => id) : [],
    };
  };

  const choosePeer = (dataCentre: string): core.Member | undefined => {
    const delegates = chooseDelegates(dataCentre);
    // Without a known delegate any member is tried, because the records of that data centre may be
    // stale.
    const choices = delegates.length > 0 ? delegates : listMembers(dataCentre);
    return choices[Math.floor(ctx.random() * choices.length)];
  };

  const getRegion = (dataCentre: string): string | undefined =>
    listMembers(dataCentre)[0]?.info.region;

  const listOtherDataCentres = (): string[] =>
    listDataCentres().filter((dataCentre) => dataCentre !== settings.dataCentre);

  const exchangeAll = (): void => {
    tickCount += 1;
    const shouldIncludeOtherRegions = tickCount % OTHER_REGION_INTERVALS === 0;
    listOtherDataCentres()
      .filter(
        (dataCentre) => shouldIncludeOtherRegions || getRegion(dataCentre) === settings.region,
      )
      .forEach((dataCentre) => {
        const peer = choosePeer(dataCentre);
        if (!peer) return;
        exchangeWith(dataCentre, peer).catch(() => {
          metrics.increment('delegate.failures');
        });
      });
  };

  /**
   * Pings the other data centres of the region, to send them the configuration watermark of this
   * process without waiting for the next exchange.
   */
  const pingRegion = (): void =>
    listOtherDataCentres()
      .filter((dataCentre) => getRegion(dataCentre) === settings.region)
      .map(choosePeer)
      .forEach((peer) => {
        if (peer) gossip.pingMember(peer);
      });

  const writeContacts = async (): Promise<void> => {
    const members = gossip.listReady(settings.dataCentre).slice(0, CONTACTS_PER_RECORD);
    await logClient.append(CONTACTS_STREAM, { type: 'contacts', members });
    metrics.increment('delegate.contacts');
  };

  const hasNoLivePeer = (): boolean =>
    gossip.membership.listMembers().filter(({ status }) => status === 'alive').length <= 1;

  const readContacts = async (): Promise<void> => {
    const { records } = await logClient.read(CONTACTS_STREAM, 0, 0);
    records.slice(-CONTACTS_PER_RECORD).forEach(({ body }) => {
      const parsed = contactsSchema.safeParse(body);
      if (!parsed.success) return;
      parsed.data.members
        .filter(({ id }) => id !== settings.id)
        .forEach(({ info }) => gossip.pingEndpoint(ctx.resolveEndpoint(info)));
    });
  };

  const updateContacts = (): void => {
    const contactsDelayMs =
      settings.peers.length > 0 ? settings.startTimeoutMs * CONTACTS_DELAY_SHARE : 0;
    const isWaitingForPeers = clock.monotonic() - startedAt < contactsDelayMs;
    if (hasNoLivePeer() && !isReadingContacts && !isWaitingForPeers) {
      isReadingContacts = true;
      readContacts()
        .catch(() => metrics.increment('delegate.contact-failures'))
        .finally(() => {
          isReadingContacts = false;
        });
    }
    const now = clock.monotonic();
    const isFirstDelegate = chooseDelegates(settings.dataCentre)[0]?.id === settings.id;
    if (!isFirstDelegate || now < nextContactsAt) return;
    nextContactsAt = now + settings.platform.retentionMs * CONTACTS_INTERVAL_SHARE;
    writeContacts().catch(() => {
      nextContactsAt = clock.monotonic() + UNREACHABLE_AFTER_MS;
    });
  };

  ctx.bus.on('config-applied', ({ source }) => {
    if (source === 'log') pingRegion();
  });
  ctx.peerServer.addMethods({ 'delegate.exchange': handleExchange });

  return {
    isReachable,
    listDelegates: () =>
      listOtherDataCentres()
        .map(choosePeer)
        .filter((member): member is core.Member => member !== undefined),
    async start() {
      startedAt = clock.monotonic();
      tickTimer = setInterval(() => {
        try {
          if (isDelegate()) exchangeAll();
          updateContacts();
        } catch (error) {
          ctx.reportError('delegate-tick', error);
        }
      }, EXCHANGE_INTERVAL_MS);
    },
    async stop() {
      clearInterval(tickTimer);
    },
  };
}
