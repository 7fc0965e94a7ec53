/** Interfaces for time and randomness, which make the decision logic deterministic in tests. */
export interface Clock {
  /** Wall-clock time since the Unix epoch, in milliseconds. */
  now(): number;
  /** Monotonic time from an arbitrary origin, in milliseconds. */
  monotonic(): number;
}

/** A source of random numbers, uniform in [0, 1). */
export type Random = () => number;
