import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { IRefusal } from '../common/blackboard/Types.js';
import { encodeRefusal, REFUSAL_STATUS } from './ResponseEncoding.js';

/** A request whose response has not ended. */
export interface IOpenExchange {
  id: string;
  request: IncomingMessage;
  response: ServerResponse;
  /** Ends the wait for the rest of the body; the caller gets the refusal. Absent before the body is read. */
  failBody?: (refusal: IRefusal) => void;
}

/** Options of the tracking of open exchanges. */
export interface IOpenExchangesOptions {
  /** Called with the request id when the connection closes before the response has ended. */
  onCallerGone: (id: string) => void;
}

/** HTTP reason phrases of the statuses that are written without Node's response object. */
const REASON_PHRASES: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

/**
 * Tracks the open exchanges of each connection; a caller that pipelines requests has several. Node does not
 * provide this: it reports a closed connection only to the response that is being written, and its
 * `clientError` event does not say which earlier requests on the connection still wait for their responses.
 */
export class OpenExchanges {
  private readonly _exchangesBySocket = new Map<Duplex, Set<IOpenExchange>>();

  constructor(private readonly _options: IOpenExchangesOptions) {}

  /** Tracks an exchange until its response has ended or its connection has closed. */
  public add(exchange: IOpenExchange): void {
    const { request, response } = exchange;
    const exchanges = this._exchangesBySocket.get(request.socket) ?? this._trackSocket(request.socket);
    exchanges.add(exchange);
    response.once('finish', () => exchanges.delete(exchange));
  }

  /** Tells whether the bytes of a response that has ended have not all been handed to the system. */
  public hasUnsentResponse(): boolean {
    for (const exchanges of this._exchangesBySocket.values())
      for (const { response } of exchanges)
        if (response.writableEnded && !response.writableFinished) return true;
    return false;
  }

  /**
   * Handles a request that Node could not parse or that was not received in time. Sends an error after the
   * responses to the earlier requests on the connection, then closes the connection.
   */
  public handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const refusal = mapParserError(error.code);
    const exchanges = [...(this._exchangesBySocket.get(socket) ?? [])];
    const incomplete = exchanges.find(({ failBody, request }) => failBody && !request.complete);
    if (incomplete) {
      if (!incomplete.response.headersSent) incomplete.response.setHeader('connection', 'close');
      incomplete.failBody?.(refusal);
      return;
    }
    const lastExchange = exchanges.at(-1);
    if (!lastExchange) {
      writeRawRefusal(socket, refusal);
      return;
    }
    lastExchange.response.once('finish', () => {
      writeRawRefusal(socket, refusal);
    });
  }

  private _trackSocket(socket: Duplex): Set<IOpenExchange> {
    const exchanges = new Set<IOpenExchange>();
    this._exchangesBySocket.set(socket, exchanges);
    socket.once('close', () => {
      this._exchangesBySocket.delete(socket);
      for (const { id, response } of exchanges) {
        if (!response.writableFinished) this._options.onCallerGone(id);
      }
    });
    return exchanges;
  }
}

function mapParserError(code: string | undefined): IRefusal {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return { code: 'headers_too_large', message: 'The headers are too large.', ran: 'no' };
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return { code: 'request_timeout', message: 'The request did not arrive in time.', ran: 'no' };
  }
  return { code: 'invalid_request', message: 'The request is not valid HTTP.', ran: 'no' };
}

/**
 * Writes a refusal directly to the socket and ends it: Node creates no response for a request it cannot
 * parse.
 */
function writeRawRefusal(socket: Duplex, refusal: IRefusal): void {
  if (!socket.writable) return;
  const status = REFUSAL_STATUS[refusal.code];
  const body = JSON.stringify(encodeRefusal(refusal));
  const lines = [
    `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Error'}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-mulberryweir-ran: ${refusal.ran}`,
    'connection: close',
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
}
