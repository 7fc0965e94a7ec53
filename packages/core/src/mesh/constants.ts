export const BYTES_PER_KILOBYTE = 1_024;

/** Minimum size of a paced response; a smaller one is a few packets in a small TCP window. */
export const LARGE_RESPONSE_BYTES = 16 * BYTES_PER_KILOBYTE;
