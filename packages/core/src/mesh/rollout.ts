/**
 * Judges a new version of a target (the canary) by the outcomes of its calls, compared with those of
 * the version in use. The verdict depends on the counts alone, so hosts with the same counts agree.
 */

/** Outcomes of one route at the targets of one version, since the roll-out order was seen. */
export interface RouteCounts {
  route: string;
  responses: number;
  /** Error responses and broken calls, included in `responses`. */
  failures: number;
  /** Successful or abandoned calls whose time is comparable. */
  timed: number;
  /** Timed calls that took several times as long as usual. */
  slow: number;
  /** Usual time of a call in milliseconds; 0 if it is not known. */
  usualMs: number;
}

export interface RolloutTestOptions {
  /**
   * Fewest bad responses of each kind that can condemn a version. A target that fails or stands still
   * for a moment causes several at once.
   */
  minBad: Record<RolloutFinding['kind'], number>;
  /** The same while the old version has few responses, which may be due to missing reports. */
  minBadAlone: number;
  /** Responses of the old version from which on they are enough to compare with. */
  minOldResponses: number;
  /** Fewest bad responses that raise a doubt. */
  minDoubtful: number;
  /** Probability of as many bad responses by chance, below which the version is bad. */
  badProbability: number;
  /** The same, below which a version is not yet trusted with all calls. */
  doubtProbability: number;
  /** Tolerated multiple of the old version's share of bad responses. */
  tolerance: number;
  /** Tolerated share of failures besides. */
  failureAllowance: number;
  /** Tolerated share of slow responses besides: targets differ in speed, and calls in their work. */
  slowAllowance: number;
  /** Fewest responses without which a version cannot be called good. */
  minResponses: number;
}

export const rolloutTestDefaults: RolloutTestOptions = {
  minBad: { failures: 6, slow: 8 },
  minBadAlone: 10,
  minOldResponses: 20,
  minDoubtful: 3,
  // Each roll-out is tested some hundred times on up to nine routes.
  badProbability: 3e-4,
  doubtProbability: 0.01,
  tolerance: 1.3,
  failureAllowance: 0.015,
  slowAllowance: 0.02,
  minResponses: 8,
};

/** Multiple of the usual time from which on a response is slow. */
export const SLOW_FACTOR = 3.5;
/**
 * The same for a call that was abandoned. A hedged call is given up as soon as the other response is
 * there, often before it would count as slow; the calls of both versions are.
 */
export const ABANDONED_FACTOR = 2;
/** Route name under which the counts of all routes beyond the largest are added up. */
export const OTHER_ROUTES = '';

/** The counts that decide a verdict. */
export interface RolloutFinding {
  route: string;
  kind: 'failures' | 'slow';
  bad: number;
  of: number;
  oldBad: number;
  oldOf: number;
  /** Probability of as many bad responses by chance. */
  probability: number;
}

export type RolloutVerdict =
  | { type: 'bad' | 'doubtful'; finding: RolloutFinding }
  | { type: 'good'; responses: number }
  /** Too few responses. */
  | { type: 'unknown'; responses: number };

/**
 * Adds up counts by route; the usual time is the mean, weighted by the timed calls.
 *
 * @example
 * sumRouteCounts([countsOfHost1, countsOfHost2]);
 */
export function sumRouteCounts(lists: readonly (readonly RouteCounts[])[]): RouteCounts[] {
  const sums = new Map<string, { counts: RouteCounts; weight: number; weightedMs: number }>();
  lists.flat().forEach((counts) => {
    const { route, responses, failures, timed, slow, usualMs } = counts;
    const empty = { route, responses: 0, failures: 0, timed: 0, slow: 0, usualMs: 0 };
    const sum = sums.get(route) ?? { counts: empty, weight: 0, weightedMs: 0 };
    sums.set(route, sum);
    sum.counts.responses += responses;
    sum.counts.failures += failures;
    sum.counts.timed += timed;
    sum.counts.slow += slow;
    if (usualMs === 0) return;
    // The usual time also stands for calls before the order, which `timed` does not count.
    sum.weight += timed + 1;
    sum.weightedMs += usualMs * (timed + 1);
  });
  return [...sums.values()].map(({ counts, weight, weightedMs }) => ({
    ...counts,
    usualMs: weight === 0 ? 0 : weightedMs / weight,
  }));
}

