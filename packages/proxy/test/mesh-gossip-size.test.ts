import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as core from '@figshed/core';
import * as codec from '../src/mesh/gossip-codec.js';
import * as gossipSchemas from '../src/gossip-schemas.js';

const { describe, it } = test;

const MAX_DATAGRAM_BYTES = 10_000;
/** The sender's record and those that it passes on. */
const RECORDS_PER_DATAGRAM = 9;

function repeat<T>(count: number, create: (index: number) => T): T[] {
  return Array.from({ length: count }, (_, index) => create(index));
}

/** A record with the longest lists of crashes; each cleared request has `deathsPerRequest`. */
function createMember(index: number, deathsPerRequest: number): core.Member {
  const target = (crash: number): string => `i-${index}0a335a5bc${crash}|1764964784000`;
  const fingerprint = (item: number): string => `nDGtYsU${String(item).padStart(4, '0')}`;
  return {
    id: `sidecar-${index}`,
    incarnation: 1_764_964_784_000,
    status: 'alive',
    info: {
      instance: '1764964784000',
      dataCentre: 'minami-b',
      region: 'minami',
      address: '10.6.0.14',
      callerPort: 8_621,
      peerPort: 7_600,
      ready: true,
      target: null,
      crashes: repeat(gossipSchemas.MAX_CRASH_RECORDS, (crash) => ({
        target: target(crash),
        fingerprints: repeat(gossipSchemas.MAX_FINGERPRINTS_PER_CRASH, fingerprint),
      })),
      cleared: repeat(gossipSchemas.MAX_CLEARED_REQUESTS, (item) => ({
        fingerprint: fingerprint(item),
        deathIds: repeat(deathsPerRequest, target),
      })),
    },
  };
}

describe('a datagram of records with the longest lists', () => {
  it('can be sent', (context) => {
    const sizes = [1, gossipSchemas.MAX_DEATHS_PER_CLEARED_REQUEST].map(
      (deaths) =>
        codec.encodeGossip({
          type: 'ping',
          sequence: 1,
          from: 'h1',
          isContact: false,
          mark: { position: 1, version: 1, digest: '' },
          members: repeat(RECORDS_PER_DATAGRAM, (index) => createMember(index, deaths)),
        }).byteLength,
    );
    context.diagnostic(`bytes with 1 and the most deaths per request: ${sizes.join(', ')}`);
    assert.ok(Math.max(...sizes) <= MAX_DATAGRAM_BYTES, `${Math.max(...sizes)} bytes`);
  });
});
