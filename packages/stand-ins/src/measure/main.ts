/**
 * Runs one measurement, prints a table and writes results/NAME.json: `npm run measure -- NAME`.
 * Without a name, lists the measurements.
 */
import * as fs from 'node:fs';
import * as citty from 'citty';
import * as table from './table.js';

const EXIT_USAGE = 2;

const main = citty.defineCommand({
  meta: { name: 'measure', description: 'Run a measurement on a fleet of separate processes' },
  args: {
    name: { type: 'positional', description: 'Name of the measurement', required: false },
  },
  async run({ args }) {
    const measurement = table.measurements[args.name ?? ''];
    if (!measurement) {
      Object.entries(table.measurements).forEach(([name, { description }]) =>
        process.stdout.write(`${name.padEnd(16)} ${description}\n`),
      );
      process.exit(args.name ? EXIT_USAGE : 0);
    }
    const { rows, figures } = await measurement.run((text) => process.stderr.write(`${text}\n`));
    // eslint-disable-next-line no-console -- prints the table
    console.table(rows);
    fs.mkdirSync('results', { recursive: true });
    fs.writeFileSync(
      `results/${args.name}.json`,
      JSON.stringify({ measurement: args.name, rows, ...figures }, null, 2),
    );
    process.exit(0);
  },
});

await citty.runMain(main);
