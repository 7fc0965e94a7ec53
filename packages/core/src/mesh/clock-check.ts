import type * as clock from '../shared/clock.js';

/**
 * Detects that an unknown time has passed. The monotonic clock stands still while a machine is
 * suspended. The wall clock does not, but it may be stepped. When the two move apart, the time that
 * has passed is not known.
 */
export interface ClockCheck {
  /** Returns whether the clocks have moved apart since they were last accepted, and accepts them. */
  takeJump(): boolean;
  /** Accepts the present difference, so that slow drift does not add up. */
  accept(): void;
}

/**
 * Creates a check that accepts the present difference of the clocks.
 *
 * @example
 * const check = createClockCheck(clock, 100);
 * if (check.takeJump()) discardTimes();
 */
export function createClockCheck(
  { now, monotonic }: clock.Clock,
  maxClockDriftMs: number,
): ClockCheck {
  const getClockOffset = (): number => now() - monotonic();
  let clockOffset = getClockOffset();
  const accept = (): void => {
    clockOffset = getClockOffset();
  };
  return {
    takeJump() {
      const hasJumped = Math.abs(getClockOffset() - clockOffset) > maxClockDriftMs;
      if (hasJumped) accept();
      return hasJumped;
    },
    accept,
  };
}
