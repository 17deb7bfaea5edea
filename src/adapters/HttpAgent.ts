import type { Socket } from 'node:net';
import { buildConnector, Client, Pool, type Agent, type Dispatcher } from 'undici';
import type { Millis } from '../common/Types.js';
import { ResponseConnection } from './ResponseConnection.js';
import { failIfAborted, AbortableAgent, type RequestOptions } from './AbortableAgent.js';
import { countBody, ResponseOverhead } from './ResponseOverhead.js';
import { ForwardingHandler, type IResponseHandler } from './ResponseHandler.js';
import { refuseBadStatus } from './ResponseStatus.js';
import { findTunnelEndCheck } from './Tunnels.js';
import { isInvalidRequest } from './UnsentRequest.js';

/**
 * Largest number of bytes that the parser takes at once. undici creates an error for each header beyond the limit until
 * the parser returns, and thousands of headers fit into what a socket reads at once.
 */
const MAX_PARSED_BYTES = 4096;

/** System error codes of connections that broke. Errors of undici itself report what this side did. */
const RESET_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/**
 * Default of the time in which a connection has to be established. A host that does not respond holds a place in the
 * pool of its connections for as long.
 */
const CONNECT_TIMEOUT_MS: Millis = 1000;

/** Bytes that the names and values of the headers of a response may have, and those of its trailers. */
const MAX_HEADER_BYTES = 16_384;

/**
 * Creates an agent that limits the bytes of a response besides its body, and that records how its connection ended. undici
 * takes a reset for the end of a response without length and chunks, so such a response may be whole only if its
 * connection was closed in order. A request whose signal is aborted fails at once, also while it waits for a connection;
 * connections have to be established within 1000 ms unless `connect` says otherwise.
 * @example
 * const connection = new ResponseConnection();
 * const { body } = await createHttpAgent().request({ origin, path, method: 'GET', opaque: connection });
 * const text = await body.text();
 * const mayBeWhole = connection.state === 'closed'; // for a response without length and chunks
 */
export function createHttpAgent(options: Agent.Options = {}): Agent {
  const connect =
    typeof options.connect === 'function'
      ? options.connect
      : buildConnector({ timeout: CONNECT_TIMEOUT_MS, ...options.connect });
  return new AbortableAgent({
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

/** Records whether undici has refused to send a request. */
class InvalidRequestRecorder extends ForwardingHandler {
  public hasRefused = false;

  public override onError(error: Error): void {
    this.hasRefused = isInvalidRequest(error);
    super.onError(error);
  }
}

/** One connection of an agent. Tells the response in progress there how the connection ends. */
class RecordingClient extends Client {
  private _current: ResponseConnection | undefined;
  private _overhead: ResponseOverhead | undefined;
  private _socket: Socket | undefined;

  constructor(origin: URL, options: Client.Options, connect: buildConnector.connector) {
    super(origin, {
      ...options,
      connect: (connectOptions, onConnected) => {
        connect(connectOptions, (...result) => {
          const [error, socket] = result;
          // The listeners are added before those of undici, which ends the response.
          if (error === null) {
            this._socket = socket;
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
    options: RequestOptions & { opaque?: unknown },
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    // Requests that were aborted in the pool's queue would each open a connection only to close it again.
    if (failIfAborted(options, handler)) return true;
    this._current = options.opaque instanceof ResponseConnection ? options.opaque : undefined;
    if (this._socket) this._current?.recordStart(findTunnelEndCheck(this._socket));
    const recorder = new InvalidRequestRecorder(handler as unknown as IResponseHandler);
    const canTakeMore = super.dispatch(
      options,
      countBody(refuseBadStatus(recorder), () => this._overhead),
    );
    // undici returns `false` for a request that it refuses, and the pool then waits for a connection to become free that
    // has never been in use.
    return canTakeMore || recorder.hasRefused;
  }

  private _recordStates(socket: Socket): void {
    this._current?.recordStart(findTunnelEndCheck(socket));
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
