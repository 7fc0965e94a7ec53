/** Exponential moving averages of response sizes by kind of call. */
export interface ResponseSizes {
  addSample(kind: string, bytes: number): void;
  /** Returns the mean size in bytes; 0 without samples. */
  getMeanBytes(kind: string): number;
}

/** Weight of the newest sample. */
const GAIN = 0.1;

/**
 * Creates averages without samples.
 *
 * @example
 * const sizes = createResponseSizes();
 * sizes.addSample('download', 90_000);
 */
export function createResponseSizes(): ResponseSizes {
  const meanBytesByKind = new Map<string, number>();
  return {
    addSample(kind, bytes) {
      const previousMean = meanBytesByKind.get(kind) ?? bytes;
      meanBytesByKind.set(kind, previousMean + (bytes - previousMean) * GAIN);
    },
    getMeanBytes: (kind) => meanBytesByKind.get(kind) ?? 0,
  };
}
