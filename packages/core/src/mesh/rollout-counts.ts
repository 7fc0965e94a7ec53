import * as rollout from './rollout.js';

/** Counts the outcomes of one target's calls by route, as the host beside it sees them. */
export interface OutcomeCounts {
  /**
   * Records a call. `tookMs` is undefined if its time says nothing of the target; `usualMs` is the
   * usual time of its route at all targets of the version in use.
   */
  record(
    route: string,
    outcome: { isFailure: boolean; tookMs: number | undefined },
    usualMs: number | undefined,
  ): void;
  /** Records a call that was abandoned after `ranMs`; it counts only if it was slow by then. */
  recordAbandoned(route: string, ranMs: number, usualMs: number | undefined): void;
  /** Lists the largest routes, and the others as one. */
  list(): rollout.RouteCounts[];
  /** Starts counting again; the usual times are kept. */
  reset(): void;
}

/** Bounds the memory; calls of further routes are counted together. */
const MAX_ROUTES = 64;
/** Routes in a gossip record, which must stay small. */
const MAX_LISTED_ROUTES = 8;
/** Weight of the newest call in the usual time; the half-life is about 30 calls. */
const SMOOTHING_FACTOR = 0.02;
/** Calls from which on the usual time is a moving average, and the plain mean before. */
const MIN_AVERAGED_CALLS = 50;

/**
 * Creates empty counts.
 *
 * @example
 * const counts = createOutcomeCounts();
 * counts.record('read', { isFailure: false, tookMs: 20 }, 18);
 */
export function createOutcomeCounts(): OutcomeCounts {
  const routes = new Map<string, rollout.RouteCounts & { averagedCalls: number }>();

  const getOrCreate = (name: string): rollout.RouteCounts & { averagedCalls: number } => {
    const route = routes.has(name) || routes.size < MAX_ROUTES ? name : rollout.OTHER_ROUTES;
    const counts = routes.get(route) ?? {
      route,
      responses: 0,
      failures: 0,
      timed: 0,
      slow: 0,
      usualMs: 0,
      averagedCalls: 0,
    };
    routes.set(route, counts);
    return counts;
  };

  return {
    record(route, { isFailure, tookMs }, usualMs) {
      const counts = getOrCreate(route);
      counts.responses += 1;
      if (isFailure) counts.failures += 1;
      if (isFailure || tookMs === undefined) return;
      if (usualMs !== undefined) {
        counts.timed += 1;
        if (tookMs > usualMs * rollout.SLOW_FACTOR) counts.slow += 1;
      }
      counts.averagedCalls += 1;
      const weight =
        counts.averagedCalls < MIN_AVERAGED_CALLS ? 1 / counts.averagedCalls : SMOOTHING_FACTOR;
      counts.usualMs += (tookMs - counts.usualMs) * weight;
    },
    recordAbandoned(route, ranMs, usualMs) {
      // A caller that leaves early says nothing of the target.
      if (usualMs === undefined || ranMs <= usualMs * rollout.ABANDONED_FACTOR) return;
      const counts = getOrCreate(route);
      counts.responses += 1;
      counts.timed += 1;
      counts.slow += 1;
    },
    list() {
      const sorted = [...routes.values()]
        .map(({ averagedCalls, ...counts }) => ({
          ...counts,
          usualMs: Math.round(counts.usualMs * 10) / 10,
        }))
        .filter(({ responses, usualMs }) => responses > 0 || usualMs > 0)
        .sort((left, right) => right.responses - left.responses);
      const rest = sorted
        .slice(MAX_LISTED_ROUTES)
        .map((counts) => ({ ...counts, route: rollout.OTHER_ROUTES, usualMs: 0 }));
      return rollout.sumRouteCounts([sorted.slice(0, MAX_LISTED_ROUTES), rest]);
    },
    reset() {
      routes.forEach((counts) =>
        Object.assign(counts, { responses: 0, failures: 0, timed: 0, slow: 0 }),
      );
    },
  };
}
