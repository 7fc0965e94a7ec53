/**
 * Compact encoding of gossip messages: member records are arrays without field names, to save
 * bandwidth, since the links between regions carry gossip continuously.
 */
import * as msgpack from '@msgpack/msgpack';
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';
import * as schemas from '../gossip-schemas.js';

const memberStatuses: readonly core.MemberStatus[] = ['alive', 'suspect', 'dead', 'left'];
const targetStates: readonly core.TargetState[] = ['up', 'draining', 'down'];

/**
 * Longest array of a datagram; the decoder allocates the stated length of each. A record has 16 fields,
 * and a datagram carries about as many members.
 */
const MAX_ARRAY_LENGTH = 64;

type Row = unknown[];

function packTarget(target: core.TargetInfo | null): Row | null {
  if (!target) return null;
  const { service, slots, state, id, isCold, version } = target;
  const row = [service, slots, targetStates.indexOf(state), id ?? null, isCold ?? null];
  return version === undefined ? row : [...row, version];
}

function unpackTarget(row: Row | null): unknown {
  if (!row) return null;
  const [service, slots, state, id, isCold, version] = row;
  return {
    service,
    slots,
    state: targetStates[Number(state)],
    id: id ?? undefined,
    isCold: isCold ?? undefined,
    ...(version === undefined ? {} : { version }),
  };
}

function packReport({ offset, version, moved, counts }: core.RolloutReport): Row {
  const rows = counts.map(({ route, responses, failures, timed, slow, usualMs }) => [
    route,
    responses,
    failures,
    timed,
    slow,
    usualMs,
  ]);
  return [offset ?? null, version, moved, rows];
}

function unpackReport([offset, version, moved, rows]: Row): unknown {
  const counts = (rows as Row[]).map(([route, responses, failures, timed, slow, usualMs]) => ({
    route,
    responses,
    failures,
    timed,
    slow,
    usualMs,
  }));
  return { offset: offset ?? undefined, version, moved, counts };
}

function packStamp(stamp: core.RolloutStamp): Row {
  const { service, targetVersion, epoch, offset, durationMs, remainingMs, phase, record } = stamp;
  const state = [mesh.rolloutPhases.indexOf(phase), mesh.rolloutRecords.indexOf(record)];
  return [service, targetVersion, epoch, offset, durationMs, remainingMs, ...state];
}

function unpackStamp(row: Row): unknown {
  const [service, targetVersion, epoch, offset, durationMs, remainingMs, phase, record] = row;
  return {
    service,
    targetVersion,
    epoch,
    offset,
    durationMs,
    remainingMs,
    phase: mesh.rolloutPhases[Number(phase)],
    record: mesh.rolloutRecords[Number(record)],
  };
}

/** Stands for no departed target in a record that has crashes, which follow it. */
const NO_DEPARTED_TARGET = '';

/** Packs the fields that most records lack; trailing ones that are missing are left out. */
function packOptionalFields(info: core.MemberInfo): Row {
  const { departedTarget, crashes = [], cleared = [], linkMbps, rollout } = info;
  if (crashes.length + cleared.length === 0 && linkMbps === undefined && !rollout)
    return departedTarget === undefined ? [] : [departedTarget];
  return [
    departedTarget ?? NO_DEPARTED_TARGET,
    crashes.map(({ target, fingerprints }) => [target, ...fingerprints]),
    cleared.map(({ fingerprint, deathIds }) => [fingerprint, ...deathIds]),
    ...(linkMbps === undefined && !rollout ? [] : [linkMbps ?? null]),
    ...(rollout ? [packReport(rollout)] : []),
  ];
}

const listRows = (rows: unknown): Row[] | undefined =>
  Array.isArray(rows) && rows.length === 0 ? undefined : (rows as Row[] | undefined);

function unpackOptionalFields([departedTarget, crashes, cleared, linkMbps, report]: Row): object {
  return {
    departedTarget: departedTarget === NO_DEPARTED_TARGET ? undefined : departedTarget,
    crashes: listRows(crashes)?.map(([target, ...fingerprints]) => ({ target, fingerprints })),
    cleared: listRows(cleared)?.map(([fingerprint, ...deathIds]) => ({ fingerprint, deathIds })),
    linkMbps: linkMbps ?? undefined,
    ...(report === undefined ? {} : { rollout: unpackReport(report as Row) }),
  };
}

function packMember({ id, incarnation, status, info }: core.Member): Row {
  const { instance, dataCentre, region, address, callerPort, peerPort, ready, target } = info;
  const location = [instance, dataCentre, region, address, callerPort, peerPort];
  const state = [ready, packTarget(target), ...packOptionalFields(info)];
  return [id, incarnation, memberStatuses.indexOf(status), ...location, ...state];
}

function unpackMember(row: Row): unknown {
  const [id, incarnation, status, instance, dataCentre, region, address, ...rest] = row;
  const [callerPort, peerPort, ready, target, ...optionalFields] = rest;
  const location = { instance, dataCentre, region, address, callerPort, peerPort };
  const info = {
    ...location,
    ready,
    target: unpackTarget(target as Row | null),
    ...unpackOptionalFields(optionalFields),
  };
  return { id, incarnation, status: memberStatuses[Number(status)], info };
}

/**
 * Encodes a message as the payload of one datagram.
 *
 * @example
 * socket.send(encodeGossip(message), port, address);
 */
export function encodeGossip(message: core.GossipMessage): Uint8Array {
  const { mark, members, rollouts, ...rest } = message;
  const { position, version, digest, epoch } = mark;
  return msgpack.encode({
    ...rest,
    mark: [position, version, digest, ...(epoch === undefined ? [] : [epoch])],
    members: members.map(packMember),
    ...(rollouts ? { rollouts: rollouts.map(packStamp) } : {}),
  });
}

/**
 * Decodes and validates a datagram.
 *
 * @throws Error if the bytes cannot be decoded or do not match the message schema.
 * @example
 * const message = decodeGossip(bytes);
 */
export function decodeGossip(bytes: Uint8Array): core.GossipMessage {
  const raw = msgpack.decode(bytes, { maxArrayLength: MAX_ARRAY_LENGTH }) as {
    mark: Row;
    members: Row[];
    rollouts?: Row[];
  };
  const [position, version, digest, epoch] = raw.mark;
  return schemas.gossipMessageSchema.parse({
    ...raw,
    mark: { position, version, digest, ...(epoch === undefined ? {} : { epoch }) },
    members: raw.members.map(unpackMember),
    ...(raw.rollouts ? { rollouts: raw.rollouts.map(unpackStamp) } : {}),
  });
}
