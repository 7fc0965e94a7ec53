/**
 * Shares the link of a host among the answers that leave it. Load pattern: hosts on narrow links
 * whose targets serve downloads faster than the link carries them; small answers and
 * acknowledgements then wait behind many large ones, and every large one takes as long as all of
 * them together. Large answers leave one after another instead, and a call whose answer would come
 * too late is refused before it runs.
 */
import * as constants from './constants.js';
import * as meanSizes from './mean-sizes.js';

/** Settings of a pacer. */
export interface LinkPacerOptions {
  /** Rate of the link, in megabits a second. */
  linkMbps: number;
  /** Share of the link that large answers may fill; the rest is for all that is small. */
  largeShare: number;
}

export const linkPacerDefaults: Omit<LinkPacerOptions, 'linkMbps'> = {
  largeShare: 0.85,
};

/** The pacer of one link. */
export interface LinkPacer {
  isLarge(bytes: number): boolean;
  /** Takes the link for a large answer and returns how long it has to wait, in milliseconds. */
  reserve(kind: string, bytes: number, now: number): number;
  /** Notes a small answer of a kind. */
  noteSmall(kind: string, bytes: number): void;
  /** Time until the last byte of a new answer of a kind has left, in milliseconds. */
  expectMs(kind: string, now: number): number;
  /** Time until the large answers that wait have left, in milliseconds. */
  backlogMs(now: number): number;
  /** Time of one kilobyte on the link, in milliseconds. */
  kilobyteMs: number;
}

const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_MBPS = 1_000;

/**
 * Creates a pacer of an idle link.
 *
 * @example
 * const pacer = createLinkPacer({ ...linkPacerDefaults, linkMbps: 7 });
 * pacer.reserve('download', 90_000, now); // 0
 */
export function createLinkPacer(options: LinkPacerOptions): LinkPacer {
  const { linkMbps, largeShare } = options;
  const bytesPerMs = (linkMbps * BITS_PER_MS_OF_MBPS * largeShare) / BITS_PER_BYTE;
  const sizes = meanSizes.createMeanSizes();
  let freeAt = 0;

  const isLarge = (bytes: number): boolean => bytes >= constants.LARGE_ANSWER_BYTES;
  const backlogMs = (now: number): number => Math.max(0, freeAt - now);

  return {
    isLarge,
    reserve(kind, bytes, now) {
      sizes.note(kind, bytes);
      const delayMs = backlogMs(now);
      freeAt = now + delayMs + bytes / bytesPerMs;
      return delayMs;
    },
    noteSmall: sizes.note,
    expectMs(kind, now) {
      const bytes = sizes.meanBytes(kind);
      const waitMs = isLarge(bytes) ? backlogMs(now) : 0;
      return waitMs + bytes / bytesPerMs;
    },
    backlogMs,
    kilobyteMs: constants.BYTES_PER_KILOBYTE / bytesPerMs,
  };
}
