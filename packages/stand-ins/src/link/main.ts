/** Starts the links that the first argument lists, and takes orders by HTTP. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as linkServer from './link-server.js';

interface Orders {
  cuts?: [string, string][];
  loss?: number;
  silence?: boolean;
}

const options = JSON.parse(process.argv[2] ?? '[]') as linkServer.LinkOptions[];
const links = await linkServer.startLinks(options);

function follow(orders: Orders): unknown {
  if (orders.cuts) links.setCuts(orders.cuts);
  if (orders.loss !== undefined) links.setLoss(orders.loss);
  return { silenced: orders.silence ? links.silenceOpen() : 0 };
}

const control = http.createServer((request, response) => {
  let body = '';
  request.on('data', (chunk: Buffer) => {
    body += chunk.toString();
  });
  request.on('end', () => {
    const result = request.method === 'PUT' ? follow(JSON.parse(body) as Orders) : links.counts();
    response.end(JSON.stringify(result));
  });
});
control.listen(0, '127.0.0.1', () => {
  process.stdout.write(`ready port=${(control.address() as net.AddressInfo).port}\n`);
});
process.on('SIGTERM', () => process.exit(0));
