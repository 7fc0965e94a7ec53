/** Accounts for the time that attempts hold slots of the target, by route and by outcome. */
import type * as context from './context.js';

/** What came of an attempt; `late` is a success after the latency objective of its call. */
export type SlotOutcome = 'in-time' | 'late' | 'failed' | 'abandoned';

export interface SlotUsage {
  /** Records an attempt of a route that has held a slot for `heldMs`. */
  record(route: string, outcome: SlotOutcome, heldMs: number): void;
}

const LOG_INTERVAL_MS = 1_000;

/**
 * Creates an account that is empty. With the first attempt that ends after an interval, it logs one
 * `slot-usage` line for each route and outcome of that interval.
 *
 * @example
 * const slotUsage = createSlotUsage(ctx);
 * slotUsage.record('read', 'in-time', 120);
 */
export function createSlotUsage({
  clock,
  log,
  metrics,
}: Pick<context.MeshContext, 'clock' | 'log' | 'metrics'>): SlotUsage {
  const totals = new Map<string, { route: string; outcome: SlotOutcome; heldMs: number }>();
  let startedAt = clock.monotonic();

  const writeTotals = (now: number): void => {
    totals.forEach(({ route, outcome, heldMs }) =>
      log.info('slot-usage', {
        route,
        outcome,
        heldMs: Math.round(heldMs),
        overMs: Math.round(now - startedAt),
      }),
    );
    totals.clear();
    startedAt = now;
  };

  return {
    record(route, outcome, heldMs) {
      const now = clock.monotonic();
      if (now - startedAt >= LOG_INTERVAL_MS) writeTotals(now);
      const key = `${route} ${outcome}`;
      const total = totals.get(key) ?? { route, outcome, heldMs: 0 };
      total.heldMs += heldMs;
      totals.set(key, total);
      metrics.count('slot_ms_total', { route, outcome }, heldMs);
    },
  };
}
