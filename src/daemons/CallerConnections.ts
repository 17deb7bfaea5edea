import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { IRefusal } from '../common/blackboard/Types.js';
import type { IHeldMemory, MemoryBudget } from '../common/memory/MemoryBudget.js';
import type { CallerLimitCause, ChooseConnection, ConnectionState } from '../common/memory/Types.js';
import type { Millis } from '../common/Types.js';
import { ParseScheduler, type IScheduledSocket } from './ParseScheduler.js';
import { PipelineGate } from './PipelineGate.js';

/** Options of the tracking of callers' connections. */
export interface ICallerConnectionsOptions {
  memory: MemoryBudget;
  /** Largest number of connections. */
  readMaxConnections: () => number;
  /** Chooses the connection that is closed when there are too many. */
  chooseConnection: ChooseConnection;
  /** Called when a limit was applied to a connection or its request. */
  onLimited: (cause: CallerLimitCause) => void;
}

/** Requests of a connection that are handled at a time. The connection is not read while further ones wait. */
const MAX_HANDLED_REQUESTS = 16;

/**
 * Requests of a connection that may wait. What has been read before the reading stops is 64 KB at most, and the shortest
 * head has 26 bytes.
 */
const MAX_WAITING_REQUESTS = 4096;

/**
 * Requests that are taken in one turn of the event loop, about. Node.js parses all that was read from a connection at
 * once, and keeps the requests of a connection that is closed until the end of the turn. Without this limit, a crowd of
 * pipelines exhausted the heap within a turn, whatever was closed.
 */
const MAX_REQUESTS_PER_TURN = 2048;

/** Memory of a request and its response besides head and bodies: objects of Node.js and entries of panels. */
const REQUEST_BYTES = 6144;

/** By then, the host may have room for the body again. */
const NO_MEMORY_RETRY_AFTER_MS: Millis = 1000;

/** Refusal of a request whose body was dropped for want of memory. */
export const NO_MEMORY_REFUSAL: IRefusal = {
  code: 'no_capacity',
  message: 'The host has no memory for the body.',
  ran: 'no',
  retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
};

/** Bytes that have to be received before a body counts as making progress. */
const PROGRESS_BYTES = 4096;

/** Memory that one request of a caller holds. */
export interface IRequestMemory {
  /** Sets the memory of the body. */
  setUploadBytes: (bytes: number) => void;
  /** Sets the memory of what the caller has not read yet. */
  setResponseBytes: (bytes: number) => void;
}

/** A request on a connection. */
export interface ICallerRequest {
  response: ServerResponse;
  /** Length of the head. */
  headBytes: number;
  /** Handles the request. Runs once few enough earlier requests of the connection are open. */
  start: (memory: IRequestMemory) => void;
}

/**
 * Tracks the connections of callers and the memory that each of them holds. Limits the requests of a connection that are
 * handled at a time, and closes idle connections when there are too many.
 */
export class CallerConnections {
  /** In the order of their last activity, the longest inactive first. */
  private readonly _connections = new Map<Duplex, CallerConnection>();
  private readonly _parseScheduler = new ParseScheduler();
  private _turnRequests = 0;

  constructor(private readonly _options: ICallerConnectionsOptions) {}

  public get count(): number {
    return this._connections.size;
  }

  /** Tracks a new connection. Closes a connection if there are too many. */
  public addConnection(socket: Socket): void {
    const { chooseConnection, onLimited, readMaxConnections } = this._options;
    const connection = new CallerConnection(socket, this._options, () => {
      this._recordActivity(socket, connection);
    });
    const { setUnparsedBytes: onUnparsedBytes } = connection;
    connection.schedule = this._parseScheduler.addSocket(socket, { onUnparsedBytes });
    const isOneTooMany = this._connections.size >= readMaxConnections();
    const closed = isOneTooMany ? (chooseConnection(this._connections.values()) ?? connection) : undefined;
    this._connections.set(socket, connection);
    socket.once('close', () => {
      this._connections.delete(socket);
      connection.release();
    });
    if (!closed) return;
    onLimited('descriptors');
    closed.close();
  }

  /** Adds a request. It is dropped with its connection if too many requests of the connection wait. */
  public addRequest(socket: Socket, request: ICallerRequest): void {
    const connection = this._connections.get(socket);
    if (!connection || socket.destroyed) {
      socket.destroy();
      return;
    }
    this._countRequest();
    if (this._isTurnFull) connection.setTurnFull(true);
    connection.addRequest(request);
  }

  /** Drops what a connection has sent and the parser has not seen yet, after an error of the parser. */
  public dropUnparsed(socket: Duplex): void {
    this._connections.get(socket)?.schedule?.dropUnparsed();
  }

  /** Sets what frees the body that a connection is sending; `undefined` once the body is complete. */
  public setDropUpload(socket: Socket, dropUpload: (() => void) | undefined): void {
    const connection = this._connections.get(socket);
    if (connection) connection.dropUpload = dropUpload;
  }

  private get _isTurnFull(): boolean {
    return this._turnRequests >= MAX_REQUESTS_PER_TURN;
  }

