/**
 * Messages between processes and the coordinators of shares. Level `member` is between a process
 * and the coordinator of its data centre, level `keeper` between that and the fleet coordinator.
 */
import * as zod from 'zod';
import * as constants from './constants.js';

const { z } = zod;

const level = z.enum(['member', 'keeper']);

/**
 * A share lease from a member to its data-centre coordinator, or from a data-centre coordinator to
 * the fleet coordinator. The lease starts at `echo`, the time stamp of an earlier response; null
 * before the first response.
 */
export const leaseSchema = z.object({
  level,
  group: z
    .number()
    .int()
    .min(0)
    .max(constants.GROUP_COUNT - 1),
  from: z.string(),
  share: z.number().min(0).max(1),
  exceptions: z.record(z.string(), z.number().min(0).max(1)),
  echo: z.number().nullable(),
});

export const leaseResponseSchema = z.object({ stamp: z.number(), instance: z.string() });

/** A token request, with a count per customer. */
export const takeRequestSchema = z.object({
  level,
  wants: z.record(z.string(), z.number().int().min(0).max(constants.MAX_TOKENS_PER_REQUEST)),
});

export const takeResponseSchema = z.object({ granted: z.record(z.string(), z.number().int()) });

export type Level = zod.infer<typeof level>;
export type LeaseResponse = zod.infer<typeof leaseResponseSchema>;

/** Token counts by customer. */
export type TokenCounts = Readonly<Record<string, number>>;
