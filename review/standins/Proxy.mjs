import { createServer, connect } from 'node:net';

/**
 * A proxy in front of a runner. `losesAnswer(id)` tells whether the answer to the request with an id is lost: then the
 * connection stays open and carries nothing more in either direction, while new ones work.
 */
export class Proxy {
  constructor(target, losesAnswer) {
    const [host, port] = target.split(':');
    Object.assign(this, { _host: host, _port: Number(port), _losesAnswer: losesAnswer });
    this._pairs = new Set();
    this._server = createServer((client) => this._forward(client));
  }

  async start() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this._server.address().port}`;
    return this;
  }

  stop() {
    this._server.close();
    for (const { client, server } of this._pairs) {
      client.destroy();
      server.destroy();
    }
  }

  _forward(client) {
    const server = connect({ host: this._host, port: this._port, noDelay: true });
    client.setNoDelay(true);
    const pair = { client, server, isSilent: false };
    this._pairs.add(pair);
    const link = (from, to, pass) => {
      from.on('data', (bytes) => {
        if (!pair.isSilent) pass(bytes);
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (pair.isSilent) return;
        this._pairs.delete(pair);
        to.destroy();
      });
    };
    link(client, server, (bytes) => server.write(bytes));
    link(server, client, (bytes) => {
      const id = /^attempt-id: (\S+)/im.exec(bytes.toString('latin1'))?.[1];
      if (id !== undefined && this._losesAnswer(id)) pair.isSilent = true;
      else client.write(bytes);
    });
  }
}
