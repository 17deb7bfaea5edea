import type { Socket } from 'node:net';

/** Makes a connection lose what is sent in both directions, as behind a partition. */
export function pauseSocket(socket: Socket): void {
  socket.read = () => null;
  socket._write = () => undefined;
  socket._writev = () => undefined;
}
