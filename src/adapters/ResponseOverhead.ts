import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { ResponseOverheadError } from './ResponseErrors.js';
import { ForwardingHandler, type AbortRequest, type IResponseHandler } from './ResponseHandler.js';

/**
 * Bytes of a response besides its body: the status line, the headers and the trailers. undici limits the names and
 * values of headers, but neither the status text nor empty lines, nor what stands between them.
 */
const MAX_OVERHEAD_BYTES = 131_072;

/** Bytes besides the body for each byte of it. A chunk of one byte takes five more, or a few more with leading zeros. */
const OVERHEAD_PER_BODY_BYTE = 8;

/**
 * Limits what arrives on a connection for a response besides its body. The other side may send a head or the framing of
 * chunks without end, which costs processor time until the deadline of the call.
 */
export class ResponseOverhead {
  private _bytesBefore = 0;
  private _bodyBytes = 0;

  constructor(private readonly _socket: Socket) {
    // undici takes the bytes in its own listener of this event, which is added later.
    _socket.on('readable', this._checkBytes);
  }

  /** Records that the request of the next response is sent. */
  public recordStart(): void {
    this._bytesBefore = this._countTakenBytes();
    this._bodyBytes = 0;
  }

  public addBodyBytes(count: number): void {
    this._bodyBytes += count;
  }

  private _countTakenBytes(): number {
    return this._socket.bytesRead - this._socket.readableLength;
  }

  private readonly _checkBytes = (): void => {
    const overheadBytes = this._countTakenBytes() - this._bytesBefore - this._bodyBytes;
    if (overheadBytes <= MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * this._bodyBytes) return;
    this._socket.destroy(new ResponseOverheadError());
  };
}

/**
 * Wraps the handler of a response so that the overhead of its connection knows the bytes of the body. `findOverhead` is
 * called when the request is sent, since its connection may be opened only then.
 */
export function countBody(
  handler: Dispatcher.DispatchHandler,
  findOverhead: () => ResponseOverhead | undefined,
): Dispatcher.DispatchHandler {
  return new CountingHandler(handler as unknown as IResponseHandler, findOverhead);
}

/** Counts the bytes of a body. */
class CountingHandler extends ForwardingHandler {
  private _overhead: ResponseOverhead | undefined;

  constructor(
    handler: IResponseHandler,
    private readonly _findOverhead: () => ResponseOverhead | undefined,
  ) {
    super(handler);
  }

  public override onConnect(abort: AbortRequest, ...args: unknown[]): void {
    this._overhead = this._findOverhead();
    this._overhead?.recordStart();
    super.onConnect(abort, ...args);
  }

  public override onData(chunk: Buffer): boolean {
    this._overhead?.addBodyBytes(chunk.length);
    return super.onData(chunk);
  }
}
