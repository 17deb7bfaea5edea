import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { Agent, buildConnector, Client, Pool, type Dispatcher } from 'undici';
import type { EndMark } from '../common/request/Types.js';
import { countBody, ResponseOverhead } from './ResponseOverhead.js';

/** How a connection stands: `closed` in order by the other side, or `reset`, so that bytes may be missing. */
export type ConnectionState = 'open' | 'closed' | 'reset';

/**
 * Largest number of bytes that the parser takes at once. undici creates an error for each header beyond the limit until
 * the parser returns, and thousands of headers fit into what a socket reads at once.
 */
const MAX_PARSED_BYTES = 4096;

/** Largest number of bytes behind a response that are kept. */
const MAX_BYTES_BEHIND = MAX_PARSED_BYTES;

const NO_BYTES: Buffer = Buffer.alloc(0);

/** How the connection of one response stands. Passed to the agent as the `opaque` of the request. */
export class ResponseConnection {
  private _state: ConnectionState = 'open';
  private _leftover = NO_BYTES;

  public get state(): ConnectionState {
    return this._state;
  }

  /**
   * Bytes that the parser has read from the connection and not taken, at most 4 KiB. Once the response has ended, these
   * are the first ones behind its end.
   */
  public get leftover(): Buffer {
    return this._leftover;
  }

  /** Records that the request goes out on a new connection, since the one that was kept had ended. */
  public recordStart(): void {
    this._state = 'open';
    this._leftover = NO_BYTES;
  }

  /** Records that the parser takes the next bytes. */
  public recordRead(): void {
    this._leftover = NO_BYTES;
  }

  /** Records the bytes that the parser did not take. */
  public recordLeftover(bytes: Buffer): void {
    this._leftover = Buffer.from(bytes.subarray(0, MAX_BYTES_BEHIND));
  }

  /** Records the end of the connection. The first end counts: a connection that is destroyed afterwards was not reset. */
  public recordEnd(state: Exclude<ConnectionState, 'open'>): void {
    if (this._state === 'open') this._state = state;
  }
}

/** What tells how the end of a response is marked. */
export interface IResponseForm {
  method: string;
  status: number;
  /** Returns the value of a header by its name in lower case. Several values are joined by commas. */
  findHeader: (name: string) => string | undefined;
}

/** Statuses of responses that have no body, so that they end with their head. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The only transfer encoding of which the end is certain. The parser takes others for it too. */
const CHUNKED_ENCODING = /^[\t ]*chunked[\t ]*$/i;

/** System error codes of connections that broke. Errors of undici itself report what this side did. */
const RESET_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/** Bytes that the names and values of the headers of a response may have, and those of its trailers. */
const MAX_HEADER_BYTES = 16_384;

/**
 * Creates an agent that limits the bytes of a response besides its body, and that records how its connection ended. undici
 * takes a reset for the end of a response without length and chunks, so such a response may be whole only if its
 * connection was closed in order.
 * @example
 * const connection = new ResponseConnection();
 * const { body } = await createHttpAgent().request({ origin, path, method: 'GET', opaque: connection });
 * const text = await body.text();
 * const mayBeWhole = connection.state === 'closed'; // for a response without length and chunks
 */
export function createHttpAgent(options: Agent.Options = {}): Agent {
  const connect =
    typeof options.connect === 'function' ? options.connect : buildConnector(options.connect ?? {});
  return new Agent({
    ...options,
    factory: (origin, poolOptions: Pool.Options) =>
      new Pool(origin, {
        maxHeaderSize: MAX_HEADER_BYTES,
        ...poolOptions,
        factory: (clientOrigin, clientOptions) => new RecordingClient(clientOrigin, clientOptions, connect),
      }),
  });
}

/** Agent of all calls that are given none. */
export const DEFAULT_AGENT = createHttpAgent();

/**
 * Finds what marks the end of a response, by the rules of HTTP/1.1 on the length of a message.
 * @example
 * findEndMark({ method: 'GET', status: 200, findHeader: () => undefined }); // 'connection'
 */
export function findEndMark({ findHeader, method, status }: IResponseForm): EndMark {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'length';
  // A transfer encoding goes before a length, and one that does not end with chunks lasts until the connection ends.
  const encoding = findHeader('transfer-encoding');
  if (encoding !== undefined) return CHUNKED_ENCODING.test(encoding) ? 'chunks' : 'connection';
  return findHeader('content-length') === undefined ? 'connection' : 'length';
}

