/**
 * Preloaded into a proxy: moves its TCP server for peers from PEER_PORT by PEER_PORT_OFFSET, so that
 * a link can listen at the announced port.
 */
import * as net from 'node:net';

const peerPort = Number(process.env.PEER_PORT);
const offset = Number(process.env.PEER_PORT_OFFSET);
const { listen } = net.Server.prototype;

net.Server.prototype.listen = function listenShifted(this: net.Server, ...args: unknown[]) {
  const [port, ...rest] = args;
  return Reflect.apply(listen, this, [
    port === peerPort ? peerPort + offset : port,
    ...rest,
  ]) as net.Server;
} as typeof listen;
