/**
 * Paces the large responses of a host to the bandwidth of its link. When targets produce downloads
 * faster than a narrow link transmits them, small responses and acknowledgements queue behind many
 * concurrent large ones, and each large one takes as long as all of them together. Large responses
 * are therefore sent one after another, in chunks between which small responses find their way, and
 * in the bandwidth that these leave.
 */
import * as constants from './constants.js';
import * as responseSizes from './response-sizes.js';

export interface LinkPacerOptions {
  /** Bandwidth of the link, in megabits per second. */
  linkMbps: number;
  /**
   * Least and greatest share of the bandwidth for what is paced. Between them, it gets what the other
   * traffic of the host leaves, and the least until that is known.
   */
  minPacedShare: number;
  maxPacedShare: number;
  /** Share of the bandwidth that stays unused, for bursts and for what the process does not see. */
  reserveShare: number;
  /** Time to transmit one chunk of a large response, in milliseconds. */
  chunkMs: number;
  /** Bytes that a small response takes on the link beside its body: its head and its packets. */
  overheadBytes: number;
}

export const linkPacerDefaults: Omit<LinkPacerOptions, 'linkMbps'> = {
  minPacedShare: 0.6,
  maxPacedShare: 0.7,
  reserveShare: 0.15,
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
  /** Records that a part of a reserved response has been written. */
  recordPacedWrite(bytes: number): void;
  /** Records all bytes that the process has sent over the link in the last `elapsedMs`. */
  recordTraffic(bytes: number, elapsedMs: number): void;
  /** Returns the mean size of the responses of a kind; 0 before the first. */
  getMeanBytes(kind: string): number;
  /** Returns the time to transmit this many bytes over the idle link, in milliseconds. */
  computeTransmissionMs(bytes: number): number;
  /** Returns the time to transmit all reserved responses, in milliseconds. */
  getBacklogMs(now: number): number;
  /** Returns the transmission time of one kilobyte, in milliseconds. */
  getKilobyteMs(): number;
  /** Returns the size of the chunks in which a large response is written, one each `chunkMs`. */
  getChunkBytes(): number;
  chunkMs: number;
}

/** Weight of the newest record of the traffic, four of which are made a second. */
const TRAFFIC_GAIN = 0.3;
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
  const { linkMbps, minPacedShare, maxPacedShare, reserveShare, chunkMs, overheadBytes } = options;
  const linkBytesPerMs = (linkMbps * BITS_PER_MS_PER_MBPS) / BITS_PER_BYTE;
  const sizes = responseSizes.createResponseSizes();
  let linkFreeAt = 0;
  /** Moving average of the traffic that is neither paced nor small; undefined before a sample. */
  let otherBytesPerMs: number | undefined;
  let bytesPerMs = linkBytesPerMs * minPacedShare;
  /** Bytes since the last record of the traffic that the schedule of the link includes. */
  let scheduledBytes = 0;

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
      scheduledBytes += bytes + overheadBytes;
      linkFreeAt = now + computeBacklogMs(now) + (bytes + overheadBytes) / bytesPerMs;
    },
    recordUnpacedSize: sizes.addSample,
    recordPacedWrite(bytes) {
      scheduledBytes += bytes;
    },
    recordTraffic(bytes, elapsedMs) {
      const sample = Math.max(0, bytes - scheduledBytes) / Math.max(1, elapsedMs);
      scheduledBytes = 0;
      otherBytesPerMs =
        otherBytesPerMs === undefined
          ? sample
          : otherBytesPerMs + (sample - otherBytesPerMs) * TRAFFIC_GAIN;
      const freeShare = 1 - reserveShare - otherBytesPerMs / linkBytesPerMs;
      const pacedShare = Math.min(maxPacedShare, Math.max(minPacedShare, freeShare));
      bytesPerMs = linkBytesPerMs * pacedShare;
    },
    getMeanBytes: sizes.getMeanBytes,
    computeTransmissionMs: (bytes) => bytes / bytesPerMs,
    getBacklogMs: computeBacklogMs,
    getKilobyteMs: () => constants.BYTES_PER_KILOBYTE / bytesPerMs,
    getChunkBytes: () => Math.ceil(bytesPerMs * chunkMs),
    chunkMs,
  };
}
