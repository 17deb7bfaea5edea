import type { Server } from 'node:net';

/** Starts to listen; rejects with the socket's error if that fails. Port 0 selects a free port. */
export function startListening(server: Server, ip: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
}
