/**
 * Learns the expected work of calls from what tells them apart: route, path, account, size of the body
 * and calling service. Work is relative: 1 is the mean work of a call of its service, so that estimates
 * from targets of different speed can be combined. Each finer feature has a factor relative to the
 * estimate of the coarser ones, which counts only once enough samples show that it differs from 1.
 */

export interface WorkEstimateOptions {
  /** Half-life of the weight of a sample, in milliseconds. */
  halfLifeMs: number;
  /** Weight of samples that a factor needs to count; fewer may be a single heavy call. */
  minSamples: number;
  /** Standard errors by which the mean must differ from the estimate of the coarser features. */
  minStandardErrors: number;
  /** Smallest difference that counts, as a share; a smaller one changes no decision. */
  minDifference: number;
  /** Largest sample; a larger one shows that a target was stuck, not that the call is heavy. */
  maxWork: number;
  /** Maximum number of features that are stored; the least recently sampled are dropped. */
  maxFeatures: number;
}

export const workEstimateDefaults: WorkEstimateOptions = {
  halfLifeMs: 30_000,
  minSamples: 4,
  minStandardErrors: 2,
  minDifference: 0.25,
  maxWork: 30,
  // About 0.4 MB with keys of paths, on hosts of 250 MB.
  maxFeatures: 2_000,
};

export interface WorkFeatures {
  service: string;
  route: string;
  path: string;
  account: string | undefined;
  /** Size of the body; undefined if it is not known. */
  bodyBytes: number | undefined;
  callerService: string | undefined;
}

/** Keys of the features of one call, the service first and then from coarse to fine. */
export type WorkKeys = readonly string[];

export interface WorkEstimates {
  /** Records the work of a finished call, relative to the mean of its service. */
  addSample(keys: WorkKeys, work: number, now: number): void;
  /** Estimates the work of a call, relative to the mean of its service; 1 without samples. */
  estimate(keys: WorkKeys, now: number): number;
  /** Estimates the work of a call relative to the mean of its route; 1 without samples. */
  estimateWithinRoute(keys: WorkKeys, now: number): number;
  /** Returns the number of features that are stored. */
  countFeatures(): number;
}

interface FeatureStats {
  /** Weight of the samples. */
  weight: number;
  /** Sum of the samples. */
  actual: number;
  /** Sum of what the coarser features predicted for them. */
  predicted: number;
  /** Sum of the squared differences. */
  squares: number;
  sampledAt: number;
}

const SEPARATOR = '\n';
const PREFIX_SEGMENTS = 2;
/** Longer paths share a key; the limit bounds memory. */
const MAX_PATH_LENGTH = 96;
/** Bodies of one class differ by at most this factor in size. */
const SIZE_CLASS_FACTOR = 4;
const SMALLEST_CLASS_BYTES = 1_024;
/** Index of the first key that is finer than the route. */
const FIRST_FINE_KEY = 2;

function computeSizeClass(bodyBytes: number | undefined): string {
  if (bodyBytes === undefined) return 'unknown';
  const ratio = Math.max(1, bodyBytes / SMALLEST_CLASS_BYTES);
  return String(Math.ceil(Math.log(ratio) / Math.log(SIZE_CLASS_FACTOR)));
}

function findPrefixEnd(path: string): number {
  let end = 0;
  for (let segment = 0; segment < PREFIX_SEGMENTS && end >= 0; segment += 1)
    end = path.indexOf('/', end + 1);
  return end < 0 ? path.length : end;
}

/**
 * Computes the keys of a call's features.
 *
 * @example
 * const keys = computeWorkKeys({ ...features, path: '/a/reports/7?year=1' });
 */
