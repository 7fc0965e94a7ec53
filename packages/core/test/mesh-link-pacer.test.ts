import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

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
