import { createServer, type AddressInfo, type Socket } from 'node:net';
import { startListening } from '../adapters/Listening.js';
import type { IStandIn } from './Types.js';

/** A server that sends without end. */
export interface IEndlessServer extends IStandIn {
  /** Bytes sent so far on all connections. */
  countSent: () => number;
  /** Connections that the other side has not closed. */
  countOpen: () => number;
}

/** Size of the parts that are sent; shorter bytes are repeated to it. */
const MIN_PART_BYTES = 65_536;

/**
 * Starts a server that answers the first bytes of each connection with `head`, followed by `bytes` again and again as
 * fast as they are read, until the other side closes the connection.
 * @example
 * const server = await startEndlessServer('HTTP/1.1 200 ', 'x'); // a status line that does not end
 */
export async function startEndlessServer(head: string, bytes: string): Promise<IEndlessServer> {
  const part = Buffer.from(bytes.repeat(Math.ceil(MIN_PART_BYTES / bytes.length)), 'latin1');
  const sockets = new Set<Socket>();
  let closedBytes = 0;
  const server = createServer((socket) => {
    const send = (): void => {
      while (!socket.destroyed && socket.write(part));
    };
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('drain', send);
    socket.once('close', () => {
      closedBytes += socket.bytesWritten;
      sockets.delete(socket);
    });
    socket.once('data', () => {
      socket.write(head, 'latin1');
      send();
    });
  });
  await startListening(server, '127.0.0.1', 0);
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    countSent: () => [...sockets].reduce((sum, { bytesWritten }) => sum + bytesWritten, closedBytes),
    countOpen: () => sockets.size,
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
