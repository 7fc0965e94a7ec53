/**
 * Packs gossip into few bytes: records travel as rows without field names, since links between
 * regions carry them all the time.
 */
import * as msgpack from '@msgpack/msgpack';
import type * as core from '@figshed/core';
import * as schemas from '../gossip-schemas.js';

const statuses: readonly core.MemberStatus[] = ['alive', 'suspect', 'dead', 'left'];
const states: readonly core.TargetState[] = ['up', 'draining', 'down'];

type Row = unknown[];

function packTarget(target: core.TargetInfo | null): Row | null {
  if (!target) return null;
  const { service, slots, state, id, isCold } = target;
  return [service, slots, states.indexOf(state), id ?? null, isCold ?? null];
}

function unpackTarget(row: Row | null): unknown {
  if (!row) return null;
  const [service, slots, state, id, isCold] = row;
  return {
    service,
    slots,
    state: states[Number(state)],
    id: id ?? undefined,
    isCold: isCold ?? undefined,
  };
}

function packMember({ id, incarnation, status, info }: core.Member): Row {
  const { instance, dataCentre, region, address, callerPort, peerPort, ready, target } = info;
  const places = [instance, dataCentre, region, address, callerPort, peerPort];
  return [id, incarnation, statuses.indexOf(status), ...places, ready, packTarget(target)];
}

function unpackMember(row: Row): unknown {
  const [id, incarnation, status, instance, dataCentre, region, address, ...rest] = row;
  const [callerPort, peerPort, ready, target] = rest;
  const places = { instance, dataCentre, region, address, callerPort, peerPort };
  const info = { ...places, ready, target: unpackTarget(target as Row | null) };
  return { id, incarnation, status: statuses[Number(status)], info };
}

/**
 * Encodes a message for one datagram.
 *
 * @example
 * socket.send(encodeGossip(message), port, address);
 */
export function encodeGossip(message: core.GossipMessage): Uint8Array {
  const { mark, members, ...rest } = message;
  const { position, version, digest } = mark;
  return msgpack.encode({
    ...rest,
    mark: [position, version, digest],
    members: members.map(packMember),
  });
}

/**
 * Decodes and checks a datagram.
 *
 * @throws an Error that names what cannot be read.
 * @example
 * const message = decodeGossip(bytes);
 */
export function decodeGossip(bytes: Uint8Array): core.GossipMessage {
  const raw = msgpack.decode(bytes) as { mark: Row; members: Row[] };
  const [position, version, digest] = raw.mark;
  return schemas.messageSchema.parse({
    ...raw,
    mark: { position, version, digest },
    members: raw.members.map(unpackMember),
  });
}
