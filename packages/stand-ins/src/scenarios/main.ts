/** Runs one scenario: `npm run scenario -- NAME --seed N`, or lists them with `--list`. */
import * as citty from 'citty';
import * as runtime from '@figshed/runtime';
import * as table from './table.js';

const TIME_LIMIT_MS = 50_000;
const EXIT_ERROR = 2;

async function runScenario(name: string, seed: number): Promise<boolean> {
  const scenario = table.scenarios[name];
  if (!scenario) throw new Error(`unknown scenario "${name}"; use --list to list the names`);
  const startedAt = performance.now();
  const print = (text: string): void => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    process.stdout.write(`[${seconds} s] ${text}\n`);
  };
  const timer = setTimeout(() => {
    print(`not finished within ${TIME_LIMIT_MS} ms`);
    process.exit(1);
  }, TIME_LIMIT_MS);
  const { held, faults, figures } = await scenario.run({
    seed,
    random: runtime.createSeededRandom(seed),
    print,
  });
  clearTimeout(timer);
  process.stdout.write(`${JSON.stringify({ scenario: name, seed, held, faults, ...figures })}\n`);
  return held && faults > 0;
}

const main = citty.defineCommand({
  meta: { name: 'scenario', description: 'Run one failure scenario on separate processes' },
  args: {
    name: { type: 'positional', description: 'Name of the scenario', required: false },
    seed: { type: 'string', description: 'Seed of the random choices', default: '1' },
    list: { type: 'boolean', description: 'List the scenarios', default: false },
  },
  async run({ args }) {
    if (args.list || !args.name) {
      Object.entries(table.scenarios).forEach(([name, { description }]) =>
        process.stdout.write(`${name.padEnd(22)} ${description}\n`),
      );
      return;
    }
    try {
      process.exit((await runScenario(args.name, Number(args.seed))) ? 0 : 1);
    } catch (error) {
      process.stderr.write(`${(error as Error).stack}\n`);
      process.exit(EXIT_ERROR);
    }
  },
});

await citty.runMain(main);
