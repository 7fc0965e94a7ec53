/** Errors of the route mesh; docs/errors.md lists their codes. */
import * as core from '@figshed/core';

export class BodyTooLargeError extends core.FigshedError {
  public constructor(limitBytes: number) {
    super('BODY_TOO_LARGE', `body is larger than ${limitBytes} bytes`);
  }
}

export class ByteBudgetExceededError extends core.FigshedError {
  public constructor() {
    super('NO_ROOM', 'the limit on buffered body bytes of this process is reached');
  }
}

/** A sender neither continued its body nor disconnected. */
export class BodyStalledError extends core.FigshedError {
  public constructor(timeoutMs: number) {
    super('BODY_STALLED', `no byte of the body arrived for ${timeoutMs} ms`);
  }
}

export class IncompleteBodyError extends core.FigshedError {
  public constructor() {
    super('CALLER_GONE', 'connection closed before the end of the body');
  }
}

/** Changes to a configuration, received from a peer, are malformed or do not fit. */
export class DeltaRefusedError extends core.FigshedError {
  public constructor(finding: string) {
    super('DELTA_REFUSED', finding);
  }
}

/** A peer holds an older configuration than the one that it announced. */
export class OlderVersionError extends core.FigshedError {
  public constructor(version: number) {
    super('OLDER_VERSION', `the peer holds only version ${version}`);
  }
}
