export const BYTES_PER_KILOBYTE = 1_024;

/** Responses of at least this many bytes are paced; a smaller one fits into a few packets. */
export const LARGE_RESPONSE_BYTES = 16 * BYTES_PER_KILOBYTE;
