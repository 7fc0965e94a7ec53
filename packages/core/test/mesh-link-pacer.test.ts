import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as mesh from '../src/mesh/index.js';

const { describe, it } = test;

/** A link that carries one kilobyte in about two milliseconds. */
const create = (): mesh.LinkPacer =>
  mesh.createLinkPacer({ ...mesh.linkPacerDefaults, linkMbps: 4.9 });
const DOWNLOAD_BYTES = 90_000;

describe('link pacer', () => {
  it('lets large answers leave one after another, no faster than the link', () => {
    const pacer = create();
    const starts = Array.from({ length: 5 }, () => pacer.reserve('download', DOWNLOAD_BYTES, 100));
    const onLinkMs = (DOWNLOAD_BYTES * 8) / 4_900;
    starts.forEach((delayMs, index) => {
      assert.ok(delayMs >= index * onLinkMs, `${index}: ${delayMs}`);
    });
    assert.ok(pacer.backlogMs(100) >= 5 * onLinkMs);
    assert.equal(pacer.backlogMs(100_000), 0);
  });

  it('expects a large answer to wait behind the others, and a small one not to', () => {
    const pacer = create();
    pacer.noteSmall('read', 1_000);
    for (let answer = 0; answer < 4; answer += 1) pacer.reserve('download', DOWNLOAD_BYTES, 0);
    assert.ok(pacer.expectMs('download', 0) > 700);
    assert.ok(pacer.expectMs('read', 0) < 5);
    assert.equal(pacer.expectMs('unknown', 0), 0);
  });
});
