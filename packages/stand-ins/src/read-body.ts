import type * as http from 'node:http';

/**
 * Reads a whole request body into memory, without a size limit.
 *
 * @example
 * const text = (await readBody(request)).toString();
 */
export async function readBody(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  await new Promise((resolve, reject) => {
    request.on('end', resolve).on('error', reject);
  });
  return Buffer.concat(chunks);
}
