/** Collects the bytes of a body in memory of about their size, also if they arrive in tiny chunks. */
export interface ByteCollector {
  append(chunk: Buffer): void;
  getSizeBytes(): number;
  /** Returns the bytes collected so far, in order. */
  listBlocks(): Buffer[];
  concat(): Buffer;
}

/** Smaller chunks are copied: a Buffer of its own takes about a hundred bytes. */
const MIN_KEPT_BYTES = 4_096;
/** Least part of the memory behind a chunk that the chunk must use to be kept. */
const MIN_USED_SHARE = 0.5;
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Creates an empty collector.
 *
 * @example
 * const collector = createByteCollector();
 * message.on('data', collector.append);
 * message.once('end', () => parse(collector.concat()));
 */
export function createByteCollector(): ByteCollector {
  const blocks: Buffer[] = [];
  /** Block that small chunks are copied into, and how much of it is used and is not in `blocks`. */
  let tail = Buffer.alloc(0);
  let tailBytes = 0;
  let sizeBytes = 0;

  const isKept = (chunk: Buffer): boolean =>
    chunk.length >= MIN_KEPT_BYTES && chunk.length >= chunk.buffer.byteLength * MIN_USED_SHARE;

  const sealTail = (): void => {
    if (tailBytes > 0) blocks.push(tail.subarray(0, tailBytes));
    tail = tail.subarray(tailBytes);
    tailBytes = 0;
  };

  const copyChunk = (chunk: Buffer): void => {
    const copiedBytes = chunk.copy(tail, tailBytes);
    tailBytes += copiedBytes;
    if (copiedBytes === chunk.length) return;
    sealTail();
    const rest = chunk.subarray(copiedBytes);
    const blockBytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, sizeBytes));
    tail = Buffer.allocUnsafeSlow(Math.max(blockBytes, rest.length));
    tailBytes = rest.copy(tail);
  };

  return {
    append(chunk) {
      if (isKept(chunk)) {
        sealTail();
        blocks.push(chunk);
      } else copyChunk(chunk);
      sizeBytes += chunk.length;
    },
    getSizeBytes: () => sizeBytes,
    listBlocks: () => (tailBytes > 0 ? [...blocks, tail.subarray(0, tailBytes)] : [...blocks]),
    concat() {
      sealTail();
      return Buffer.concat(blocks, sizeBytes);
    },
  };
}
