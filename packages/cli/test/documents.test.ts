import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

const { describe, it } = test;

const command = url.fileURLToPath(new URL('../bin/figshed.js', import.meta.url));
const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-cli-'));
test.after(() => fs.rmSync(directory, { recursive: true }));

function runCommand(args: string[]): { exitCode: number | null; text: string; errors: string } {
  const { status, stdout, stderr } = childProcess.spawnSync(process.execPath, [command, ...args], {
    encoding: 'utf8',
    env: { PATH: process.env.PATH },
  });
  return { exitCode: status, text: stdout, errors: stderr };
}

function writeDocument(name: string, text: string): string {
  const file = path.join(directory, name);
  fs.writeFileSync(file, text);
  return file;
}

const contract = `{
  "kind": "contract", "name": "school", "keyDigests": [], "services": ["shim-registry"],
  "ratePerSecond": 5, "burst": 5, "concurrency": 5, "maxDeadlineMs": 1000
}`;
const service = `{
  "kind": "service", "name": "shim-registry", "requestKinds": [
    // A lookup may be repeated.
    { "name": "lookup", "method": "GET", "idempotent": true, "timeoutMs": 500 }
  ]
}`;

describe('figshed validate', () => {
  it('accepts a document with comments', () => {
    const file = writeDocument('good.jsonc', `{ "resources": [${contract}, ${service}] }`);
    const { exitCode, text } = runCommand(['validate', file]);
    assert.equal(exitCode, 0);
    assert.match(text, /2 resources are valid/);
  });

  it('reports all findings of a document with their positions', () => {
    const file = writeDocument(
      'bad.jsonc',
      `{
  "resources": [
    ${service},
    ${contract.replace('"ratePerSecond": 5', '"ratePerSecond": -1')},
    { "kind": "route", "name": "shims", "pathPrefix": "/shims", "service": "missing" },
    { "kind": "route", "name": "more", "pathPrefix": "/more", "service": "shim-registry", "colour": 1 }
    { "kind": "route", "name": "last", "pathPrefix": "/last", "service": "shim-registry" }
  ]
}`,
    );
    const { exitCode, errors } = runCommand(['validate', file]);
    const lines = errors.trim().split('\n');
    assert.equal(exitCode, 1);
    assert.equal(lines.length, 4, errors);
    assert.ok(lines.every((line) => /bad\.jsonc:\d+:\d+: /.test(line)));
    assert.match(errors, /syntax error/);
    assert.match(errors, /resources\.1\.ratePerSecond/);
    assert.match(errors, /service "missing" does not exist/);
    assert.match(errors, /colour: unknown field/);
  });

  it('prints findings as JSON with --json', () => {
    const file = writeDocument('empty.jsonc', '');
    const { exitCode, errors } = runCommand(['validate', file, '--json']);
    assert.equal(exitCode, 1);
    const { findings } = JSON.parse(errors) as { findings: { line: number }[] };
    assert.equal(findings[0]?.line, 1);
  });

  it('reports a resource that is given twice', () => {
    const file = writeDocument('twice.jsonc', `{ "resources": [${service}, ${service}] }`);
    assert.match(runCommand(['validate', file]).errors, /service\/shim-registry is given twice/);
  });
});

describe('the exit codes of figshed', () => {
  it('are 2 for an invalid command line', () => {
    assert.equal(runCommand(['validate']).exitCode, 2);
    assert.equal(runCommand(['no-such-command']).exitCode, 2);
    assert.equal(runCommand(['get']).exitCode, 2);
    assert.equal(runCommand(['explain', 'school']).exitCode, 2);
  });

  it('are 3 when the platform is unreachable', () => {
    const { exitCode, errors } = runCommand(['get', '--log', 'http://127.0.0.1:1']);
    assert.equal(exitCode, 3, errors);
  });

  it('are 0 for help', () => {
    assert.equal(runCommand(['publish', '--help']).exitCode, 0);
  });
});
