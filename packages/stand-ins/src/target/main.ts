/** Starts a target stand-in: `node main.js '{"service":"catalogue","proxyPort":7102}'`. */
import * as targetServer from './target-server.js';

const options = {
  ...targetServer.defaultTargetOptions,
  ...(JSON.parse(process.argv[2] ?? '{}') as Partial<targetServer.TargetOptions>),
};
const port = await targetServer.startTarget(options, (line) => process.stdout.write(line));
process.stdout.write(`ready port=${port}\n`);
process.on('SIGTERM', () => process.exit(0));