export function computeWorkKeys(features: WorkFeatures): WorkKeys {
  const { service, route, path, account, bodyBytes, callerService } = features;
  const queryStart = path.indexOf('?');
  const plainPath = path.slice(
    0,
    queryStart < 0 ? MAX_PATH_LENGTH : Math.min(queryStart, MAX_PATH_LENGTH),
  );
  const prefix = plainPath.slice(0, findPrefixEnd(plainPath));
  const routeKey = `${service}${SEPARATOR}${route}`;
  return [
    service,
    routeKey,
    `${routeKey}${SEPARATOR}p${prefix}`,
    ...(prefix === plainPath ? [] : [`${routeKey}${SEPARATOR}f${plainPath}`]),
    ...(account === undefined ? [] : [`${routeKey}${SEPARATOR}a${account}`]),
    `${routeKey}${SEPARATOR}s${computeSizeClass(bodyBytes)}`,
    `${routeKey}${SEPARATOR}c${callerService ?? ''}`,
  ];
}

/**
 * Creates estimates without samples.
 *
 * @example
 * const estimates = createWorkEstimates(workEstimateDefaults);
 * estimates.addSample(keys, serviceMs / unitMs, now);
 */
export function createWorkEstimates(options: WorkEstimateOptions): WorkEstimates {
  const statsByKey = new Map<string, FeatureStats>();

  const computeFreshness = (stats: FeatureStats, now: number): number =>
    0.5 ** (Math.max(0, now - stats.sampledAt) / options.halfLifeMs);

  const computeFactor = (stats: FeatureStats | undefined, now: number): number => {
    if (!stats || stats.weight * computeFreshness(stats, now) < options.minSamples) return 1;
    const excess = stats.actual - stats.predicted;
    if (Math.abs(excess) < options.minStandardErrors * Math.sqrt(stats.squares)) return 1;
    // One more sample as predicted keeps the factor of few samples near 1.
    const prior = stats.predicted / stats.weight;
    const factor = (stats.actual + prior) / (stats.predicted + prior);
    return Math.abs(factor - 1) < options.minDifference ? 1 : factor;
  };

  const computeProduct = (keys: WorkKeys, from: number, now: number): number => {
    let product = 1;
    for (let index = from; index < keys.length; index += 1)
      product *= computeFactor(statsByKey.get(keys[index] ?? ''), now);
    return product;
  };

  /** Returns the mean estimate of the calls of a service, by which estimates are divided. */
  const getServiceMean = (service: string | undefined): number => {
    const stats = statsByKey.get(service ?? '');
    return stats ? stats.actual / stats.weight : 1;
  };

  const addToFeature = (key: string, actual: number, predicted: number, now: number): void => {
    const stats = statsByKey.get(key) ?? {
      weight: 0,
      actual: 0,
      predicted: 0,
      squares: 0,
      sampledAt: now,
    };
    const freshness = computeFreshness(stats, now);
    stats.weight = stats.weight * freshness + 1;
    stats.actual = stats.actual * freshness + actual;
    stats.predicted = stats.predicted * freshness + predicted;
    stats.squares = stats.squares * freshness + (actual - predicted) ** 2;
    stats.sampledAt = now;
    // Reinserted as the most recently sampled.
    statsByKey.delete(key);
    statsByKey.set(key, stats);
  };

  const dropLeastRecent = (): void => {
    while (statsByKey.size > options.maxFeatures) {
      const [leastRecent] = statsByKey.keys();
      statsByKey.delete(leastRecent ?? '');
    }
  };

  return {
    addSample(keys, work, now) {
      const [service = ''] = keys;
      const sample = Math.min(work, options.maxWork) * getServiceMean(service);
      let predicted = 1;
      for (let index = 1; index < keys.length; index += 1) {
        const key = keys[index] ?? '';
        const factor = computeFactor(statsByKey.get(key), now);
        addToFeature(key, sample, predicted, now);
        predicted *= factor;
      }
      addToFeature(service, predicted, 1, now);
      dropLeastRecent();
    },
    estimate: (keys, now) => computeProduct(keys, 1, now) / getServiceMean(keys[0]),
    estimateWithinRoute: (keys, now) => computeProduct(keys, FIRST_FINE_KEY, now),
    countFeatures: () => statsByKey.size,
  };
}
