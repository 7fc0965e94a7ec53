import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

const { describe, it } = test;

const proxyCommand = url.fileURLToPath(new URL('../bin/figshed-proxy.js', import.meta.url));
const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-proxy-'));
test.after(() => fs.rmSync(directory, { recursive: true }));

const validSettings = `{
  // The host's own place.
  "id": "n1", "dataCentre": "khomas-1", "region": "khomas",
  "listen": { "callerPort": 0, "peerPort": 0, "localPort": 0 },
  "fleetKey": "a-key-that-is-long-enough",
  "platform": { "logUrl": "http://127.0.0.1:7000" }
}`;

function runProxyCommand(
  text: string,
  env: Record<string, string> = {},
  subcommand = 'check-settings',
) {
  const file = path.join(directory, 'settings.jsonc');
  fs.writeFileSync(file, text);
  return childProcess.spawnSync(process.execPath, [proxyCommand, subcommand, file], {
    encoding: 'utf8',
    env: { PATH: process.env.PATH, ...env },
  });
}

describe('settings file of a proxy', () => {
  it('is valid when settings with defaults are omitted', () => {
    const { status, stderr } = runProxyCommand(validSettings);
    assert.equal(status, 0, stderr);
  });

  it('prints every finding with its position and exits with code 2 instead of starting', () => {
    const text = validSettings
      .replace('"khomas-1"', '"Khomas 1"')
      .replace('"callerPort": 0', '"callerPort": 99999, "colour": 1')
      .replace('http://127.0.0.1:7000', 'http://localhost:7000');
    const { status, stderr } = runProxyCommand(text, {}, 'run');
    assert.equal(status, 2);
    const lines = stderr.trim().split('\n');
    assert.equal(lines.length, 4, stderr);
    assert.ok(lines.every((line) => /settings\.jsonc:\d+:\d+: /.test(line)));
  });

  it('takes the fleet key from the environment when the file has none', () => {
    const text = validSettings.replace('"fleetKey": "a-key-that-is-long-enough",', '');
    assert.equal(runProxyCommand(text).status, 2);
    assert.equal(
      runProxyCommand(text, { FIGSHED_FLEET_KEY: 'a-key-from-the-environment' }).status,
      0,
    );
  });

  it('rejects an order window longer than half of the retention', () => {
    const text = validSettings.replace(
      '"platform": {',
      '"orders": { "windowMs": 3000000 }, "platform": {',
    );
    const { status, stderr } = runProxyCommand(text);
    assert.equal(status, 2);
    assert.match(stderr, /orders\.windowMs/);
  });
});
