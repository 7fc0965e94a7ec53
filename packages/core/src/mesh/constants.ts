/** Figures that several decisions of the mesh share. */

export const BYTES_PER_KILOBYTE = 1_024;

/** Answers from this size on are large, in bytes; a few packets of a small window. */
export const LARGE_ANSWER_BYTES = 16 * BYTES_PER_KILOBYTE;
