/**
 * Joins data centres: a few delegates of each exchange members and configuration marks, so that
 * the traffic between data centres does not grow with the number of processes.
 */
import * as core from '@figshed/core';
import * as zod from 'zod';
import type * as context from '../context.js';
import * as gossipSchemas from '../gossip-schemas.js';
import type * as configTask from './config-task.js';
import type * as gossipModule from './gossip-task.js';

const { z } = zod;

const DELEGATES_PER_DATA_CENTRE = 2;
const EXCHANGE_INTERVAL_MS = 1_000;
/** Every how many intervals data centres of other regions are asked; the log brings news sooner. */
const OTHER_REGION_INTERVALS = 2;
const EXCHANGE_TIMEOUT_MS = 1_000;
/** Silence after which a data centre counts as unreachable. */
const UNREACHABLE_MS = 5_000;
/** Age from which a record that its own data centre no longer lists is dropped. */
const ABSENT_MS = 60_000;
const CONTACTS_STREAM = 'members';
const CONTACTS_PER_RECORD = 5;
const CONTACTS_SHARE = 0.25;
/** Share of the start's time that is left to the peers in the settings. */
const CONTACTS_PATIENCE = 0.6;

const exchangeSchema = z.object({
  from: z.string(),
  dataCentre: z.string(),
  mark: gossipSchemas.markSchema,
  /** Digest of what the sender knows of the receiver's data centre. */
  digest: z.string(),
  /** Incarnation and status of each member that the sender knows, when the digest did not match. */
  known: z.record(z.string(), z.string()).nullable(),
});

const exchangeAnswerSchema = z.object({
  mark: gossipSchemas.markSchema,
  isSame: z.boolean(),
  members: z.array(gossipSchemas.memberSchema),
  ids: z.array(z.string()),
});

const contactsSchema = z.object({
  type: z.literal('contacts'),
  members: z.array(gossipSchemas.memberSchema),
});

type Exchange = zod.infer<typeof exchangeSchema>;

