import { spawn } from 'node:child_process';
import { connect } from 'node:net';

const LISTENER = `
const server = require('node:net').createServer(() => undefined);
server.listen({ host: process.argv[1], port: Number(process.argv[2]), backlog: 1 }, () => console.log('listening'));
`;

const FILLING_CONNECTIONS = 6;
const SETTLE_MS = 300;

/**
 * An address that does not respond, like that of a machine without power: its listener is stopped and its queue of new
 * connections is full, so that the system drops every further request for a connection.
 */
export class DarkPort {
  constructor(host, port) {
    Object.assign(this, { host, port, _fillers: [] });
  }

  async start() {
    const args = ['-e', LISTENER, this.host, String(this.port)];
    this._child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
    await new Promise((resolve, reject) => {
      this._child.stdout.once('data', resolve);
      this._child.once('exit', () => reject(new Error('The dark port cannot be opened.')));
    });
    this._child.kill('SIGSTOP');
    for (let count = 0; count < FILLING_CONNECTIONS; count += 1) {
      const socket = connect(this.port, this.host);
      socket.on('error', () => undefined);
      this._fillers.push(socket);
    }
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    return this;
  }

  stop() {
    for (const socket of this._fillers) socket.destroy();
    this._child.kill('SIGKILL');
  }
}
