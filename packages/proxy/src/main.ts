/** The `figshed-proxy` command. */
import * as citty from 'citty';
import * as runtime from '@figshed/runtime';
import * as proxyProcess from './process.js';
import * as settingsResolver from './settings/resolve.js';
import type * as schema from './settings/schema.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const settingsArgument = {
  settings: {
    type: 'positional',
    description: 'Settings file in JSON with comments',
    required: true,
  },
} as const;

function loadSettings(file: string): schema.Settings | undefined {
  try {
    return settingsResolver.resolveSettings(file, process.env);
  } catch (error) {
    if (!(error instanceof runtime.DocumentError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exitCode = EXIT_USAGE;
    return undefined;
  }
}

async function runProxy(file: string): Promise<void> {
  const settings = loadSettings(file);
  if (!settings) return;
  const proxy = proxyProcess.createProxyProcess(settings, (text) => process.stdout.write(text));
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) return;
    isStopping = true;
    proxy
      .stop()
      .then(() => process.exit(0))
      .catch((error: Error) => {
        process.stderr.write(`stop failed: ${error.message}\n`);
        process.exit(EXIT_FAILED);
      });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  try {
    await proxy.start();
  } catch (error) {
    process.stderr.write(`start failed: ${(error as Error).message}\n`);
    process.exit(EXIT_FAILED);
  }
}

const runCommand = citty.defineCommand({
  meta: { name: 'run', description: 'Run the proxy until SIGTERM' },
  args: settingsArgument,
  run: ({ args }) => runProxy(args.settings),
});

const checkCommand = citty.defineCommand({
  meta: { name: 'check-settings', description: 'Check a settings file and report all findings' },
  args: settingsArgument,
  run({ args }) {
    if (loadSettings(args.settings)) process.stdout.write('settings are valid\n');
  },
});

const main = citty.defineCommand({
  meta: { name: 'figshed-proxy', description: 'Runs the figshed proxy of one target host' },
  subCommands: { run: runCommand, 'check-settings': checkCommand },
});

await citty.runMain(main);
