import type * as http from 'node:http';
import type * as core from '@figshed/core';
import type * as mesh from '@figshed/core/mesh';

/**
 * Writes a body in chunks at the pace of the link, and ends the response with the last one. A late
 * timer is made up for, since the link is reserved for the whole body from its start.
 *
 * @example
 * writePacedBody(body, response, pacer, clock);
 */
export function writePacedBody(
  body: Buffer,
  response: http.ServerResponse,
  pacer: Pick<mesh.LinkPacer, 'getChunkBytes' | 'chunkMs' | 'recordPacedWrite'>,
  clock: core.Clock,
): void {
  const startedAt = clock.monotonic();
  const chunkBytes = pacer.getChunkBytes();
  const writeFrom = (start: number): void => {
    if (response.destroyed) return;
    const end = start + chunkBytes;
    pacer.recordPacedWrite(Math.min(end, body.length) - start);
    if (end >= body.length) {
      response.end(body.subarray(start));
      return;
    }
    response.write(body.subarray(start, end));
    const dueAt = startedAt + (end / chunkBytes) * pacer.chunkMs;
    setTimeout(writeFrom, Math.max(0, dueAt - clock.monotonic()), end);
  };
  writeFrom(0);
}
