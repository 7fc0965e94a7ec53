import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';
import type * as core from '@figshed/core';
import * as check from '../src/commands/check.js';

const { describe, it } = test;

const command = url.fileURLToPath(new URL('../bin/figshed.js', import.meta.url));
const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-check-'));
test.after(() => fs.rmSync(directory, { recursive: true }));

const digest = 'ab'.repeat(32);
const contract = `{ "kind": "contract", "name": "school", "keyDigests": ["${digest}"], "services": ["shop"],
  "ratePerSecond": 5, "burst": 5, "concurrency": 5, "maxDeadlineMs": 500 }`;
const service = `{ "kind": "service", "name": "shop", "requestKinds": [
  { "name": "lookup", "method": "GET", "idempotent": true, "timeoutMs": 500 }] }`;
const route = `{ "kind": "route", "name": "shop", "pathPrefix": "/shop", "service": "shop" }`;

function writeDocument(name: string, ...resources: string[]): string {
  const file = path.join(directory, name);
  fs.writeFileSync(file, `{ "resources": [\n${resources.join(',\n')}\n] }`);
  return file;
}

function runCheck(...args: string[]): { status: number | null; stdout: string; stderr: string } {
  const env = { PATH: process.env.PATH };
  return childProcess.spawnSync(process.execPath, [command, 'check', ...args], {
    encoding: 'utf8',
    env,
  });
}

const parseReport = (text: string): core.CheckReport => JSON.parse(text) as core.CheckReport;
const valid = writeDocument('valid.jsonc', contract, service, route);

describe('figshed check', () => {
  it('finds nothing in a valid document, and exits with 0', () => {
    const { status, stdout } = runCheck(valid);
    assert.equal(status, 0);
    assert.equal(stdout, '0 errors, 0 warnings, not compared\n');
  });

  it('exits with 0 for warnings, with the position of each', () => {
    const file = writeDocument(
      'late.jsonc',
      contract.replace('Ms": 500', 'Ms": 900'),
      service,
      route,
    );
    const { status, stdout } = runCheck(file);
    assert.equal(status, 0);
    assert.match(stdout, /late\.jsonc:3:\d+: warning DEADLINE_ABOVE_TIMEOUT: resources\.0\.max/);
  });

  it('exits with 1 for errors, and does not call a service unused while a resource is unreadable', () => {
    const file = writeDocument(
      'bad.jsonc',
      contract.replace('"burst": 5', '"burst": -5'),
      service,
      route,
    );
    const { status, stdout } = runCheck(file, '--json', '--against', valid);
    const { findings, differences } = parseReport(stdout);
    assert.equal(status, 1);
    assert.deepEqual(
      findings.map(({ code, line }) => [code, line]),
      [['DOCUMENT_INVALID', 3]],
    );
    assert.equal(differences, null);
  });

  it('lists the differences from another document, without whole digests', () => {
    const changed = contract.replace('"burst": 5', '"burst": 9').replace(digest, 'cd'.repeat(32));
    const added = route
      .replaceAll('shop"', 'shop2"')
      .replace('"service": "shop2"', '"service": "shop"');
    const against = writeDocument('old.jsonc', changed, service, added);
    const { status, stdout } = runCheck(valid, '--json', '--against', against);
    assert.equal(status, 0);
    assert.deepEqual(
      parseReport(stdout).differences?.map(({ type, path: field }) => `${type} ${field}`),
      [
        'changed contract/school.keyDigests',
        'changed contract/school.burst',
        'removed route/shop2',
        'added route/shop',
      ],
    );
    assert.doesNotMatch(stdout, new RegExp(`${digest}|${'cd'.repeat(32)}`));
  });

  it('takes what is in force into account, without its own findings', () => {
    const [other, unused] = [JSON.parse(contract), JSON.parse(service)] as core.Resource[];
    const inForce = new Map<string, core.Resource>([
      // Its name sorts behind `school`, so that the shared key is reported there.
      ['contract/x', { ...other, name: 'x', services: ['old'], kindWeights: {} } as core.Contract],
      ['service/old', { ...unused, name: 'old' } as core.Service],
    ]);
    const { findings, differences } = check.checkDocument(valid, {
      name: 'log',
      resources: inForce,
      isReplaced: false,
    });
    assert.deepEqual(
      findings.map(({ code, path: field }) => `${code} ${field}`),
      ['KEY_SHARED contract/x.keyDigests'],
    );
    assert.ok(differences?.every(({ type }) => type === 'added'));
  });

  it('exits with 2 without a document and with 3 when the log cannot be read', () => {
    assert.equal(runCheck().status, 2);
    assert.equal(runCheck(valid, valid).status, 2);
    assert.equal(runCheck(valid, '--log', 'http://127.0.0.1:1').status, 3);
  });
});
