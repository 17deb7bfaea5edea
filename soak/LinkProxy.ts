import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { startListening } from '../src/adapters/Listening.js';
import { toDisposable, type IDisposable } from '../src/common/Lifecycle.js';
import type { Millis } from '../src/common/Types.js';
import type { LinkMode } from './Types.js';

type Direction = 'request' | 'response';

/** Modes that hold the bytes of a direction. */
const HELD: Readonly<Record<Direction, readonly LinkMode[]>> = {
  request: ['silent', 'mute-request'],
  response: ['silent', 'mute-response'],
};

/** Added to each direction in the mode `delay`: below the shortest route time-out of the soak, twice. */
const DELAY_MS: Millis = 120;

/** Loopback proxy in front of one port, with faults that are added from outside. The last one counts. */
export class LinkProxy {
  private readonly _server: Server;
  private readonly _links = new Set<Link>();
  private readonly _modes: { mode: LinkMode }[] = [];

  private constructor(
    private readonly _targetPort: number,
    private readonly _targetHost: string,
  ) {
    this._server = createServer({ allowHalfOpen: true }, (caller) => {
      this._open(caller);
    });
  }

  /** Starts a proxy; it reaches its target only when a connection is made. */
  public static async start(targetPort: number, targetHost = '127.0.0.1'): Promise<LinkProxy> {
    const proxy = new LinkProxy(targetPort, targetHost);
    await startListening(proxy._server, '127.0.0.1', 0);
    return proxy;
  }

  /** `ip:port` of the proxy. */
  public get address(): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
  }

  /** Applies a mode until the result is disposed. */
  public addMode(mode: LinkMode): IDisposable {
    const entry = { mode };
    this._modes.push(entry);
    this._refresh();
    return toDisposable(() => {
      this._modes.splice(this._modes.indexOf(entry), 1);
      this._refresh();
    });
  }

  /** Closes the proxy and its connections. */
  public close(): void {
    this._server.close();
    for (const link of this._links) link.endAbruptly();
  }

  private get _mode(): LinkMode {
    return this._modes.at(-1)?.mode ?? 'pass';
  }

  private _refresh(): void {
    for (const link of [...this._links]) {
      if (this._mode === 'reset') link.endAbruptly();
      else link.setMode(this._mode);
    }
  }

  private _open(caller: Socket): void {
    if (this._mode === 'reset') {
      caller.resetAndDestroy();
      return;
    }
    const target = connect({ port: this._targetPort, host: this._targetHost, allowHalfOpen: true });
    const link = new Link(caller, target, () => {
      this._links.delete(link);
    });
    this._links.add(link);
    link.setMode(this._mode);
  }
}

/** One connection through the proxy. */
class Link {
  private readonly _request: Pipe;
  private readonly _response: Pipe;

  constructor(
    private readonly _caller: Socket,
    private readonly _target: Socket,
    onEnd: () => void,
  ) {
    this._request = new Pipe('request', _caller, _target, onEnd);
    this._response = new Pipe('response', _target, _caller, onEnd);
  }

  public setMode(mode: LinkMode): void {
    this._request.setMode(mode);
    this._response.setMode(mode);
  }

  public endAbruptly(): void {
    this._caller.resetAndDestroy();
    this._target.resetAndDestroy();
  }
}

type Delivery = { kind: 'bytes'; bytes: Buffer } | { kind: 'end' } | { kind: 'reset' };

/** One direction of a connection. What is held or delayed arrives later and in order, as on a real link. */
class Pipe {
  private readonly _queue: (Delivery & { dueAt: Millis })[] = [];
  private _mode: LinkMode = 'pass';
  private _timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _direction: Direction,
    from: Socket,
    private readonly _to: Socket,
    onEnd: () => void,
  ) {
    from.setNoDelay();
    from.on('data', (bytes) => {
      this._push({ kind: 'bytes', bytes });
    });
    from.on('end', () => {
      this._push({ kind: 'end' });
    });
    from.on('error', () => {
      this._push({ kind: 'reset' });
    });
    from.on('close', onEnd);
  }

  public setMode(mode: LinkMode): void {
    this._mode = mode;
    this._deliverDue();
  }

  private _push(delivery: Delivery): void {
    const delayMs = this._mode === 'delay' ? DELAY_MS : 0;
    this._queue.push({ ...delivery, dueAt: performance.now() + delayMs });
    this._deliverDue();
  }

  private _deliverDue(): void {
    clearTimeout(this._timer);
    if (HELD[this._direction].includes(this._mode)) return;
    for (let next = this._queue[0]; next; next = this._queue[0]) {
      const waitMs = next.dueAt - performance.now();
      if (waitMs > 0) {
        this._timer = setTimeout(() => {
          this._deliverDue();
        }, waitMs);
        return;
      }
      this._queue.shift();
      if (next.kind === 'bytes') this._to.write(next.bytes);
      else if (next.kind === 'end') this._to.end();
      else this._to.resetAndDestroy();
    }
  }
}
