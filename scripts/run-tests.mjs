/** Runs the test files of the workspace whose name contains the argument, or all of them. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const root = new URL('..', import.meta.url).pathname;
const packages = path.join(root, 'packages');
const platform = path.join(root, 'platform');
const nameFilter = process.argv[2] ?? '';
const files = [...fs.readdirSync(packages).map((name) => path.join(packages, name)), platform]
  .map((directory) => path.join(directory, 'test'))
  .filter((directory) => fs.existsSync(directory))
  .flatMap((directory) =>
    fs
      .readdirSync(directory)
      .filter((name) => name.endsWith('.test.ts') && name.includes(nameFilter))
      .map((name) => path.join(directory, name)),
  )
  .sort();
/** Tests of memory and descriptors, which other load on the machine would disturb. */
const isIsolated = (file) => path.basename(file) === 'uncontrolled-clients.test.ts';

const runFiles = (selected, concurrency) =>
  selected.length === 0
    ? 0
    : (childProcess.spawnSync(
        process.execPath,
        ['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`, ...selected],
        { cwd: root, stdio: 'inherit' },
      ).status ?? 1);

const statuses = [
  runFiles(
    files.filter((file) => !isIsolated(file)),
    3,
  ),
  runFiles(files.filter(isIsolated), 1),
];
process.exitCode = Math.max(...statuses);
