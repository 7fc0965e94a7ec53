/** The `figshed` command for operators. */
import * as citty from 'citty';
import * as changeCommands from './commands/change.js';
import * as checkCommands from './commands/check.js';
import * as readCommands from './commands/read.js';
import * as codes from './exit-codes.js';

const { exitCodes } = codes;

const main = citty.defineCommand({
  meta: { name: 'figshed', description: 'Publish contracts and follow their rollout' },
  subCommands: {
    validate: readCommands.validateCommand,
    check: checkCommands.checkCommand,
    publish: changeCommands.publishCommand,
    amend: changeCommands.amendCommand,
    get: readCommands.getCommand,
    status: readCommands.statusCommand,
    explain: readCommands.explainCommand,
    'hash-key': readCommands.hashKeyCommand,
  },
});

const rawArgs = process.argv.slice(2);
const isHelp = rawArgs.includes('--help') || rawArgs.includes('-h');
if (isHelp) {
  await citty.runMain(main);
} else {
  try {
    await citty.runCommand(main, { rawArgs });
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exitCode = exitCodes.usage;
  }
}
