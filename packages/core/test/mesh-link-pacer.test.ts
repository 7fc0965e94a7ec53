import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';
import * as support from './support.js';

const { describe, it } = test;

/** Creates a pacer for a link that transmits one kilobyte in about two milliseconds. */
const createPacer = (): mesh.LinkPacer =>
  mesh.createLinkPacer({ ...mesh.linkPacerDefaults, linkMbps: 4.9 });
const DOWNLOAD_BYTES = 90_000;

describe('link pacer', () => {
  it('schedules large responses one after another, at most at the bandwidth of the link', () => {
    const pacer = createPacer();
    const starts = Array.from({ length: 5 }, () => pacer.reserve('download', DOWNLOAD_BYTES, 100));
    const transferMs = (DOWNLOAD_BYTES * 8) / 4_900;
    starts.forEach((delayMs, index) => {
      assert.ok(delayMs >= index * transferMs, `${index}: ${delayMs}`);
    });
    assert.ok(pacer.getBacklogMs(100) >= 5 * transferMs);
    assert.equal(pacer.getBacklogMs(100_000), 0);
  });

  it('estimates a queueing delay for large responses but not for small ones', () => {
    const pacer = createPacer();
    pacer.recordUnpacedSize('read', 1_000);
    for (let response = 0; response < 4; response += 1)
      pacer.reserve('download', DOWNLOAD_BYTES, 0);
    assert.ok(pacer.estimateTransferMs('download', 0) > 700);
    assert.ok(pacer.estimateTransferMs('read', 0) < 5);
    assert.equal(pacer.estimateTransferMs('unknown', 0), 0);
  });
});

/** Transmits what is written to a link in the order of the writes. */
const createFifoLink = (): { write(bytes: number, now: number): number } => {
  const bytesPerMs = 4_900 / 8;
  let freeAt = 0;
  return {
    write(bytes, now) {
      freeAt = Math.max(freeAt, now) + bytes / bytesPerMs;
      return freeAt - now;
    },
  };
};

describe('nested calls to a host that sends downloads over a narrow link', () => {
  /** Half of the latency objective of a nested call, which its target and the way there need as well. */
  const MAX_WAIT_MS = 100;
  const [downloadsPerSecond, smallPerSecond] = [7.4, 33.5];
  /** What else such a host sends: requests, acknowledgements, gossip. */
  const OTHER_BYTES_PER_MS = 110;

  [1, 2, 3].forEach((seed) => {
    it(`do not wait behind whole downloads, seed ${seed}`, () => {
      const random = support.createSeededRandom(seed);
      const pacer = createPacer();
      const link = createFifoLink();
      const writes: { at: number; bytes: number; isSmall: boolean }[] = [];
      for (let now = 0; now < 20_000; now += 1) {
        if (now % 10 === 0)
          writes.push({ at: now, bytes: OTHER_BYTES_PER_MS * 10, isSmall: false });
        if (random() < smallPerSecond / 1_000) {
          pacer.recordSmall('lookup', 1_000, now);
          writes.push({
            at: now,
            bytes: 1_000 + mesh.linkPacerDefaults.overheadBytes,
            isSmall: true,
          });
        }
        // The queue of the target refuses what would arrive after its objective.
        if (random() < downloadsPerSecond / 1_000 && pacer.getBacklogMs(now) < 1_000) {
          const bodyBytes = DOWNLOAD_BYTES * (0.4 + 1.2 * random());
          const startAt = now + pacer.reserve('download', bodyBytes, now);
          for (let sent = 0; sent < bodyBytes; sent += pacer.chunkBytes)
            writes.push({
              at: startAt + (sent / pacer.chunkBytes) * pacer.chunkMs,
              bytes: Math.min(pacer.chunkBytes, bodyBytes - sent),
              isSmall: false,
            });
        }
      }
      const waits = writes
        .sort((left, right) => left.at - right.at)
        .map(({ at, bytes, isSmall }) => ({ isSmall, waitMs: link.write(bytes, at) }))
        .filter(({ isSmall }) => isSmall)
        .map(({ waitMs }) => waitMs)
        .sort((left, right) => left - right);
      const waitMs = waits[Math.floor(waits.length * 0.95)] ?? 0;
      assert.ok(waitMs < MAX_WAIT_MS, `95% wait up to ${waitMs} ms`);
      const downloadedBytes = writes.reduce(
        (sum, { bytes, isSmall }) => sum + (isSmall ? 0 : bytes),
        0,
      );
      assert.ok(downloadedBytes > 0.5 * 20_000 * (4_900 / 8), `downloads: ${downloadedBytes}`);
    });
  });
});

describe('nested calls to a host whose link also carries the responses to its own callers', () => {
  /** A quarter of the latency objective of a nested call. */
  const MAX_WAIT_MS = 100;
  const LINK_MBPS = 6.86;
  const BYTES_PER_MS = (LINK_MBPS * 1_000) / 8;
  const [downloadsPerSecond, smallPerSecond] = [14.5, 46];
  /** Responses of 5 and 90 KB to the callers on the host, requests, acknowledgements and gossip. */
  const OTHER_BYTES_PER_MS = 330;

  [1, 2, 3].forEach((seed) => {
    it(`do not wait for a link without reserve, seed ${seed}`, () => {
      const random = support.createSeededRandom(seed);
      const pacer = mesh.createLinkPacer({ ...mesh.linkPacerDefaults, linkMbps: LINK_MBPS });
      let linkFreeAt = 0;
      const writes: { at: number; bytes: number; isSmall: boolean }[] = [];
      for (let now = 0; now < 20_000; now += 1) {
        if (now % 10 === 0)
          writes.push({ at: now, bytes: OTHER_BYTES_PER_MS * 10, isSmall: false });
        if (random() < smallPerSecond / 1_000) {
          pacer.recordSmall('lookup', 1_000, now);
          const bytes = 1_000 + mesh.linkPacerDefaults.overheadBytes;
          writes.push({ at: now, bytes, isSmall: true });
        }
        if (random() < downloadsPerSecond / 1_000 && pacer.getBacklogMs(now) < 1_000) {
          const bodyBytes = DOWNLOAD_BYTES * (0.4 + 1.2 * random());
          const startAt = now + pacer.reserve('download', bodyBytes, now);
          for (let sent = 0; sent < bodyBytes; sent += pacer.chunkBytes) {
            const at = startAt + (sent / pacer.chunkBytes) * pacer.chunkMs;
            const bytes = Math.min(pacer.chunkBytes, bodyBytes - sent);
            writes.push({ at, bytes, isSmall: false });
          }
        }
      }
      const waits = writes
        .sort((left, right) => left.at - right.at)
        .map(({ at, bytes, isSmall }) => {
          linkFreeAt = Math.max(linkFreeAt, at) + bytes / BYTES_PER_MS;
          return { isSmall, waitMs: linkFreeAt - at };
        })
        .filter(({ isSmall }) => isSmall)
        .map(({ waitMs }) => waitMs)
        .sort((left, right) => left - right);
      const waitMs = waits[Math.floor(waits.length * 0.95)] ?? 0;
      assert.ok(waitMs < MAX_WAIT_MS, `95% wait up to ${waitMs} ms`);
    });
  });
});
