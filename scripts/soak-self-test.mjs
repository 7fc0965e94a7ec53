/** Tests the checks of the soak: each must detect a program with one deliberate fault. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as bundle from './bundle.mjs';

const root = new URL('..', import.meta.url).pathname;
const soak = path.join(root, 'packages/stand-ins/dist/mesh-soak/main.js');

/** Source text to replace for each fault, and the soak invariant that must be reported broken. */
const deliberateFaults = {
  'no-drain-gate': {
    file: 'core/src/mesh/target-gate.ts',
    from: "target = undefined;\n    reason = 'draining';",
    to: "reason = 'draining';",
    invariant: 'drain',
  },
  'orders-repeated': {
    file: 'core/src/mesh/call-machine.ts',
    from: 'policy.isRepeatable && attemptsRun < policy.maxAttempts',
    to: 'attemptsRun < policy.maxAttempts',
    invariant: 'at-most-once',
  },
  'older-version-taken': {
    file: 'proxy/src/mesh/process.ts',
    from: 'if (before !== undefined && config.version <= before) return;',
    to: '',
    invariant: 'no-regress',
  },
};

function createPlugin({ file, from, to }) {
  return {
    name: 'deliberate-fault',
    setup(build) {
      build.onLoad({ filter: new RegExp(`${file.replaceAll('.', '\\.')}$`) }, async (args) => {
        const source = await fs.promises.readFile(args.path, 'utf8');
        if (!source.includes(from)) throw new Error(`${file} does not contain ${from}`);
        return { contents: source.replace(from, to), loader: 'ts' };
      });
    },
  };
}

async function runFault(directory, name, fault) {
  const program = path.join(directory, `${name}.cjs`);
  await bundle.bundleMesh(program, [createPlugin(fault)]);
  const args = [soak, '--minutes', '0.6', '--seed', '1', '--program', program];
  const results = path.join(directory, name);
  const { stdout } = childProcess.spawnSync(process.execPath, [...args, '--results', results], {
    encoding: 'utf8',
  });
  const isCaught = stdout.includes(`broken ${fault.invariant}:`);
  process.stdout.write(`${name}: ${isCaught ? 'caught' : `not caught\n${stdout}`}\n`);
  return isCaught;
}

const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-soak-'));
let caughtCount = 0;
const entries = Object.entries(deliberateFaults);
for (const [name, fault] of entries) {
  // eslint-disable-next-line no-await-in-loop -- sequential, so that no run slows down another
  if (await runFault(directory, name, fault)) caughtCount += 1;
}
fs.rmSync(directory, { recursive: true });
process.stdout.write(`${caughtCount} of ${entries.length} deliberate faults caught\n`);
process.exitCode = caughtCount === entries.length ? 0 : 1;
