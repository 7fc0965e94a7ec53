/** Faults in a target's responses, each as a share of the calls that it runs. */
export interface TargetFaults {
  /** Runs the call and resets the connection without a response. */
  lostResponseShare: number;
  /** Sends an unsolicited second response, with another call's id, after the first. */
  unsolicitedResponseShare: number;
  /** Resets the connection after the first 2 bytes of a body with a content-length. */
  truncatedResponseShare: number;
  /** Sends a response without a content-length, whose body ends when the connection closes. */
  closeDelimitedShare: number;
  /** Resets the connection after the first 2 bytes of a body without a content-length. */
  truncatedCloseDelimitedShare: number;
  /** Sends a response whose head Node.js parses but does not write, and closes the connection. */
  unwritableHeadShare: number;
  /** Responds with 500. */
  errorResponseShare: number;
}

/**
 * Creates the faults of a target that has none.
 *
 * @example
 * const faults = createNoFaults();
 */
export function createNoFaults(): TargetFaults {
  return {
    lostResponseShare: 0,
    unsolicitedResponseShare: 0,
    truncatedResponseShare: 0,
    closeDelimitedShare: 0,
    truncatedCloseDelimitedShare: 0,
    unwritableHeadShare: 0,
    errorResponseShare: 0,
  };
}
