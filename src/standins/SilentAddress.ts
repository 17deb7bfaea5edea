import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

/** A loopback address that does not respond to new connections. */
export interface ISilentAddress {
  /** `ip:port`. */
  address: string;
  close: () => void;
}

const LISTENER = `
const server = require('node:net').createServer();
server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => console.log(server.address().port));
`;

/** Connections that fill the queue of the listener; Linux takes one more than the backlog. */
const FILLING_CONNECTIONS = 4;
const FILL_MS = 200;

/**
 * Opens an address that behaves like that of a host without power: it neither accepts nor refuses connections. A process
 * listens there that is stopped, and since its queue of connections is full, the kernel drops each further one.
 * @example
 * const lost = await startSilentAddress();
 * await client.send(lost.address); // fails by its time limit only
 * lost.close();
 */
export async function startSilentAddress(): Promise<ISilentAddress> {
  const listener = spawn(process.execPath, ['-e', LISTENER], { stdio: ['ignore', 'pipe', 'ignore'] });
  const [line] = (await once(listener.stdout, 'data')) as [Buffer];
  const port = Number(line);
  listener.kill('SIGSTOP');
  const sockets = Array.from({ length: FILLING_CONNECTIONS }, () => connect(port, '127.0.0.1'));
  for (const socket of sockets) socket.on('error', () => undefined);
  await wait(FILL_MS);
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      for (const socket of sockets) socket.destroy();
      listener.kill('SIGKILL');
    },
  };
}
