/**
 * Bounds the memory that a process holds for its callers and peers, from the first byte of a request
 * until its call no longer needs it.
 */
import type * as core from '@figshed/core';
import * as runtime from '@figshed/runtime';

/** Bytes held for one call. */
export interface Holding {
  /**
   * Reserves `bytes` more. If there is no room, holders that can be ended are ended first: those
   * without progress, then those larger than this one will be. Returns false, and reserves nothing, if
   * that is not enough.
   */
  reserve(bytes: number): boolean;
  /** Counts `bytes` that are in memory anyway, also beyond the limit. */
  charge(bytes: number): void;
  /**
   * Sets how to end the holder to free its bytes; undefined while it must not be ended. With
   * `readProgress`, it is ended only while that returns the same number for STALL_MS.
   */
  setEnd(end: (() => void) | undefined, readProgress?: () => number): void;
  /** Releases all bytes; no-op if repeated. */
  release(): void;
}

/** Limit on the bytes that are held at once. */
export interface ByteBudget {
  /** Reserves `bytes`; returns false, and reserves nothing, if the limit would be exceeded. */
  reserve(bytes: number): boolean;
  release(bytes: number): void;
  /** Opens a holding that is expected to grow to `expectedBytes`. */
  open(expectedBytes: number): Holding;
  getUsedBytes(): number;
}

/** Holdings of up to `maxBytes` may use `share` of the limit; larger ones the share of the next entry. */
export interface BudgetTier {
  maxBytes: number;
  share: number;
}

interface Entry {
  sizeBytes: number;
  progressAt: number;
  end: (() => void) | undefined;
  readProgress: (() => number) | undefined;
  progress: number | undefined;
}

/** A sender that pauses for longer is ended first when its bytes are needed. */
const STALL_MS = 1_000;

/**
 * Creates a budget of `limitBytes`. With `tiers`, in ascending order, small holdings keep room that
 * large ones cannot use.
 *
 * @example
 * const holding = createByteBudget(50_000_000).open(1_000);
 * if (holding.reserve(1_000)) holding.release();
 */
export function createByteBudget(
  limitBytes: number,
  tiers: readonly BudgetTier[] = [],
  clock: core.Clock = runtime.systemClock,
): ByteBudget {
  /** Holdings that can be ended. */
  const endable = new Set<Entry>();
  let usedBytes = 0;

  const getLimitBytes = (sizeBytes: number): number =>
    limitBytes * (tiers.find(({ maxBytes }) => sizeBytes <= maxBytes)?.share ?? 1);

  /** Chooses the largest holding without progress; otherwise the largest above `minBytes`. */
  const chooseEndable = (self: Entry, minBytes: number): Entry | undefined => {
    const now = clock.monotonic();
    let largest: Entry | undefined;
    let largestStalled: Entry | undefined;
    endable.forEach((entry) => {
      if (entry === self) return;
      const progress = entry.readProgress?.();
      if (progress !== entry.progress) entry.progressAt = now;
      entry.progress = progress;
      if (!entry.readProgress && entry.sizeBytes > (largest?.sizeBytes ?? minBytes))
        largest = entry;
      if (entry.progressAt < now - STALL_MS && entry.sizeBytes > (largestStalled?.sizeBytes ?? 0))
        largestStalled = entry;
    });
    return largestStalled ?? largest;
  };

  const open = (expectedBytes: number): Holding => {
    const entry: Entry = {
      sizeBytes: 0,
      progressAt: clock.monotonic(),
      end: undefined,
      readProgress: undefined,
      progress: undefined,
    };
    let isReleased = false;
    const charge = (bytes: number): void => {
      if (isReleased) return;
      entry.sizeBytes += bytes;
      usedBytes += bytes;
    };
    return {
      reserve(bytes) {
        entry.progressAt = clock.monotonic();
        const sizeBytes = Math.max(entry.sizeBytes + bytes, expectedBytes);
        const limit = getLimitBytes(sizeBytes);
        while (usedBytes + bytes > limit) {
          const other = chooseEndable(entry, sizeBytes);
          if (!other) return false;
          endable.delete(other);
          other.end?.();
        }
        charge(bytes);
        return true;
      },
      charge,
      setEnd(end, readProgress) {
        entry.end = end;
        entry.readProgress = readProgress;
        entry.progress = readProgress?.();
        entry.progressAt = clock.monotonic();
        if (end && !isReleased) endable.add(entry);
        else endable.delete(entry);
      },
      release() {
        if (isReleased) return;
        isReleased = true;
        endable.delete(entry);
        usedBytes -= entry.sizeBytes;
        entry.sizeBytes = 0;
      },
    };
  };

  return {
    reserve(bytes) {
      if (usedBytes + bytes > limitBytes) return false;
      usedBytes += bytes;
      return true;
    },
    release(bytes) {
      usedBytes -= bytes;
    },
    open,
    getUsedBytes: () => usedBytes,
  };
}
