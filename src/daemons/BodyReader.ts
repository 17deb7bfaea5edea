import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '../adapters/ByteCollector.js';
import type { Millis } from '../common/Types.js';

/** `reading`: the body is kept. `discarding`: it was refused, and the rest is read and dropped. `ended`: it is whole. */
export type BodyState = 'reading' | 'discarding' | 'ended';

/** Options of the reading of a body. */
export interface IBodyReaderOptions {
  message: IncomingMessage;
  /** Largest body; 0 sets no limit. */
  maxBytes: number;
  now: () => Millis;
  /** Called with the memory that the body takes when it changes. */
  onHeldBytes: (bytes: number) => void;
  /** Called with the whole body. */
  onBody: (body: Buffer) => void;
  /** Called once if the body is announced to exceed the limit or does exceed it. */
  onTooLarge: () => void;
}

/**
 * A refused body is read and discarded up to this multiple of the limit, because a caller that is still sending when
 * the connection closes may not receive the refusal.
 */
const DISCARD_FACTOR = 4;
/** Takes the place of the limit if there is none. */
const DEFAULT_DISCARDED_BYTES = 4_194_304;

/**
 * Reads the body of a call. Closes the connection of a caller that goes on to send far beyond the limit.
 * @example
 * new BodyReader({ message, maxBytes, now, onHeldBytes, onBody: accept, onTooLarge: refuse }).start();
 */
export class BodyReader {
  public readonly startedAt: Millis;
  private readonly _collector: ByteCollector;
  /** Length of the body as the head names it; 0 if it comes in chunks. */
  private readonly _announcedBytes: number;
  private _state: BodyState = 'reading';
  private _lastByteAt: Millis;
  private _length = 0;

  constructor(private readonly _options: IBodyReaderOptions) {
    this.startedAt = this._lastByteAt = _options.now();
    this._announcedBytes = Number(_options.message.headers['content-length'] ?? 0) || 0;
    this._collector = new ByteCollector(this._announcedBytes);
  }

  public get state(): BodyState {
    return this._state;
  }

  public get lastByteAt(): Millis {
    return this._lastByteAt;
  }

  public get message(): IncomingMessage {
    return this._options.message;
  }

  /** Whether nothing more of the body will arrive. */
  public get hasEnded(): boolean {
    return this._state === 'ended' || this.message.complete || this.message.destroyed;
  }

  /** Starts to read. */
  public start(): void {
    const { maxBytes, message } = this._options;
    if (maxBytes > 0 && this._announcedBytes > maxBytes) this._refuseSize();
    message.on('data', this._addChunk);
    message.once('end', this._end);
    // The connection has closed before the end of the body.
    message.on('error', () => {
      this.drop();
    });
  }

  /** Frees what has been read. The rest is discarded. */
  public drop(): void {
    if (this._state === 'ended') return;
    this._collector.clear();
    this._state = 'discarding';
    this._options.onHeldBytes(0);
  }

  private readonly _addChunk = (chunk: Buffer): void => {
    const { maxBytes, message, now, onHeldBytes } = this._options;
    this._length += chunk.length;
    this._lastByteAt = now();
    if (this._state === 'discarding') {
      if (this._length > DISCARD_FACTOR * (maxBytes || DEFAULT_DISCARDED_BYTES)) message.destroy();
    } else if (maxBytes > 0 && this._length > maxBytes) this._refuseSize();
    else {
      const heldBefore = this._collector.heldBytes;
      this._collector.add(chunk);
      const { heldBytes } = this._collector;
      if (heldBytes !== heldBefore) onHeldBytes(heldBytes);
    }
  };

  private readonly _end = (): void => {
    if (this._state !== 'reading') return;
    this._state = 'ended';
    const body = this._collector.combine();
    this._collector.clear();
    this._options.onHeldBytes(body.length);
    this._options.onBody(body);
  };

  private _refuseSize(): void {
    this.drop();
    this._options.onTooLarge();
  }
}
