/** Exit codes of the `figshed` command. */
export const exitCodes = {
  done: 0,
  refused: 1,
  usage: 2,
  /** The platform or a proxy is unreachable, or the result is unknown. */
  unknown: 3,
} as const;
