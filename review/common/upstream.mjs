/** An upstream of a case, in place of the stand-in of the fleet, which still sends its heartbeats. */
import * as http from 'node:http';

const HTTP_UNAVAILABLE = 503;
const HTTP_MISDIRECTED = 421;
const HTTP_GATEWAY_TIMEOUT = 504;

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/**
 * Starts an upstream at the announced address of a host. It refuses requests beyond its slots or for
 * another instance, and stops work at the deadline that it receives. `work` receives the run and the
 * response, and resolves when it has answered.
 */
export async function startUpstream({ host, slots, work }) {
  const { id } = host.target;
  const runs = [];
  let running = 0;
  const handle = async (request, response) => {
    const callId = request.headers['figshed-request-id'];
    const echo = { 'figshed-request-id': callId };
    const isMisdirected = request.headers['figshed-expect-instance'] !== id;
    if (isMisdirected || running >= slots) {
      request.resume();
      response.writeHead(isMisdirected ? HTTP_MISDIRECTED : HTTP_UNAVAILABLE, {
        ...echo,
        'figshed-not-executed': '1',
      });
      response.end();
      return;
    }
    const headers = { ...echo, 'figshed-response-signature': `${id}.${callId}` };
    const deadlineMs = Number(request.headers['figshed-deadline-ms']);
    const run = { callId, endAt: performance.now() + deadlineMs, headers };
    runs.push(run);
    running += 1;
    const timer = setTimeout(() => {
      if (response.headersSent) response.destroy();
      else response.writeHead(HTTP_GATEWAY_TIMEOUT, headers).end();
    }, deadlineMs);
    response.on('error', () => undefined);
    try {
      run.bytes = (await readBody(request)).length;
      await work(run, response);
    } finally {
      clearTimeout(timer);
      running -= 1;
    }
  };
  const server = http.createServer((request, response) => {
    request.on('error', () => undefined);
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject).listen(host.ports.target, host.address, resolve);
  });
  return {
    runs,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
