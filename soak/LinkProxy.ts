import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { startListening } from '../src/adapters/Listening.js';
import { toDisposable, type IDisposable } from '../src/common/Lifecycle.js';
import type { Millis } from '../src/common/Types.js';
import type { LinkMode } from './Types.js';

type Direction = 'request' | 'response';

/** Modes that hold back the bytes of a direction. */
const BLOCKING_MODES: Readonly<Record<Direction, readonly LinkMode[]>> = {
  request: ['silent', 'mute-request'],
  response: ['silent', 'mute-response'],
};

/** Delay of each direction in the mode `delay`. Both together stay below the shortest route time-out. */
const DELAY_MS: Millis = 120;

/** Loopback proxy in front of one port, which injects faults. The mode that was added last takes effect. */
export class LinkProxy {
  private readonly _server: Server;
  private readonly _connections = new Set<ProxiedConnection>();
  private readonly _modes: { mode: LinkMode }[] = [];

  private constructor(
    private readonly _targetPort: number,
    private readonly _targetHost: string,
  ) {
    this._server = createServer({ allowHalfOpen: true }, (caller) => {
      this._openConnection(caller);
    });
  }

  /** Starts a proxy. It connects to its target only when a connection to the proxy is opened. */
  public static async start(targetPort: number, targetHost = '127.0.0.1'): Promise<LinkProxy> {
    const proxy = new LinkProxy(targetPort, targetHost);
    await startListening(proxy._server, '127.0.0.1', 0);
    return proxy;
  }

  /** Address of the proxy, as `ip:port`. */
  public get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Port of the proxy. */
  public get port(): number {
    return (this._server.address() as AddressInfo).port;
  }

  /** Adds a mode, which applies until the result is disposed. */
  public addMode(mode: LinkMode): IDisposable {
    const entry = { mode };
    this._modes.push(entry);
    this._applyMode();
    return toDisposable(() => {
      this._modes.splice(this._modes.indexOf(entry), 1);
      this._applyMode();
    });
  }

  /** Closes the proxy and its connections. */
  public close(): void {
    this._server.close();
    for (const connection of this._connections) connection.reset();
  }

  private get _mode(): LinkMode {
    return this._modes.at(-1)?.mode ?? 'pass';
  }

  private _applyMode(): void {
    for (const connection of [...this._connections]) {
      if (this._mode === 'reset') connection.reset();
      else if (this._mode === 'close') connection.close();
      else connection.setMode(this._mode);
    }
  }

  private _openConnection(caller: Socket): void {
    if (this._mode === 'reset' || this._mode === 'close') {
      resetSocket(caller);
      return;
    }
    const target = connect({ port: this._targetPort, host: this._targetHost, allowHalfOpen: true });
    const connection = new ProxiedConnection(caller, target, () => {
      this._connections.delete(connection);
    });
    this._connections.add(connection);
    connection.setMode(this._mode);
  }
}

/**
 * Resets a connection. Node.js never closes a socket that is reset while its end is being sent, and a process with such a
 * socket does not exit, so one that has ended is closed.
 */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** One connection through the proxy. `onClose` is called once both of its sockets are closed. */
class ProxiedConnection {
  private readonly _request: Pipe;
  private readonly _response: Pipe;

  constructor(
    private readonly _caller: Socket,
    private readonly _target: Socket,
    onClose: () => void,
  ) {
    let openSockets = 2;
    const handleClose = (): void => {
      openSockets -= 1;
      if (openSockets === 0) onClose();
    };
    this._request = new Pipe('request', _caller, _target, handleClose);
    this._response = new Pipe('response', _target, _caller, handleClose);
  }

  public setMode(mode: LinkMode): void {
    this._request.setMode(mode);
    this._response.setMode(mode);
  }

  /** Closes the connection in order, as the system does for a process that has ended. */
  public close(): void {
    this._caller.end();
    resetSocket(this._target);
  }

  public reset(): void {
    resetSocket(this._caller);
    resetSocket(this._target);
  }
}

type Delivery = { kind: 'bytes'; bytes: Buffer } | { kind: 'end' } | { kind: 'reset' };

/**
 * One direction of a connection. Bytes that are held back or delayed are delivered later and in order, as on
 * a real network.
 */
class Pipe {
  private readonly _queue: (Delivery & { dueAt: Millis })[] = [];
  private _mode: LinkMode = 'pass';
  private _timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _direction: Direction,
    source: Socket,
    private readonly _destination: Socket,
    onClose: () => void,
  ) {
    source.setNoDelay();
    source.on('data', (bytes) => {
      this._enqueue({ kind: 'bytes', bytes });
    });
    source.on('end', () => {
      // A reset that arrives together with the last bytes looks like an end, but the socket has lost its peer.
      this._enqueue({ kind: source.remoteAddress === undefined ? 'reset' : 'end' });
    });
    source.on('error', () => {
      this._enqueue({ kind: 'reset' });
    });
    source.on('close', onClose);
  }

  public setMode(mode: LinkMode): void {
    this._mode = mode;
    this._deliverDue();
  }

  private _enqueue(delivery: Delivery): void {
    const delayMs = this._mode === 'delay' ? DELAY_MS : 0;
    this._queue.push({ ...delivery, dueAt: performance.now() + delayMs });
    this._deliverDue();
  }

  private _deliverDue(): void {
    clearTimeout(this._timer);
    if (BLOCKING_MODES[this._direction].includes(this._mode)) return;
    for (let next = this._queue[0]; next; next = this._queue[0]) {
      const waitMs = next.dueAt - performance.now();
      if (waitMs > 0) {
        this._timer = setTimeout(() => {
          this._deliverDue();
        }, waitMs);
        return;
      }
      this._queue.shift();
      if (next.kind === 'bytes') this._destination.write(next.bytes);
      else if (next.kind === 'end') this._destination.end();
      else resetSocket(this._destination);
    }
  }
}