  /** Stops the reading of all connections when too many requests were taken, until those closed have been freed. */
  private _countRequest(): void {
    this._turnRequests += 1;
    // Closed connections are freed after the first callback and before the second.
    if (this._turnRequests === 1) setImmediate(() => setImmediate(this._endTurn));
    if (this._turnRequests !== MAX_REQUESTS_PER_TURN) return;
    for (const connection of this._connections.values()) connection.setTurnFull(true);
  }

  private readonly _endTurn = (): void => {
    const wasFull = this._isTurnFull;
    this._turnRequests = 0;
    if (!wasFull) return;
    for (const connection of this._connections.values()) connection.setTurnFull(false);
  };

  private _recordActivity(socket: Socket, connection: CallerConnection): void {
    if (this._connections.delete(socket)) this._connections.set(socket, connection);
  }
}

/** A connection of a caller: its open requests, and the memory that they hold. */
class CallerConnection {
  /** Frees the body that is being sent, and refuses its request. */
  public dropUpload: (() => void) | undefined;
  /** What hands the bytes of the connection to the parser. */
  public schedule: IScheduledSocket | undefined;
  private _unparsedBytes = 0;
  private readonly _held: IHeldMemory;
  private _handledCount = 0;
  /** Number of responses that the caller has not read completely. */
  private _unreadCount = 0;
  private readonly _waiting: (() => void)[] = [];
  private _gate: PipelineGate | undefined;
  private _isTurnFull = false;

  constructor(
    public readonly socket: Socket,
    private readonly _options: ICallerConnectionsOptions,
    private readonly _recordActivity: () => void,
  ) {
    this._held = _options.memory.hold('connection', () => {
      this._releaseMemory();
    });
  }

  public get state(): ConnectionState {
    if (this._handledCount === 0) return 'idle';
    if (this.dropUpload) return 'sending';
    return this._unreadCount > 0 ? 'unread' : 'waiting';
  }

  /** Closes the connection. A refusal of the request whose body is being sent is written before. */
  public close(): void {
    const { dropUpload } = this;
    this.dropUpload = undefined;
    dropUpload?.();
    // A caller that reads nothing would keep the connection open until the refusal is sent.
    if (dropUpload && this.socket.writableLength === 0) this.socket.destroySoon();
    else this.socket.destroy();
  }

  /** Sets whether the host has taken too many requests in this turn of the event loop. */
  public setTurnFull(isTurnFull: boolean): void {
    this._isTurnFull = isTurnFull;
    this._updateGate();
  }

  /** Sets the memory of what was read and not parsed yet. */
  public readonly setUnparsedBytes = (bytes: number): void => {
    this._held.addBytes(bytes - this._unparsedBytes);
    this._unparsedBytes = bytes;
  };

  public release(): void {
    this._waiting.length = 0;
    this._held.release();
  }

  public addRequest(request: ICallerRequest): void {
    if (this._waiting.length >= MAX_WAITING_REQUESTS) {
      this._options.onLimited('pipeline');
      this.socket.destroy();
      return;
    }
    if (this._handledCount === 0) {
      this._held.recordProgress();
      this._recordActivity();
    }
    const memory = this._createMemory(request);
    if (this._handledCount < MAX_HANDLED_REQUESTS) {
      this._handledCount += 1;
      request.start(memory);
      return;
    }
    this._waiting.push(() => {
      request.start(memory);
    });
    this._updateGate();
  }

  private _createMemory({ headBytes, response }: ICallerRequest): IRequestMemory {
    const held = this._held;
    let uploadBytes = 0;
    let responseBytes = 0;
    let unseenBytes = 0;
    held.addBytes(REQUEST_BYTES + headBytes);
    response.once('finish', () => {
      held.recordProgress();
      held.addBytes(-REQUEST_BYTES - headBytes - uploadBytes - responseBytes);
      if (responseBytes > 0) this._unreadCount -= 1;
      uploadBytes = responseBytes = 0;
      this._startNext();
    });
    return {
      setUploadBytes: (bytes) => {
        const added = bytes - uploadBytes;
        uploadBytes = bytes;
        unseenBytes += added;
        if (unseenBytes >= PROGRESS_BYTES) {
          unseenBytes = 0;
          held.recordProgress();
        }
        held.addBytes(added);
      },
      setResponseBytes: (bytes) => {
        const added = bytes - responseBytes;
        this._unreadCount += Number(bytes > 0) - Number(responseBytes > 0);
        responseBytes = bytes;
        if (added < 0) held.recordProgress();
        held.addBytes(added);
      },
    };
  }

  private _startNext(): void {
    const start = this._waiting.shift();
    if (start) start();
    else {
      this._handledCount -= 1;
      if (this._handledCount === 0) this._recordActivity();
    }
    this._updateGate();
  }

  /** Reads the connection unless requests wait, or the host has taken too many in this turn. */
  private _updateGate(): void {
    if (this._waiting.length > 0 || this._isTurnFull) {
      this._gate ??= new PipelineGate(this.socket);
      this._gate.close();
    } else this._gate?.open();
  }

  /** Refuses the request whose body is being sent, which has not run. Otherwise closes the connection. */
  private _releaseMemory(): void {
    const { dropUpload } = this;
    if (dropUpload) {
      this.dropUpload = undefined;
      this._options.onLimited('upload-memory');
      dropUpload();
    } else {
      this._options.onLimited('connection-memory');
      this._held.release();
      this.socket.destroy();
    }
  }
}
