import type { Server } from 'node:net';

/** Starts to listen; rejects with the error of the socket. Port 0 picks a free one. */
export function startListening(server: Server, ip: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
}
