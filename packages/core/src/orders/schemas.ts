/** Schemas of the records on an orders stream. */
import * as zod from 'zod';

const { z } = zod;

/** Answer of a finished order, which is replayed to repeated requests. */
export const orderAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Base64-encoded body, or null when it was too large to keep. */
  body: z.string().nullable(),
});

/** One entry; `key` identifies the order and `claimId` one attempt to run it. */
export const orderEntrySchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('claim'),
    key: z.string(),
    claimId: z.string(),
    /** Digest of the request, which detects a key that is reused for a different order. */
    fingerprint: z.string(),
  }),
  z.object({
    type: z.literal('done'),
    key: z.string(),
    claimId: z.string(),
    answer: orderAnswerSchema,
  }),
  z.object({ type: z.literal('release'), key: z.string(), claimId: z.string() }),
]);

/** A batch of entries in one record. */
export const orderBatchSchema = z.object({
  type: z.literal('orders'),
  batchId: z.string(),
  entries: z.array(orderEntrySchema),
});

export type OrderAnswer = zod.infer<typeof orderAnswerSchema>;
export type OrderEntry = zod.infer<typeof orderEntrySchema>;
export type OrderBatch = zod.infer<typeof orderBatchSchema>;
