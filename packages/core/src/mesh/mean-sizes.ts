/** Learns how large the answers of each kind are. */

/** Moving means by kind. */
export interface MeanSizes {
  note(kind: string, bytes: number): void;
  /** Mean size in bytes; 0 while none is known. */
  meanBytes(kind: string): number;
}

/** Weight of the newest answer in its mean. */
const GAIN = 0.1;

/**
 * Creates means without samples.
 *
 * @example
 * const sizes = createMeanSizes();
 * sizes.note('download', 90_000);
 */
export function createMeanSizes(): MeanSizes {
  const means = new Map<string, number>();
  return {
    note(kind, bytes) {
      const known = means.get(kind) ?? bytes;
      means.set(kind, known + (bytes - known) * GAIN);
    },
    meanBytes: (kind) => means.get(kind) ?? 0,
  };
}
