/**
 * Paces the large responses of a host to the bandwidth of its link. When targets produce downloads
 * faster than a narrow link transmits them, small responses and acknowledgements queue behind many
 * concurrent large ones, and each large one takes as long as all of them together. Large responses
 * are therefore sent one after another, and the estimates allow a call to be refused before it
 * runs when its response would miss the deadline.
 */
import * as constants from './constants.js';
import * as responseSizes from './response-sizes.js';

export interface LinkPacerOptions {
  /** Bandwidth of the link, in megabits per second. */
  linkMbps: number;
  /** Share of the bandwidth for large responses; the rest is left to all other traffic. */
  largeShare: number;
}

export const linkPacerDefaults: Omit<LinkPacerOptions, 'linkMbps'> = {
  largeShare: 0.85,
};

export interface LinkPacer {
  /** Returns whether a response of this size must be paced. */
  isLarge(bytes: number): boolean;
  /** Reserves the link for a large response and returns its queueing delay, in milliseconds. */
  reserve(kind: string, bytes: number, now: number): number;
  recordUnpacedSize(kind: string, bytes: number): void;
  /** Estimates the time until a new response of a kind is transmitted, in milliseconds. */
  estimateTransferMs(kind: string, now: number): number;
  /** Returns the time to transmit all reserved responses, in milliseconds. */
  getBacklogMs(now: number): number;
  /** Transmission time of one kilobyte, in milliseconds. */
  kilobyteMs: number;
}

const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1_000;

/**
 * Creates a pacer for an idle link.
 *
 * @example
 * const pacer = createLinkPacer({ ...linkPacerDefaults, linkMbps: 7 });
 * pacer.reserve('download', 90_000, now); // 0
 */
export function createLinkPacer(options: LinkPacerOptions): LinkPacer {
  const { linkMbps, largeShare } = options;
  const bytesPerMs = (linkMbps * BITS_PER_MS_PER_MBPS * largeShare) / BITS_PER_BYTE;
  const sizes = responseSizes.createResponseSizes();
  let linkFreeAt = 0;

  const isLarge = (bytes: number): boolean => bytes >= constants.LARGE_RESPONSE_BYTES;
  const computeBacklogMs = (now: number): number => Math.max(0, linkFreeAt - now);

  return {
    isLarge,
    reserve(kind, bytes, now) {
      sizes.addSample(kind, bytes);
      const delayMs = computeBacklogMs(now);
      linkFreeAt = now + delayMs + bytes / bytesPerMs;
      return delayMs;
    },
    recordUnpacedSize: sizes.addSample,
    estimateTransferMs(kind, now) {
      const meanBytes = sizes.getMeanBytes(kind);
      const queueingMs = isLarge(meanBytes) ? computeBacklogMs(now) : 0;
      return queueingMs + meanBytes / bytesPerMs;
    },
    getBacklogMs: computeBacklogMs,
    kilobyteMs: constants.BYTES_PER_KILOBYTE / bytesPerMs,
  };
}
