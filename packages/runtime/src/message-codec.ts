/** Decodes MessagePack that was received from other processes. */
import * as msgpack from '@msgpack/msgpack';
import * as errors from './errors.js';

/** What follows the first byte of a value. */
interface Layout {
  /** Size of the length or count in bytes. */
  lengthBytes: number;
  /** Size of what follows the length in any case. */
  fixedBytes: number;
  /** Nested values per counted element; 0 if the length counts bytes. */
  valuesPerElement: number;
}

const FIRST_FIX_MAP = 0x80;
const FIRST_FIX_ARRAY = 0x90;
const FIRST_FIX_STRING = 0xa0;
const FIRST_OTHER = 0xc0;
const FIRST_NEGATIVE_INTEGER = 0xe0;
const BYTE_SIZES = [1, 2, 4, 8, 16];
const LENGTH_SIZES = [1, 2, 4];

const createLayout = (lengthBytes: number, fixedBytes: number, valuesPerElement = 0): Layout => ({
  lengthBytes,
  fixedBytes,
  valuesPerElement,
});

/** Layouts of the values whose first byte is 0xc0 to 0xdf. */
const layouts: readonly Layout[] = [
  // nil, an unused byte, false and true
  ...Array.from({ length: 4 }, () => createLayout(0, 0)),
  // binary; extensions, which have a byte for their type
  ...LENGTH_SIZES.map((size) => createLayout(size, 0)),
  ...LENGTH_SIZES.map((size) => createLayout(size, 1)),
  // floats, unsigned and signed integers
  ...[4, 8, 1, 2, 4, 8, 1, 2, 4, 8].map((size) => createLayout(0, size)),
  // extensions of fixed size, strings, arrays, maps
  ...BYTE_SIZES.map((size) => createLayout(0, size + 1)),
  ...LENGTH_SIZES.map((size) => createLayout(size, 0)),
  ...[2, 4].map((size) => createLayout(size, 0, 1)),
  ...[2, 4].map((size) => createLayout(size, 0, 2)),
];

/** Reads one value without its nested ones; returns their count and the position after it. */
function readLayout(bytes: Buffer, position: number): { values: number; end: number } {
  const first = bytes.readUInt8(position);
  const start = position + 1;
  if (first < FIRST_FIX_MAP || first >= FIRST_NEGATIVE_INTEGER) return { values: 0, end: start };
  if (first < FIRST_FIX_ARRAY) return { values: 2 * (first - FIRST_FIX_MAP), end: start };
  if (first < FIRST_FIX_STRING) return { values: first - FIRST_FIX_ARRAY, end: start };
  if (first < FIRST_OTHER) return { values: 0, end: start + first - FIRST_FIX_STRING };
  const { lengthBytes, fixedBytes, valuesPerElement } = layouts[first - FIRST_OTHER] as Layout;
  const length = lengthBytes > 0 ? bytes.readUIntBE(start, lengthBytes) : 0;
  const end = start + lengthBytes + fixedBytes;
  return valuesPerElement > 0
    ? { values: length * valuesPerElement, end }
    : { values: 0, end: end + length };
}

/**
 * Checks that a message holds as many values as it declares, each of which takes a byte or more. The
 * decoder reserves memory for a declared array before it reads the elements.
 */
function checkDeclaredLengths(bytes: Buffer): void {
  let position = 0;
  let expectedValues = 1;
  while (expectedValues > 0) {
    if (expectedValues > bytes.byteLength - position)
      throw new RangeError('declares more than it holds');
    const { values, end } = readLayout(bytes, position);
    expectedValues += values - 1;
    position = end;
  }
}

/**
 * Decodes a message.
 *
 * @throws InvalidMessageError when the bytes are not one value in MessagePack.
 * @example
 * const payload = decodeMessage(body);
 */
export function decodeMessage(bytes: Buffer): unknown {
  try {
    checkDeclaredLengths(bytes);
    return msgpack.decode(bytes);
  } catch (error) {
    throw new errors.InvalidMessageError((error as Error).message);
  }
}
