/** A caller that keeps one connection open for its requests, one after another. */
import * as http from 'node:http';

const LATE_MS = 1_500;

/**
 * Creates a caller of one host. `send` resolves with the status, or with 0 and the cause if the
 * connection closed without a complete answer; `isReused` tells that the connection had answered a
 * request before, `hasHead` that the head of the answer had arrived.
 */
export function createCaller({ address, ports }) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const send = ({ id, method = 'GET', path, body, deadlineMs = 2_000 }) =>
    new Promise((resolve) => {
      const sentAt = performance.now();
      let isReused = false;
      let hasHead = false;
      const finish = (result) =>
        resolve({ isReused, hasHead, tookMs: Math.round(performance.now() - sentAt), ...result });
      const request = http.request(
        {
          agent,
          host: address,
          port: ports.callers,
          method,
          path,
          headers: {
            host: 'shop.example',
            'figshed-request-id': id,
            'figshed-deadline-ms': String(deadlineMs),
            ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
          },
        },
        (response) => {
          hasHead = true;
          let sizeBytes = 0;
          response.on('data', (chunk) => {
            sizeBytes += chunk.length;
          });
          response.on('error', (error) => finish({ status: 0, cause: error.code }));
          response.on('end', () =>
            finish({ status: response.statusCode, sizeBytes, cause: undefined }),
          );
        },
      );
      const timer = setTimeout(() => request.destroy(new Error('no answer')), deadlineMs + LATE_MS);
      request.on('close', () => clearTimeout(timer));
      request.on('socket', () => {
        isReused = request.reusedSocket;
      });
      request.on('error', (error) => finish({ status: 0, cause: error.code ?? error.message }));
      request.end(body);
    });
  return { send, close: () => agent.destroy() };
}
