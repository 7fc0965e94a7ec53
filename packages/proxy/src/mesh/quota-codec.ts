/** Compact encoding of the messages of the quotas, one a datagram: arrays without field names. */
import * as msgpack from '@msgpack/msgpack';
import * as z from 'zod';
import * as mesh from '@figshed/core/mesh';

export type QuotaMessage =
  { type: 'request'; request: mesh.QuotaRequest } | { type: 'reply'; reply: mesh.QuotaReply };

const REQUEST_TYPE = 1;
const REPLY_TYPE = 2;
const MAX_NAME_LENGTH = 256;
/** Above the number of coordinators in use, for versions that use more. */
const MAX_COORDINATORS = 16;
/** Far above what one host can be asked for in one turn of its event loop. */
const MAX_TOKENS = 100_000;
const MAX_HOSTS = 100_000;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const namesSchema = z.array(nameSchema).max(MAX_COORDINATORS);
const countSchema = z.number().int().nonnegative();
const tokensSchema = countSchema.max(MAX_TOKENS);
const timeSchema = z.number().nonnegative();
const stampSchema = z
  .tuple([timeSchema, timeSchema])
  .transform(([instance, at]) => ({ instance, at }));

const delegationSchema = z
  .tuple([
    countSchema,
    z.number().int().positive().max(MAX_HOSTS),
    z.boolean(),
    namesSchema,
    namesSchema.nullable(),
  ])
  .transform(([generation, knownHosts, isProvisional, coordinators, next]) => ({
    generation,
    knownHosts,
    isProvisional,
    coordinators,
    next: next ?? undefined,
  }));

const askSchema = z
  .tuple([nameSchema, tokensSchema, tokensSchema, tokensSchema])
  .transform(([account, waiting, ahead, refused]) => ({ account, waiting, ahead, refused }));

const answerSchema = z
  .tuple([tokensSchema, timeSchema, timeSchema, z.number().min(0).max(1)])
  .transform(([granted, nextMs, spacingMs, share]) => ({ granted, nextMs, spacingMs, share }));

const requestSchema = z
  .tuple([
    z.literal(REQUEST_TYPE),
    countSchema,
    nameSchema,
    timeSchema,
    stampSchema.nullable(),
    delegationSchema.nullable(),
    z.array(askSchema).max(mesh.MAX_ASKS_PER_REQUEST),
  ])
  .transform(([, sequence, from, instance, echo, delegation, asks]): QuotaMessage => ({
    type: 'request',
    request: {
      sequence,
      from,
      instance,
      echo: echo ?? undefined,
      delegation: delegation ?? undefined,
      asks,
    },
  }));

const replySchema = z
  .tuple([
    z.literal(REPLY_TYPE),
    countSchema,
    nameSchema,
    stampSchema,
    z.number().int(),
    z.array(answerSchema).max(mesh.MAX_ASKS_PER_REQUEST),
  ])
  .transform(([, sequence, from, stamp, heldGeneration, answers]): QuotaMessage => ({
    type: 'reply',
    reply: { sequence, from, stamp, heldGeneration, answers },
  }));

/** Looked up by the type of a message, since a failed attempt to parse costs more than a successful one. */
const schemasByType = new Map<unknown, z.ZodType<QuotaMessage>>([
  [REQUEST_TYPE, requestSchema],
  [REPLY_TYPE, replySchema],
]);

const packStamp = ({ instance, at }: mesh.QuotaStamp): number[] => [instance, at];

/**
 * Encodes a request as the payload of one datagram.
 *
 * @example
 * socket.send(encodeQuotaRequest(request), port, address);
 */
export function encodeQuotaRequest(request: mesh.QuotaRequest): Uint8Array {
  const { sequence, from, instance, echo, delegation, asks } = request;
  return msgpack.encode([
    REQUEST_TYPE,
    sequence,
    from,
    instance,
    echo ? packStamp(echo) : null,
    delegation
      ? [
          delegation.generation,
          delegation.knownHosts,
          delegation.isProvisional,
          delegation.coordinators,
          delegation.next ?? null,
        ]
      : null,
    asks.map(({ account, waiting, ahead, refused }) => [account, waiting, ahead, refused]),
  ]);
}

/**
 * Encodes a reply as the payload of one datagram.
 *
 * @example
 * socket.send(encodeQuotaReply(reply), port, address);
 */
export function encodeQuotaReply(reply: mesh.QuotaReply): Uint8Array {
  const { sequence, from, stamp, heldGeneration, answers } = reply;
  return msgpack.encode([
    REPLY_TYPE,
    sequence,
    from,
    packStamp(stamp),
    heldGeneration,
    answers.map(({ granted, nextMs, spacingMs, share }) => [granted, nextMs, spacingMs, share]),
  ]);
}

/**
 * Decodes and validates a datagram.
 *
 * @throws Error if the bytes cannot be decoded or do not match the message schema.
 * @example
 * const message = decodeQuotaMessage(bytes);
 */
export function decodeQuotaMessage(bytes: Uint8Array): QuotaMessage {
  const message = msgpack.decode(bytes, { maxArrayLength: mesh.MAX_ASKS_PER_REQUEST });
  const type: unknown = Array.isArray(message) ? message[0] : undefined;
  return (schemasByType.get(type) ?? requestSchema).parse(message);
}
