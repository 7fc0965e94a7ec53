/**
 * Paces the large responses of a host to the bandwidth of its link. When targets produce downloads
 * faster than a narrow link transmits them, small responses and acknowledgements queue behind many
 * concurrent large ones, and each large one takes as long as all of them together. Large responses
 * are therefore sent one after another, in chunks between which small responses find their way, and
 * in the bandwidth that these leave. The estimates allow a call to be refused before it runs when
 * its response would miss the deadline.
 */
import * as constants from './constants.js';
import * as responseSizes from './response-sizes.js';

export interface LinkPacerOptions {
  /** Bandwidth of the link, in megabits per second. */
  linkMbps: number;
  /** Share of the bandwidth for what is paced; the rest is left to all other traffic. */
  pacedShare: number;
  /** Time to transmit one chunk of a large response, in milliseconds. */
  chunkMs: number;
  /** Bytes that a small response takes on the link beside its body: its head and its packets. */
  overheadBytes: number;
}

export const linkPacerDefaults: Omit<LinkPacerOptions, 'linkMbps'> = {
  // Requests, acknowledgements, gossip, packet heads and responses to the callers on the host are not
  // counted; with 0.7, links of 7 Mbit/s had a standing queue.
  pacedShare: 0.45,
  // Half of the round-trip time between regions, so that nested calls hardly notice a chunk.
  chunkMs: 15,
  overheadBytes: 1_024,
};

export interface LinkPacer {
  /** Returns whether a response of this size must be paced. */
  isLarge(bytes: number): boolean;
  /** Reserves the link for a large response and returns its queueing delay, in milliseconds. */
  reserve(kind: string, bytes: number, now: number): number;
  /** Records a small response, which is sent at once and delays the large ones. */
  recordSmall(kind: string, bytes: number, now: number): void;
  recordUnpacedSize(kind: string, bytes: number): void;
  /** Estimates the time until a new response of a kind is transmitted, in milliseconds. */
  estimateTransferMs(kind: string, now: number): number;
  /** Returns the time to transmit all reserved responses, in milliseconds. */
  getBacklogMs(now: number): number;
  /** Transmission time of one kilobyte, in milliseconds. */
  kilobyteMs: number;
  /** A large response is written in chunks of `chunkBytes`, one each `chunkMs`. */
  chunkBytes: number;
  chunkMs: number;
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
  const { linkMbps, pacedShare, chunkMs, overheadBytes } = options;
  const bytesPerMs = (linkMbps * BITS_PER_MS_PER_MBPS * pacedShare) / BITS_PER_BYTE;
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
    recordSmall(kind, bytes, now) {
      sizes.addSample(kind, bytes);
      linkFreeAt = now + computeBacklogMs(now) + (bytes + overheadBytes) / bytesPerMs;
    },
    recordUnpacedSize: sizes.addSample,
    estimateTransferMs(kind, now) {
      const meanBytes = sizes.getMeanBytes(kind);
      const queueingMs = isLarge(meanBytes) ? computeBacklogMs(now) : 0;
      return queueingMs + meanBytes / bytesPerMs;
    },
    getBacklogMs: computeBacklogMs,
    kilobyteMs: constants.BYTES_PER_KILOBYTE / bytesPerMs,
    chunkBytes: Math.ceil(bytesPerMs * chunkMs),
    chunkMs,
  };
}
