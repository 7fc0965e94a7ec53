/** Starts the links that the first argument lists; `PUT /` sets faults, `GET /` reads counters. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as linkServer from './link-server.js';

interface LinkFaults {
  cuts?: [string, string][];
  loss?: number;
  /** Whether to drop all further data of the connections that are open now. */
  silence?: boolean;
}

const options = JSON.parse(process.argv[2] ?? '[]') as linkServer.LinkOptions[];
const links = await linkServer.startLinks(options);

function applyFaults(faults: LinkFaults): unknown {
  if (faults.cuts) links.setCuts(faults.cuts);
  if (faults.loss !== undefined) links.setLoss(faults.loss);
  return { silenced: faults.silence ? links.blackholeOpenConnections() : 0 };
}

const control = http.createServer((request, response) => {
  let body = '';
  request.on('data', (chunk: Buffer) => {
    body += chunk.toString();
  });
  request.on('end', () => {
    const result =
      request.method === 'PUT' ? applyFaults(JSON.parse(body) as LinkFaults) : links.getCounts();
    response.end(JSON.stringify(result));
  });
});
control.listen(0, '127.0.0.1', () => {
  process.stdout.write(`ready port=${(control.address() as net.AddressInfo).port}\n`);
});
process.on('SIGTERM', () => process.exit(0));
