/** Datagrams of the quotas: whatever arrives is either a valid message or refused. */
import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as msgpack from '@msgpack/msgpack';
import type * as mesh from '@figshed/core/mesh';
import * as runtime from '@figshed/runtime';
import * as quotaCodec from '../src/mesh/quota-codec.js';

const request: mesh.QuotaRequest = {
  sequence: 2 ** 40,
  from: 'host-1',
  instance: 1_764_964_784_000,
  echo: { instance: 1_764_964_785_000, at: 12.5 },
  delegation: {
    generation: 3,
    knownHosts: 62,
    isProvisional: false,
    coordinators: ['host-1', 'host-2'],
    next: ['host-1', 'host-3'],
  },
  asks: [{ account: 'school', waiting: 1, ahead: 2, refused: 3 }],
};
const reply: mesh.QuotaReply = {
  sequence: 7,
  from: 'host-2',
  stamp: { instance: 1, at: 0.5 },
  heldGeneration: -1,
  answers: [{ granted: 3, nextMs: 0, spacingMs: 12.5, share: 0.5 }],
};

describe('datagrams of the quotas', () => {
  it('arrive as they were sent, and small', () => {
    const bytes = quotaCodec.encodeQuotaRequest(request);
    assert.deepEqual(quotaCodec.decodeQuotaMessage(bytes), { type: 'request', request });
    assert.ok(bytes.length < 150, `${bytes.length} bytes`);
    const first = { ...request, echo: undefined, delegation: undefined, asks: [] };
    assert.deepEqual(quotaCodec.decodeQuotaMessage(quotaCodec.encodeQuotaRequest(first)), {
      type: 'request',
      request: first,
    });
    assert.deepEqual(quotaCodec.decodeQuotaMessage(quotaCodec.encodeQuotaReply(reply)), {
      type: 'reply',
      reply,
    });
  });

  it('are refused when their bytes are no message, or numbers are out of bounds', () => {
    const random = runtime.createSeededRandom(20261206);
    for (let run = 0; run < 500; run += 1) {
      const bytes = Uint8Array.from({ length: random() * 60 }, () => random() * 256);
      assert.throws(() => quotaCodec.decodeQuotaMessage(bytes));
    }
    const [answer] = reply.answers;
    assert.ok(answer);
    const broken: mesh.QuotaAnswer[] = [
      { ...answer, granted: -1 },
      { ...answer, granted: 1e9 },
      { ...answer, nextMs: Number.NaN },
      { ...answer, spacingMs: Number.POSITIVE_INFINITY },
      { ...answer, share: 1.1 },
    ];
    broken.forEach((each) =>
      assert.throws(() =>
        quotaCodec.decodeQuotaMessage(quotaCodec.encodeQuotaReply({ ...reply, answers: [each] })),
      ),
    );
    assert.throws(() => quotaCodec.decodeQuotaMessage(msgpack.encode([1, 2])));
  });
});