/** What this process knows of the other data centres. */
export interface DelegateTask extends context.Task {
  /** Tells whether a data centre answered lately; one's own always did. */
  isReachable(dataCentre: string): boolean;
  /** A delegate of each other data centre, if one is known. */
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
  gossip: gossipModule.GossipTask,
  config: configTask.ConfigTask,
): DelegateTask {
  const { settings, clock, log, metrics, peers, platform } = ctx;
  const heardAt = new Map<string, number>();
  const digestMismatch = new Set<string>();
  let timer: NodeJS.Timeout | undefined;
  let nextContactsAt = 0;
  let isReadingContacts = false;
  let startedAt = 0;
  let tickCount = 0;

  const listMembers = (dataCentre: string): core.Member[] =>
    gossip.membership
      .list()
      .filter(({ info, status }) => info.dataCentre === dataCentre && status !== 'left');

  const listDataCentres = (): string[] => [
    ...new Set(gossip.membership.list().map(({ info }) => info.dataCentre)),
  ];

  const listDelegatesOf = (dataCentre: string): core.Member[] => {
    const holders = gossip.listHolders({ dataCentre });
    const ids = core.chooseHolders(
      `delegate|${dataCentre}`,
      holders.map(({ id }) => id),
      DELEGATES_PER_DATA_CENTRE,
    );
    return holders.filter(({ id }) => ids.includes(id));
  };

  const isDelegate = (): boolean =>
    listDelegatesOf(settings.dataCentre).some(({ id }) => id === settings.id);

  const dropAbsent = (dataCentre: string, ids: readonly string[]): void => {
    const cutoff = clock.now() - ABSENT_MS;
    const absent = listMembers(dataCentre)
      .filter((member) => !ids.includes(member.id) && member.incarnation < cutoff)
      .filter(({ status }) => status !== 'dead')
      .map((member) => ({ ...member, status: 'dead' as const }));
    gossip.merge(absent);
  };

  const isReachable = (dataCentre: string): boolean => {
    if (dataCentre === settings.dataCentre) return true;
    const at = heardAt.get(dataCentre);
    // Only delegates hear of other data centres; the others assume the best.
    return at === undefined || clock.monotonic() - at < UNREACHABLE_MS;
  };

  const noteHeard = (dataCentre: string): void => {
    if (heardAt.has(dataCentre) && !isReachable(dataCentre)) {
      log.info('data-centre-reachable', { dataCentre });
    }
    heardAt.set(dataCentre, clock.monotonic());
  };

  const exchange = async (dataCentre: string, peer: core.Member): Promise<void> => {
    const members = listMembers(dataCentre);
    const isMismatch = digestMismatch.has(dataCentre);
    const question: Exchange = {
      from: settings.id,
      dataCentre: settings.dataCentre,
      mark: config.readMark(),
      digest: core.computeMembersDigest(members),
      known: isMismatch
        ? Object.fromEntries(members.map((member) => [member.id, core.formatRecord(member)]))
        : null,
    };
    const address = ctx.locate(peer.info);
    const answer = exchangeAnswerSchema.parse(
      await peers.request(address, 'delegate.exchange', question, EXCHANGE_TIMEOUT_MS),
    );
    noteHeard(dataCentre);
    metrics.increment('delegate.exchanges');
    if (isMismatch) {
      gossip.merge(answer.members);
      dropAbsent(dataCentre, answer.ids);
    }
    if (answer.isSame) digestMismatch.delete(dataCentre);
    else digestMismatch.add(dataCentre);
    config.receiveMark(peer.id, answer.mark);
    // What differs is fetched at once, so that news crosses in one interval.
    if (!answer.isSame && !isMismatch) await exchange(dataCentre, peer);
  };

  const handleExchange = (params: unknown): zod.infer<typeof exchangeAnswerSchema> => {
    const question = exchangeSchema.parse(params);
    noteHeard(question.dataCentre);
    config.receiveMark(question.from, question.mark);
    const own = listMembers(settings.dataCentre);
    const { known } = question;
    return {
      mark: config.readMark(),
      isSame: core.computeMembersDigest(own) === question.digest,
      members: known ? own.filter((member) => known[member.id] !== core.formatRecord(member)) : [],
      ids: known ? own.map(({ id }) => id) : [],
    };
  };

  const choosePeer = (dataCentre: string): core.Member | undefined => {
    const delegates = listDelegatesOf(dataCentre);
    // What is known of a data centre may be old, so any member will do to learn more.
    const pool = delegates.length > 0 ? delegates : listMembers(dataCentre);
    return pool[Math.floor(ctx.random() * pool.length)];
  };

  const readRegion = (dataCentre: string): string | undefined =>
    listMembers(dataCentre)[0]?.info.region;

  const listOthers = (): string[] =>
    listDataCentres().filter((dataCentre) => dataCentre !== settings.dataCentre);

  const exchangeAll = (): void => {
    tickCount += 1;
    const isEveryRegion = tickCount % OTHER_REGION_INTERVALS === 0;
    listOthers()
      .filter((dataCentre) => isEveryRegion || readRegion(dataCentre) === settings.region)
      .forEach((dataCentre) => {
        const peer = choosePeer(dataCentre);
        if (!peer) return;
        exchange(dataCentre, peer).catch(() => {
          metrics.increment('delegate.failures');
        });
      });
  };

  /** A reader of the log tells the other data centres of its region at once. */
  const tellRegion = (): void =>
    listOthers()
      .filter((dataCentre) => readRegion(dataCentre) === settings.region)
      .map(choosePeer)
      .forEach((peer) => {
        if (peer) gossip.tell(peer);
      });

  const writeContacts = async (): Promise<void> => {
    const members = gossip.listReady(settings.dataCentre).slice(0, CONTACTS_PER_RECORD);
    await platform.append(CONTACTS_STREAM, { type: 'contacts', members });
    metrics.increment('delegate.contacts');
  };

  const isAlone = (): boolean =>
    gossip.membership.list().filter(({ status }) => status === 'alive').length <= 1;

  const readContacts = async (): Promise<void> => {
    const { records } = await platform.read(CONTACTS_STREAM, 0, 0);
    records.slice(-CONTACTS_PER_RECORD).forEach(({ body }) => {
      const contacts = contactsSchema.safeParse(body);
      if (!contacts.success) return;
      contacts.data.members
        .filter(({ id }) => id !== settings.id)
        .forEach(({ info }) => gossip.contact(ctx.locate(info)));
    });
  };

  const tickContacts = (): void => {
    const patienceMs = settings.peers.length > 0 ? settings.startTimeoutMs * CONTACTS_PATIENCE : 0;
    const isPatient = clock.monotonic() - startedAt < patienceMs;
    if (isAlone() && !isReadingContacts && !isPatient) {
      isReadingContacts = true;
      readContacts()
        .catch(() => metrics.increment('delegate.contact-failures'))
        .finally(() => {
          isReadingContacts = false;
        });
    }
    const now = clock.monotonic();
    const isFirst = listDelegatesOf(settings.dataCentre)[0]?.id === settings.id;
    if (!isFirst || now < nextContactsAt) return;
    nextContactsAt = now + settings.platform.retentionMs * CONTACTS_SHARE;
    writeContacts().catch(() => {
      nextContactsAt = clock.monotonic() + UNREACHABLE_MS;
    });
  };

  ctx.bus.on('config-applied', ({ source }) => {
    if (source === 'log') tellRegion();
  });
  ctx.peerServer.addMethods({ 'delegate.exchange': handleExchange });

  return {
    isReachable,
    listDelegates: () =>
      listOthers()
        .map(choosePeer)
        .filter((member): member is core.Member => member !== undefined),
    async start() {
      startedAt = clock.monotonic();
      timer = setInterval(() => {
        try {
          if (isDelegate()) exchangeAll();
          tickContacts();
        } catch (error) {
          ctx.reportError('delegate-tick', error);
        }
      }, EXCHANGE_INTERVAL_MS);
    },
    async stop() {
      clearInterval(timer);
    },
  };
}
