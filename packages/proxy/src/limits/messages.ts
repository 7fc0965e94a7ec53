/** Messages between processes and the keepers of shares. */
import * as zod from 'zod';
import * as constants from './constants.js';

const { z } = zod;

const level = z.enum(['member', 'keeper']);

/** A loan: to the keeper of a data centre by a member, or to that of the fleet by a keeper. */
export const lendSchema = z.object({
  level,
  group: z
    .number()
    .int()
    .min(0)
    .max(constants.GROUPS - 1),
  from: z.string(),
  share: z.number().min(0).max(1),
  exceptions: z.record(z.string(), z.number().min(0).max(1)),
  echo: z.number().nullable(),
});

export const lendAnswerSchema = z.object({ stamp: z.number(), instance: z.string() });

/** A question for tokens, by customer. */
export const takeSchema = z.object({
  level,
  wants: z.record(z.string(), z.number().int().min(0).max(constants.MAX_COUNT)),
});

export const takeAnswerSchema = z.object({ granted: z.record(z.string(), z.number().int()) });

export type Level = zod.infer<typeof level>;
export type LendAnswer = zod.infer<typeof lendAnswerSchema>;

/** Counts of tokens by customer. */
export type TokenCounts = Readonly<Record<string, number>>;
