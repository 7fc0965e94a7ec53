export const BYTES_PER_KILOBYTE = 1_024;

/** Minimum size of a paced response; a smaller one takes a few packets of a small TCP window. */
export const LARGE_RESPONSE_BYTES = 16 * BYTES_PER_KILOBYTE;
