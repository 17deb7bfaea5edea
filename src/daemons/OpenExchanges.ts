import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { IRefusal } from '../common/blackboard/Types.js';
import { encodeRefusal, REFUSAL_STATUS } from './Encoding.js';

/** A request whose response has not ended. */
export interface IOpenExchange {
  id: string;
  request: IncomingMessage;
  response: ServerResponse;
  /** Ends the wait for the rest of the body. */
  failBody?: (refusal: IRefusal) => void;
}

/** Options of the exchanges of a server. */
export interface IOpenExchangesOptions {
  /** Called with the request id when the connection closes before the response has ended. */
  onCallerGone: (id: string) => void;
}

const REASONS: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

/**
 * Tracks the open exchanges of each connection, several where the caller pipelines. Node reports a
 * closed connection only to the response that is being written, and hands over a connection on which it
 * could not parse a request without telling which responses are still due on it.
 */
export class OpenExchanges {
  private readonly _bySocket = new Map<Duplex, Set<IOpenExchange>>();

  constructor(private readonly _options: IOpenExchangesOptions) {}

  /** Tracks an exchange until its response has ended or its connection has closed. */
  public add(exchange: IOpenExchange): void {
    const { request, response } = exchange;
    const exchanges = this._bySocket.get(request.socket) ?? this._trackSocket(request.socket);
    exchanges.add(exchange);
    response.once('finish', () => exchanges.delete(exchange));
  }

  /**
   * Answers a request that Node could not parse or that did not arrive in time, after the responses that
   * are due before it, and closes the connection.
   */
  public handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const refusal = mapParserError(error.code);
    const exchanges = [...(this._bySocket.get(socket) ?? [])];
    const unread = exchanges.find(({ failBody, request }) => failBody && !request.complete);
    if (unread) {
      if (!unread.response.headersSent) unread.response.setHeader('connection', 'close');
      unread.failBody?.(refusal);
      return;
    }
    const last = exchanges.at(-1);
    if (!last) {
      endWithRefusal(socket, refusal);
      return;
    }
    last.response.once('finish', () => {
      endWithRefusal(socket, refusal);
    });
  }

  private _trackSocket(socket: Duplex): Set<IOpenExchange> {
    const exchanges = new Set<IOpenExchange>();
    this._bySocket.set(socket, exchanges);
    socket.once('close', () => {
      this._bySocket.delete(socket);
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

/** Writes a response by hand, where Node has none for the request. */
function endWithRefusal(socket: Duplex, refusal: IRefusal): void {
  if (!socket.writable) return;
  const status = REFUSAL_STATUS[refusal.code];
  const body = JSON.stringify(encodeRefusal(refusal));
  const lines = [
    `HTTP/1.1 ${status} ${REASONS[status] ?? 'Error'}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-mulberryweir-ran: ${refusal.ran}`,
    'connection: close',
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
}