/**
 * Computes the probability of at least `successes` successes in `trials` trials.
 *
 * @example
 * computeBinomialTail(4, 4, 0.5); // 0.0625
 */
export function computeBinomialTail(successes: number, trials: number, share: number): number {
  if (successes <= 0 || share >= 1) return 1;
  if (successes > trials || share <= 0) return 0;
  let logTerm = successes * Math.log(share) + (trials - successes) * Math.log1p(-share);
  for (let index = 1; index <= successes; index += 1)
    logTerm += Math.log(trials - successes + index) - Math.log(index);
  let term = Math.exp(logTerm);
  let tail = term;
  for (let count = successes; count < trials && term > tail * 1e-9; count += 1) {
    term *= ((trials - count) / (count + 1)) * (share / (1 - share));
    tail += term;
  }
  return Math.min(1, tail);
}

interface BadCount {
  bad: number;
  of: number;
}

/**
 * Old responses that are assumed besides those counted, half of one of them bad, so that few counts do
 * not claim a share of exactly 0 or 1.
 */
const PRIOR_RESPONSES = 50;
const PRIOR_BAD = 0.5;

const kinds: Record<RolloutFinding['kind'], (counts: RouteCounts) => BadCount> = {
  failures: ({ failures, responses }) => ({ bad: failures, of: responses }),
  slow: ({ slow, timed }) => ({ bad: slow, of: timed }),
};

function computeTotals(list: readonly RouteCounts[], kind: RolloutFinding['kind']): BadCount {
  return list
    .map(kinds[kind])
    .reduce((sum, { bad, of }) => ({ bad: sum.bad + bad, of: sum.of + of }), { bad: 0, of: 0 });
}

function listFindings(
  canary: readonly RouteCounts[],
  old: readonly RouteCounts[],
  kind: RolloutFinding['kind'],
  options: RolloutTestOptions,
): RolloutFinding[] {
  const allowance = kind === 'failures' ? options.failureAllowance : options.slowAllowance;
  const oldTotals = computeTotals(old, kind);
  const test = (route: string, { bad, of }: BadCount, oldCount: BadCount): RolloutFinding => {
    // A route on which the old version has no responses is compared with all its routes.
    const base = oldCount.of === 0 ? oldTotals : oldCount;
    const share = (base.bad + PRIOR_BAD) / (base.of + PRIOR_RESPONSES);
    const tolerated = share * options.tolerance + allowance;
    const probability = computeBinomialTail(bad, of, tolerated);
    return { route, kind, bad, of, oldBad: base.bad, oldOf: base.of, probability };
  };
  const oldByRoute = new Map(old.map((counts) => [counts.route, kinds[kind](counts)]));
  return [
    test('all', computeTotals(canary, kind), oldTotals),
    ...canary.map((counts) =>
      test(counts.route, kinds[kind](counts), oldByRoute.get(counts.route) ?? { bad: 0, of: 0 }),
    ),
  ];
}

/**
 * Judges the canary. It is bad if failures or slow responses on any route, or on all routes together,
 * are more than the old version's share explains.
 *
 * @example
 * judgeCanary(canaryCounts, oldCounts, rolloutTestDefaults).type; // 'good'
 */
export function judgeCanary(
  canary: readonly RouteCounts[],
  old: readonly RouteCounts[],
  options: RolloutTestOptions,
): RolloutVerdict {
  const findings = [
    ...listFindings(canary, old, 'failures', options),
    ...listFindings(canary, old, 'slow', options),
  ].sort((left, right) => left.probability - right.probability);
  const isAlone = computeTotals(old, 'failures').of < options.minOldResponses;
  const badFinding = findings.find(
    ({ kind, bad, probability }) =>
      bad >= (isAlone ? options.minBadAlone : options.minBad[kind]) &&
      probability < options.badProbability,
  );
  if (badFinding) return { type: 'bad', finding: badFinding };
  const doubtfulFinding = findings.find(
    ({ bad, probability }) => bad >= options.minDoubtful && probability < options.doubtProbability,
  );
  if (doubtfulFinding) return { type: 'doubtful', finding: doubtfulFinding };
  const responses = computeTotals(canary, 'failures').of;
  return { type: responses < options.minResponses ? 'unknown' : 'good', responses };
}
