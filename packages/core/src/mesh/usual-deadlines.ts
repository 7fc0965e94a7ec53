/**
 * Tells how long a caller has waited before this try. Load pattern: callers who were turned away
 * and come back with what is left of their time; to them an answer has its full value only until
 * the objective that began with their first try.
 */

/** What callers of each route usually give as their deadline. */
export interface UsualDeadlines {
  /** Notes the deadline of one try and returns the time that its caller has spent before. */
  note(route: string, deadlineMs: number): number;
}

/** Share by which a known deadline nears a shorter one, so that a change of habit is learned. */
const FORGET_SHARE = 0.005;

/**
 * Creates the memory of deadlines; the first try of each route counts as nothing spent.
 *
 * @example
 * const deadlines = createUsualDeadlines();
 * deadlines.note('read', 1_500); // 0
 * deadlines.note('read', 1_100); // 400
 */
export function createUsualDeadlines(): UsualDeadlines {
  const known = new Map<string, number>();
  return {
    note(route, deadlineMs) {
      const usual = Math.max(deadlineMs, known.get(route) ?? 0);
      known.set(route, usual - (usual - deadlineMs) * FORGET_SHARE);
      return usual - deadlineMs;
    },
  };
}
