/** Errors of the route mesh; their codes stand in docs/errors.md. */
import * as core from '@figshed/core';

/** A body passed the limit of the configuration. */
export class BodyTooLargeError extends core.FigshedError {
  public constructor(limit: number) {
    super('BODY_TOO_LARGE', `body is larger than ${limit} bytes`);
  }
}

/** The process holds as many bytes of bodies as it may. */
export class NoRoomError extends core.FigshedError {
  public constructor() {
    super('NO_ROOM', 'too many bytes of bodies are held');
  }
}

/** The other side closed the connection before its body was whole. */
export class CallerGoneError extends core.FigshedError {
  public constructor() {
    super('CALLER_GONE', 'connection closed before the body was whole');
  }
}
