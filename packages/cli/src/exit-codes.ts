/** Exit codes of the `figshed` command. */
export const exitCodes = {
  done: 0,
  refused: 1,
  usage: 2,
  /** The platform or proxy could not be reached, or the result is not known. */
  unknown: 3,
} as const;