/**
 * Tells whether the head of a response says clearly where its body ends. undici reads a body of any other transfer
 * encoding than chunks to a last chunk or to the end of the connection, so that a misspelt one gives a spoilt body.
 * Lengths that are not clear are errors of undici.
 * @example
 * hasSoundFraming({ method: 'GET', status: 200, findHeader: () => 'chunked, chunked' }); // false
 */
export function hasSoundFraming({ findHeader, method, status }: IResponseForm): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return true;
  const encoding = findHeader('transfer-encoding');
  return encoding === undefined || CHUNKED_ENCODING.test(encoding);
}

/**
 * Reads the first bytes behind a response that has ended; none if nothing follows at once. Bytes that arrive more than
 * one turn of the event loop after the end are not seen.
 * @example
 * const text = await body.text();
 * const bytes = await readBytesBehind(connection);
 */
export async function readBytesBehind(connection: ResponseConnection): Promise<Buffer> {
  // Immediates run after the turn's reads, so that the second one runs after the reads of the next turn.
  for (let count = 0; count < 2 && connection.leftover.length === 0; count += 1) await setImmediate();
  return connection.leftover;
}

/**
 * Tells whether a response that undici has read to its end was cut by the end of its connection.
 * @example
 * if (isCutByConnection(endMark, connection)) return Result.err({ kind: 'crashed', ran: 'yes', message });
 */
export function isCutByConnection(endMark: EndMark, connection: ResponseConnection): boolean {
  return endMark === 'connection' && connection.state !== 'closed';
}

/** One connection of an agent. Tells the response in progress there how the connection ends. */
class RecordingClient extends Client {
  private _current: ResponseConnection | undefined;
  private _overhead: ResponseOverhead | undefined;

  constructor(origin: URL, options: Client.Options, connect: buildConnector.connector) {
    super(origin, {
      ...options,
      connect: (connectOptions, onConnected) => {
        connect(connectOptions, (...result) => {
          const [error, socket] = result;
          // The listeners are added before those of undici, which ends the response.
          if (error === null) {
            this._recordStates(socket);
            this._limitReads(socket);
            this._overhead = new ResponseOverhead(socket);
          }
          onConnected(...result);
        });
      },
    });
  }

  public override dispatch(
    options: Dispatcher.DispatchOptions & { opaque?: unknown },
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    this._current = options.opaque instanceof ResponseConnection ? options.opaque : undefined;
    return super.dispatch(
      options,
      countBody(handler, () => this._overhead),
    );
  }

  private _recordStates(socket: Socket): void {
    this._current?.recordStart();
    socket.on('end', () => {
      // If a reset arrives together with the last bytes, libuv reports the end of the file instead of the error. Only
      // the system's socket tells them apart: it has lost its peer. Node.js keeps the address once it was read, so
      // nothing may read it before.
      this._current?.recordEnd(socket.remoteAddress === undefined ? 'reset' : 'closed');
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (code !== undefined && RESET_CODES.has(code)) this._current?.recordEnd('reset');
    });
  }

  /**
   * Limits the size of the chunks that undici's parser reads, and records what it leaves over of each. undici tells
   * nobody of the bytes behind a response: it puts them back or closes the connection. It cuts them off the chunk by
   * `subarray` in both cases, and uses this method of the chunk for nothing else.
   */
  private _limitReads(socket: Socket): void {
    const recordLeftover = (bytes: Buffer): void => this._current?.recordLeftover(bytes);
    function takeLeftover(this: Buffer, start?: number, end?: number): Buffer<ArrayBuffer> {
      const leftover = (Buffer.prototype as Buffer<ArrayBuffer>).subarray.call(this, start, end);
      recordLeftover(leftover);
      return leftover;
    }
    const readChunk = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number): Buffer | null => {
      // The parser would go on with bytes that are buffered when it closes the connection because of their number.
      if (socket.destroyed) return null;
      const chunk = readChunk(
        size ?? (socket.readableLength > MAX_PARSED_BYTES ? MAX_PARSED_BYTES : undefined),
      );
      if (chunk === null) return null;
      this._current?.recordRead();
      chunk.subarray = takeLeftover;
      return chunk;
    };
  }
}
