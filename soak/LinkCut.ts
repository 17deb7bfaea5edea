import { Socket } from 'node:net';
import { pauseSocket } from '../src/testing/PausedSocket.js';
import type { ILinkCut } from './Types.js';

/**
 * Loaded into a router process before its program. Cuts the process's link to the runners when the soak says so: a proxy
 * in front of a runner stands there for all routers, and has taken a connection before it can refuse it.
 */
const sockets = new Set<{ socket: Socket; port: number }>();
let cut: ILinkCut | undefined;

type ConnectArguments = Parameters<Socket['connect']>;

// eslint-disable-next-line @typescript-eslint/unbound-method -- called on the socket below
const { connect } = Socket.prototype;

Socket.prototype.connect = function (this: Socket, ...values: unknown[]): Socket {
  // `net.connect` passes a list of its options and listener, other callers the options themselves.
  const [first] = values;
  const target: unknown = Array.isArray(first) ? first[0] : first;
  if (isTarget(target)) {
    if (cut?.ports.includes(Number(target.port)))
      Object.assign(target, { host: '127.0.0.1', port: cut.redirectPort });
    else trackSocket(this, Number(target.port));
  }
  return connect.apply(this, values as ConnectArguments);
};

function isTarget(value: unknown): value is { port: unknown } {
  return typeof value === 'object' && value !== null && 'port' in value;
}

function trackSocket(socket: Socket, port: number): void {
  const entry = { socket, port };
  sockets.add(entry);
  socket.once('close', () => sockets.delete(entry));
}

process.on('message', (message: { cut?: ILinkCut }) => {
  ({ cut } = message);
  for (const { port, socket } of sockets) {
    if (!cut?.ports.includes(port)) continue;
    if (cut.openConnections === 'silent') pauseSocket(socket);
    else socket.destroy(Object.assign(new Error('The soak has cut the link.'), { code: 'ECONNRESET' }));
  }
});
// The channel to the soak does not keep the process running.
process.channel?.unref();
