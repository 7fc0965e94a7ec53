/** Base class of all figshed errors. `code` is stable and documented in docs/errors.md. */
export class FigshedError extends Error {
  public readonly code: string;

  public constructor(code: string, message: string) {
    super(message);
    this.name = new.target.name;
    this.code = code;
  }
}

/**
 * Violation of an internal invariant; `invariant` is its name.
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
 * Asserts an internal invariant, in production as well as in tests.
 *
 * @throws InvariantError when `condition` is false.
 * @example
 * assertInvariant(next > last, 'version-regress', `${next} after ${last}`);
 */
export function assertInvariant(
  condition: boolean,
  invariant: string,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(invariant, message);
}
