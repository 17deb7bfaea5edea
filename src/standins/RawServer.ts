import { createServer, type AddressInfo, type Socket } from 'node:net';
import { startListening } from '../adapters/Listening.js';
import type { IStandIn } from './Types.js';

/** How a connection ends: in order, as also when its process dies, or with a reset. */
export type ConnectionCut = 'fin' | 'reset';

/** Sends bytes and ends the connection at once or `delayMs` later. */
export async function sendThenCut(
  socket: Socket,
  bytes: string,
  cut: ConnectionCut,
  delayMs = 0,
): Promise<void> {
  socket.write(bytes);
  if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
  if (cut === 'fin') socket.end();
  else socket.resetAndDestroy();
}

/** Starts a server that answers the first bytes of each connection with the given bytes and ends the connection. */
export async function startRawServer(bytes: string, cut: ConnectionCut): Promise<IStandIn> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => void sendThenCut(socket, bytes, cut));
  });
  await startListening(server, '127.0.0.1', 0);
  const close = async (): Promise<void> => {
    await new Promise((resolve) => server.close(resolve));
  };
  return { address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, close };
}
