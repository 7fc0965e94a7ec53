/** Starts the log stand-in: `node main.js '{"port":7000,"retentionMs":60000}'`. */
import * as logServer from './log-server.js';

const defaults = { port: 0, retentionMs: 3_600_000, appendsPerSecond: 400, maxPageRecords: 500 };
const options = {
  ...defaults,
  ...(JSON.parse(process.argv[2] ?? '{}') as Partial<typeof defaults>),
};
const server = await logServer.startLogServer(options.port, options);
process.stdout.write(`ready port=${server.port}\n`);
process.on('SIGTERM', () => process.exit(0));
