import type { Socket } from 'node:net';
import type { Millis } from '../common/Types.js';

/**
 * Largest number of bytes that the parser takes at once. Node.js reads 64 KB and would parse them in one go, which takes
 * 20 ms and more if each byte of a body comes in a chunk of its own.
 */
const SLICE_BYTES = 4096;

/** Time for which the bytes of all connections are parsed in one turn of the event loop, about. */
const MAX_PARSE_MS: Millis = 10;

/** Options of the schedule of one connection. */
export interface IScheduledSocketOptions {
  /** Called with the number of bytes that have been read and wait for the parser, when it changes. */
  onUnparsedBytes: (bytes: number) => void;
}

/** A connection whose bytes are parsed by a schedule. */
export interface IScheduledSocket {
  /** Drops the bytes that wait, which the parser would reject again after an error. */
  dropUnparsed: () => void;
}

/**
 * Lets the connections of an HTTP server have their bytes parsed in turn, a slice at a time and for a limited time in each
 * turn of the event loop, so that what costs much time a byte delays other callers little.
 * @example
 * const scheduler = new ParseScheduler();
 * server.on('connection', (socket) => scheduler.addSocket(socket, { onUnparsedBytes: () => undefined }));
 */
export class ParseScheduler {
  /** Connections with slices to parse, in the order of their turns. */
  private readonly _ready = new Set<SlicedSocket>();
  private _spentMs: Millis = 0;
  private _hasTurnEnd = false;

  /** Schedules a connection. To be called when the server has just accepted it. */
  public addSocket(socket: Socket, options: IScheduledSocketOptions): IScheduledSocket {
    // Node.js passes the bytes of a connection to the parser by itself until another listener for them is added.
    if (socket.listenerCount('data') > 0) socket.on('data', dropData).off('data', dropData);
    const { _leave: leave, _schedule: schedule, _tryParse: tryParse } = this;
    return new SlicedSocket(socket, { ...options, schedule, leave, tryParse });
  }

  /** Parses at once if there is time and no other connection is waiting. Returns whether it did. */
  private readonly _tryParse = (parse: () => void): boolean => {
    if (this._ready.size > 0 || this._spentMs >= MAX_PARSE_MS) return false;
    this._measure(parse);
    return true;
  };

  /** Parses slices of a connection while there is time, and the rest in later turns. */
  private readonly _schedule = (socket: SlicedSocket): void => {
    const isFirst = this._ready.size === 0;
    this._ready.add(socket);
    this._scheduleTurnEnd();
    if (isFirst) this._parseReady();
  };

  private readonly _leave = (socket: SlicedSocket): void => {
    this._ready.delete(socket);
  };

  private _parseReady(): void {
    for (const socket of this._ready) {
      if (this._spentMs >= MAX_PARSE_MS) return;
      // A connection that has more to parse goes to the end.
      this._ready.delete(socket);
      this._measure(() => {
        if (socket.parseSlice()) this._ready.add(socket);
      });
    }
  }

  private _measure(parse: () => void): void {
    const startedAt = performance.now();
    parse();
    this._spentMs += performance.now() - startedAt;
    this._scheduleTurnEnd();
  }

  private _scheduleTurnEnd(): void {
    if (this._hasTurnEnd) return;
    this._hasTurnEnd = true;
    setImmediate(() => {
      this._hasTurnEnd = false;
      this._spentMs = 0;
      if (this._ready.size === 0) return;
      this._scheduleTurnEnd();
      this._parseReady();
    });
  }
}

function dropData(): void {
  // The server has a listener of its own.
}

/** Options of a sliced connection. */
interface ISlicedSocketOptions extends IScheduledSocketOptions {
  schedule: (socket: SlicedSocket) => void;
  leave: (socket: SlicedSocket) => void;
  tryParse: (parse: () => void) => boolean;
}

/** Holds back the bytes that a connection has read, and hands them to the parser slice by slice. */
class SlicedSocket implements IScheduledSocket {
  /** What was read and not parsed; `null` stands for the end. */
  private _unparsed: (Buffer | null)[] = [];
  private _unparsedBytes = 0;
  private readonly _push: (chunk: Buffer | null) => boolean;

  constructor(
    private readonly _socket: Socket,
    private readonly _options: ISlicedSocketOptions,
  ) {
    this._push = _socket.push.bind(_socket);
    const read = _socket._read.bind(_socket);
    _socket.push = (chunk: Buffer | null): boolean => this._addChunk(chunk);
    // The stream asks for more after each slice, but the connection is read on only after the last one.
    _socket._read = (size) => {
      if (this._unparsed.length === 0) read(size);
    };
    _socket.on('resume', () => {
      if (this._unparsed.length > 0) _options.schedule(this);
    });
    _socket.once('close', () => {
      this.dropUnparsed();
      _options.leave(this);
    });
  }

  /** Hands on the next slice. Returns whether another one can follow. */
  public parseSlice(): boolean {
    const [chunk] = this._unparsed;
    if (chunk === undefined || this._socket.isPaused() || this._socket.destroyed) return false;
    if (chunk === null || chunk.length <= SLICE_BYTES) this._unparsed.shift();
    else this._unparsed[0] = chunk.subarray(SLICE_BYTES);
    this._countUnparsed(-Math.min(SLICE_BYTES, chunk?.length ?? 0));
    // Copied, since a part of a body would keep all that was read with it.
    this._push(chunk && Buffer.from(chunk.subarray(0, SLICE_BYTES)));
    return this._unparsed.length > 0;
  }

  public dropUnparsed(): void {
    this._unparsed = this._unparsed.filter((chunk) => chunk === null);
    this._countUnparsed(-this._unparsedBytes);
  }

  private _addChunk(chunk: Buffer | null): boolean {
    const isWhole = this._unparsed.length === 0 && (chunk?.length ?? 0) <= SLICE_BYTES;
    let canTakeMore = false;
    const parse = (): void => {
      canTakeMore = this._push(chunk);
    };
    if (isWhole && this._options.tryParse(parse)) return canTakeMore;
    this._unparsed.push(chunk);
    this._countUnparsed(chunk?.length ?? 0);
    this._options.schedule(this);
    return this._unparsed.length === 0;
  }

  private _countUnparsed(addedBytes: number): void {
    if (addedBytes === 0) return;
    this._unparsedBytes += addedBytes;
    this._options.onUnparsedBytes(this._unparsedBytes);
  }
}
