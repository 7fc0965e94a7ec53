/** Proves the soak: each deliberate fault in the program must be caught by the promise it breaks. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as bundle from './bundle.mjs';

const root = new URL('..', import.meta.url).pathname;
const soak = path.join(root, 'packages/stand-ins/dist/mesh-soak/main.js');

/** What is changed in which source, and the promise that this breaks. */
const deliberateFaults = {
  'no-drain-gate': {
    file: 'core/src/mesh/target-gate.ts',
    from: "target = undefined;\n    reason = 'draining';",
    to: "reason = 'draining';",
    promise: 'drain',
  },
  'orders-repeated': {
    file: 'core/src/mesh/call-machine.ts',
    from: 'policy.isRepeatable && attemptsRun < policy.maxAttempts',
    to: 'attemptsRun < policy.maxAttempts',
    promise: 'at-most-once',
  },
  'older-version-taken': {
    file: 'proxy/src/mesh/process.ts',
    from: 'if (before !== undefined && config.version <= before) return;',
    to: '',
    promise: 'no-regress',
  },
};

function createPlugin({ file, from, to }) {
  return {
    name: 'deliberate-fault',
    setup(build) {
      build.onLoad({ filter: new RegExp(`${file.replaceAll('.', '\\.')}$`) }, async (args) => {
        const source = await fs.promises.readFile(args.path, 'utf8');
        if (!source.includes(from)) throw new Error(`${file} does not hold ${from}`);
        return { contents: source.replace(from, to), loader: 'ts' };
      });
    },
  };
}

async function isCaught(directory, name, fault) {
  const program = path.join(directory, `${name}.cjs`);
  await bundle.bundleMesh(program, [createPlugin(fault)]);
  const args = [soak, '--minutes', '0.6', '--seed', '1', '--program', program];
  const results = path.join(directory, name);
  const { stdout } = childProcess.spawnSync(process.execPath, [...args, '--results', results], {
    encoding: 'utf8',
  });
  const caught = stdout.includes(`broken ${fault.promise}:`);
  process.stdout.write(`${name}: ${caught ? 'caught' : `not caught\n${stdout}`}\n`);
  return caught;
}

const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'figshed-soak-'));
let caught = 0;
const entries = Object.entries(deliberateFaults);
for (const [name, fault] of entries) {
  // eslint-disable-next-line no-await-in-loop -- one after the other, so that each has the machine
  if (await isCaught(directory, name, fault)) caught += 1;
}
fs.rmSync(directory, { recursive: true });
process.stdout.write(`${caught} of ${entries.length} deliberate faults caught\n`);
process.exitCode = caught === entries.length ? 0 : 1;
