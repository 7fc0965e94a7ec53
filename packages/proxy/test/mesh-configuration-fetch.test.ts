import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as consumers from 'node:stream/consumers';
import * as test from 'node:test';
import * as zlib from 'node:zlib';
import * as mesh from '@figshed/core/mesh';
import type * as runtime from '@figshed/runtime';
import * as configurationFetcher from '../src/mesh/configuration-fetcher.js';
import * as configurationSender from '../src/mesh/configuration-sender.js';
import type * as context from '../src/mesh/context.js';
import * as meshMetrics from '../src/mesh/metrics.js';

const { describe, it } = test;

const ADDRESS = '127.0.101.1';
const PORT = 21_504;
const BASES_HEADER = 'x-figshed-configuration-bases';
const FORM_HEADER = 'x-figshed-configuration';
const HTTP_OK = 200;

function createConfig(version: number): mesh.MeshConfig {
  return {
    version,
    routes: Array.from({ length: 50 }, (_, index) => ({
      name: `route-${index}`,
      host: `${index}.example`,
      pathPrefix: '/',
      parts: [{ service: 'catalogue', weight: 1 }],
      isRepeatable: true,
      timeoutMs: index === version ? 2_000 : 1_000,
      objectiveMs: 200,
      rank: 0,
      maxAttempts: 2,
    })),
    services: [{ name: 'catalogue', healthPath: '/health', maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

const createHistory = (...versions: number[]): mesh.ConfigHistory => {
  const history = mesh.createConfigHistory(mesh.configHistoryDefaults);
  versions.forEach((version) => history.record(createConfig(version)));
  return history;
};

interface Fixture {
  ctx: context.MeshContext;
  /** Events logged as warnings or errors. */
  problems: string[];
}

function createFixture(): Fixture {
  const problems: string[] = [];
  const ignore = (): void => undefined;
  const record = (event: string): void => {
    problems.push(event);
  };
  const log: runtime.Logger = {
    debug: ignore,
    info: ignore,
    warn: record,
    error: record,
    flush: ignore,
    isEnabled: () => true,
  };
  const ctx = { log, metrics: meshMetrics.createMeshMetrics() } as unknown as context.MeshContext;
  return { ctx, problems };
}

/** Fetches from a peer that responds with `handle`. */
async function fetchFrom(
  handle: http.RequestListener,
  ctx: context.MeshContext,
  bases: readonly mesh.ConfigSnapshot[],
) {
  const agent = new http.Agent();
  const server = http.createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(PORT, ADDRESS, resolve);
  });
  try {
    const endpoint = { address: ADDRESS, port: PORT };
    return await configurationFetcher.fetchConfiguration(ctx, agent, endpoint, bases);
  } finally {
    agent.destroy();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }
}

const compress = (value: unknown): Buffer => zlib.gzipSync(JSON.stringify(value));

/** Responds as a process that knows only whole configurations. */
const sendWhole: http.RequestListener = (_, response) => {
  const headers = { 'content-encoding': 'gzip' };
  response.writeHead(HTTP_OK, headers).end(compress(createConfig(3)));
};

/** Responds with a body in the form of changes to a process that names its configuration. */
const sendChanges =
  (body: Buffer, id: string, baseId: string): http.RequestListener =>
  (request, response) => {
    if (request.headers[BASES_HEADER] === undefined) sendWhole(request, response);
    else response.writeHead(HTTP_OK, { [FORM_HEADER]: `delta ${id} ${baseId}` }).end(body);
  };

describe('fetch of a configuration from a peer', () => {
  it('transfers the changes to a peer that holds a recent version, and the whole to others', async () => {
    const { ctx, problems } = createFixture();
    const sender = configurationSender.createConfigurationSender(ctx, createHistory(1, 2, 3));
    const known = await fetchFrom(sender.send, ctx, createHistory(1).listSnapshots());
    const unknown = await fetchFrom(sender.send, ctx, createHistory(0).listSnapshots());
    const first = await fetchFrom(sender.send, ctx, []);
    assert.deepEqual([known.form, unknown.form, first.form], ['delta', 'whole', 'whole']);
    [known, unknown, first].forEach(({ config }) => assert.deepEqual(config, createConfig(3)));
    assert.ok(known.bytes < first.bytes, `${known.bytes} and ${first.bytes}`);
    assert.deepEqual(problems, []);
  });

  it('transfers the changes to a peer whose newest version the sender has skipped', async () => {
    const { ctx, problems } = createFixture();
    const sender = configurationSender.createConfigurationSender(ctx, createHistory(1, 3));
    const fetched = await fetchFrom(sender.send, ctx, createHistory(1, 2).listSnapshots());
    assert.equal(fetched.form, 'delta');
    assert.deepEqual(fetched.config, createConfig(3));
    assert.deepEqual(problems, []);
  });

  it('accepts the whole configuration of an older process', async () => {
    const { ctx, problems } = createFixture();
    const fetched = await fetchFrom(sendWhole, ctx, createHistory(1).listSnapshots());
    assert.equal(fetched.form, 'whole');
    assert.deepEqual(fetched.config, createConfig(3));
    assert.deepEqual(problems, []);
  });

  it('transfers the whole configuration, compressed, to an older process', async () => {
    const { ctx } = createFixture();
    const sender = configurationSender.createConfigurationSender(ctx, createHistory(1, 2, 3));
    const server = http.createServer(sender.send);
    await new Promise<void>((resolve) => {
      server.listen(PORT, ADDRESS, resolve);
    });
    try {
      const message = await new Promise<http.IncomingMessage>((resolve, reject) => {
        const request = { agent: false, host: ADDRESS, port: PORT };
        http.get(request, resolve).on('error', reject);
      });
      const bytes = await consumers.buffer(message);
      assert.equal(message.statusCode, HTTP_OK);
      assert.deepEqual(JSON.parse(zlib.gunzipSync(bytes).toString()), createConfig(3));
    } finally {
      server.closeAllConnections();
      server.close();
    }
  });

  const [base, next] = [createConfig(1), createConfig(3)];
  const delta = mesh.computeDelta(base, next);
  const formatId = (config: mesh.MeshConfig): string =>
    `${config.version}:${mesh.computeConfigDigest(config)}`;
  const [id, baseId] = [formatId(next), formatId(base)];
  const unfit = { ...delta, routes: { ...delta.routes, removed: [1_000] } };
  const malformed: [string, Buffer, string, string][] = [
    ['not compressed', Buffer.from('{'), id, baseId],
    ['not JSON', zlib.gzipSync('{'), id, baseId],
    ['not in the schema', compress([{ ...delta, routes: null }]), id, baseId],
    ['for another configuration', compress([unfit]), id, baseId],
    ['with another result', compress([delta]), '3:other', baseId],
    ['from an unknown base', compress([delta]), id, '1:other'],
    ['of another version', compress([{ ...delta, version: 4 }]), id, baseId],
    ['of too many steps', compress(Array.from({ length: 100 }, () => delta)), id, baseId],
  ];
  malformed.forEach(([name, body, ...ids]) =>
    it(`fetches the whole configuration when the changes are ${name}`, async () => {
      const { ctx, problems } = createFixture();
      const snapshots = createHistory(1).listSnapshots();
      const fetched = await fetchFrom(sendChanges(body, ...ids), ctx, snapshots);
      assert.equal(fetched.form, 'whole');
      assert.deepEqual(fetched.config, next);
      assert.deepEqual(problems, ['configuration-delta-refused']);
    }),
  );

  it('applies well-formed changes', async () => {
    const { ctx, problems } = createFixture();
    const handle = sendChanges(compress([delta]), id, baseId);
    const fetched = await fetchFrom(handle, ctx, createHistory(1).listSnapshots());
    assert.equal(fetched.form, 'delta');
    assert.deepEqual(fetched.config, next);
    assert.deepEqual(problems, []);
  });

  it('fails when the whole configuration is malformed', async () => {
    const { ctx } = createFixture();
    const handle: http.RequestListener = (_, response) => {
      response.writeHead(HTTP_OK).end(compress({ version: 3, routes: 'none' }));
    };
    await assert.rejects(fetchFrom(handle, ctx, []));
  });
});
