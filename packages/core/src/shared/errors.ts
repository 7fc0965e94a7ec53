/** Errors that the core raises, as classes with stable codes. */

/** The base of every figshed error. `code` is stable and documented in docs/errors.md. */
export class FigshedError extends Error {
  public readonly code: string;

  public constructor(code: string, message: string) {
    super(message);
    this.name = new.target.name;
    this.code = code;
  }
}

/**
 * A condition that the program itself guarantees does not hold.
 *
 * @example
 * throw new InvariantError('version-regress', 'position 7 after position 9');
 */
export class InvariantError extends FigshedError {
  public readonly invariant: string;

  public constructor(invariant: string, message: string) {
    super('INVARIANT', `${invariant}: ${message}`);
    this.invariant = invariant;
  }
}

/**
 * Checks a condition in production, not only in tests.
 *
 * @throws InvariantError when `condition` is false.
 * @example
 * checkInvariant(next > last, 'version-regress', `${next} after ${last}`);
 */
export function checkInvariant(
  condition: boolean,
  invariant: string,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(invariant, message);
}
