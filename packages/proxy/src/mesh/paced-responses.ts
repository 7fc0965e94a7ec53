/** Sends the large responses of a host one after another over its link. */
import type * as core from '@figshed/core';
import * as mesh from '@figshed/core/mesh';

export interface PacedResponses extends Pick<
  mesh.LinkQueue,
  'expect' | 'estimateWaitMs' | 'getBacklogMs'
> {
  /** Calls `write` once the link is free for this response, unless it is removed before. */
  send(transfer: mesh.Transfer, write: () => void): void;
  /** Removes a response that has ended, or that is no longer expected. */
  remove(id: string): void;
  stop(): void;
}

/**
 * Creates the queue of a host whose link is paced by `pacer`.
 *
 * @example
 * const responses = createPacedResponses(pacer, clock);
 * responses.send({ id, kind, bytes, objectiveAt }, () => response.end(body));
 */
export function createPacedResponses(pacer: mesh.LinkPacer, clock: core.Clock): PacedResponses {
  const queue = mesh.createLinkQueue(pacer);
  const writers = new Map<string, () => void>();
  let timer: NodeJS.Timeout | undefined;

  const startNext = (): void => {
    timer = undefined;
    const now = clock.monotonic();
    const id = queue.takeNext(now);
    if (id !== undefined) {
      const write = writers.get(id);
      writers.delete(id);
      write?.();
    }
    const delayMs = queue.computeDelayMs(now);
    if (delayMs !== undefined) timer ??= setTimeout(startNext, delayMs);
  };

  return {
    expect: queue.expect,
    estimateWaitMs: queue.estimateWaitMs,
    getBacklogMs: queue.getBacklogMs,
    send(transfer, write) {
      queue.add(transfer);
      writers.set(transfer.id, write);
      if (timer === undefined) startNext();
    },
    remove(id) {
      queue.remove(id);
      writers.delete(id);
    },
    stop: () => clearTimeout(timer),
  };
}
