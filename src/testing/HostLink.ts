import type { Socket } from 'node:net';
import { buildConnector, errors } from 'undici';
import { pauseSocket } from './PausedSocket.js';

/** State of a host's link: up, or cut, so that new connections hang or are refused. */
export type LinkState = 'up' | 'hung' | 'refused';

/** What becomes of open connections when a link is cut: they fall silent, are reset, or live on. */
export type OpenConnections = 'silent' | 'reset' | 'kept';

const CONNECT_TIMEOUT_MS = 500;

/** A host's link to the endpoints that a test can cut, as a partition does. */
export class HostLink {
  private _state: LinkState = 'up';
  private readonly _sockets = new Set<Socket>();
  private readonly _connectDirectly = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

  /** Opens a connection over this link; passed to the client of the endpoints. */
  public readonly connect: buildConnector.connector = (options, callback) => {
    if (this._state === 'hung') {
      setTimeout(() => {
        callback(new errors.ConnectTimeoutError('The link is cut.'), null);
      }, CONNECT_TIMEOUT_MS);
      return;
    }
    if (this._state === 'refused') {
      const error = Object.assign(new Error('refused'), { code: 'ECONNREFUSED', syscall: 'connect' });
      setImmediate(() => {
        callback(error, null);
      });
      return;
    }
    this._connectDirectly(options, (...result) => {
      if (result[0] === null) this._track(result[1]);
      callback(...result);
    });
  };

  /** Stops the link. What becomes of open connections depends on the partition. */
  public stop(state: Exclude<LinkState, 'up'>, openConnections: OpenConnections): void {
    this._state = state;
    if (openConnections === 'kept') return;
    for (const socket of this._sockets) {
      if (openConnections === 'silent') pauseSocket(socket);
      else socket.destroy(Object.assign(new Error('reset'), { code: 'ECONNRESET' }));
    }
  }

  /** Restores the link. Connections that fell silent stay so. */
  public restore(): void {
    this._state = 'up';
  }

  private _track(socket: Socket): void {
    this._sockets.add(socket);
    socket.once('close', () => this._sockets.delete(socket));
  }
}
