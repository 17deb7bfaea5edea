import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ChatChunk } from '../adapters/EngineClient.js';
import { findHeadFault } from '../adapters/RequestHead.js';
import { hashAccountKey } from '../adapters/Random.js';
import { startListening } from '../adapters/Listening.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRefusal, IRequestEntry } from '../common/blackboard/Types.js';
import type { IServiceDocument } from '../common/config/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';
import { OpenExchanges, type IOpenExchange } from './OpenExchanges.js';
import { parseRequest } from './RequestParser.js';
import { ResponseWriter } from './ResponseWriter.js';
import { drainServer } from './ServerDrain.js';

/** Options of the HTTP front end. */
export interface IFrontEndOptions {
  board: Blackboard;
  clock: IClock;
  ip: string;
  port: number;
  createId: () => string;
  readWallClock: () => number;
  /** Whether the load balancer should send requests to this host. */
  isReady: () => boolean;
  /** Whether callers should send their next requests to other hosts. */
  isClosing: () => boolean;
  maxBodyBytes: number;
  /** Time limit for receiving the headers and the body of a request. */
  bodyTimeoutMs: Millis;
}

/**
 * Interval at which Node checks for requests that exceed their time limit. Its default of 30 s is three times
 * the default of `body_timeout_ms`.
 */
const REQUEST_TIMEOUT_CHECK_INTERVAL_MS = 500;

/**
 * An oversized body is read and discarded up to this multiple of the limit, because a caller that is still
 * sending when the connection closes may not receive the refusal.
 */
const DISCARD_FACTOR = 4;

/** Allowed method of each path that has only one. */
const ALLOWED_METHODS: Readonly<Partial<Record<string, string>>> = Object.freeze(
  Object.assign(Object.create(null) as Partial<Record<string, string>>, {
    '/v1/chat/completions': 'POST',
    '/v1/models': 'GET',
  }),
);

interface IAuthenticatedCaller {
  document: IServiceDocument;
  account: string;
}

/**
 * HTTP server for callers: writes parsed requests to the `requests` panel and returns their answers or
 * refusals.
 */
export class FrontEnd extends Disposable {
  private readonly _writers = new Map<string, ResponseWriter>();
  private readonly _server: Server;
  private readonly _openExchanges = new OpenExchanges({
    onCallerGone: (id) => {
      this._options.board.requests.update(id, { isCallerGone: true });
    },
  });

  constructor(private readonly _options: IFrontEndOptions) {
    super();
    this._server = createServer(
      {
        requestTimeout: _options.bodyTimeoutMs,
        headersTimeout: _options.bodyTimeoutMs,
        connectionsCheckingInterval: Math.min(REQUEST_TIMEOUT_CHECK_INTERVAL_MS, _options.bodyTimeoutMs),
        maxHeaderSize: 16_384,
      },
      (request, response) => {
        void this._handleRequest(request, response);
      },
    );
    this._server.on('clientError', (error, socket) => {
      this._openExchanges.handleClientError(error, socket);
    });
    // Without a listener Node answers an unsupported `expect` header with a 417 that has no body.
    this._server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
      const message = 'The expectation is not supported.';
      this._createWriter(this._options.createId(), response).endWithRefusal({
        code: 'invalid_request',
        message,
        ran: 'no',
      });
      request.resume();
    });
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        const hasEarlyRefusalChanged = after?.earlyRefusal !== before?.earlyRefusal;
        if (after && (hasEarlyRefusalChanged || before?.phase !== after.phase))
          this._handleRequestChange(after);
      }),
    );
  }

  /** Starts to listen; resolves with the bound port. */
  public async startListening(): Promise<number> {
    const { ip, port } = this._options;
    await startListening(this._server, ip, port);
    return (this._server.address() as AddressInfo).port;
  }

  /**
   * Stops accepting connections and resolves when all open responses have ended and all connections are
   * closed.
   */
  public drain(): Promise<void> {
    return drainServer(this._server, this._options.clock, () => this._openExchanges.hasUnsentResponse());
  }

  /** Writes a chunk of an answer to the caller if the request is streamed; otherwise ignores it. */
  public deliverChunk(requestId: string, data: unknown): void {
    const entry = this._options.board.requests.get(requestId);
    if (entry?.target.kind !== 'model' || !entry.target.isStreaming) return;
    this._writers.get(requestId)?.writeChunk(data as ChatChunk);
  }

  public override dispose(): void {
    super.dispose();
    this._server.close();
    this._server.closeAllConnections();
  }

  private async _handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = this._options.createId();
    const writer = this._createWriter(id, response);
    const exchange: IOpenExchange = { id, request, response };
    this._openExchanges.add(exchange);
    response.on('error', () => {
      this._writers.delete(id);
    });
    if (this._options.isClosing()) response.setHeader('connection', 'close');
    try {
      await this._route(exchange, writer);
    } catch {
      writer.endWithRefusal({
        code: 'internal_error',
        message: 'The request could not be handled.',
        ran: 'no',
      });
    }
  }

  private _createWriter(id: string, response: ServerResponse): ResponseWriter {
    return new ResponseWriter(response, id, Math.floor(this._options.readWallClock() / 1000));
  }

  private async _route(exchange: IOpenExchange, writer: ResponseWriter): Promise<void> {
    const { request, response } = exchange;
    const fault = findHeadFault(request.rawHeaders);
    if (fault !== undefined) {
      writer.endWithRefusal({ code: 'invalid_request', message: fault, ran: 'no' });
      return;
    }
    const path = request.url?.split('?', 1)[0] ?? '/';
    if (path === '/health') {
      this._sendHealth(response);
      return;
    }
    const caller = this._authenticate(request);
    if (!caller) {
      writer.endWithRefusal({ code: 'unknown_key', message: 'The key is missing or not known.', ran: 'no' });
      return;
    }
    const method = ALLOWED_METHODS[path];
    if (method === undefined && !path.startsWith('/services/')) {
      writer.endWithRefusal({ code: 'unknown_path', message: 'The path is not known.', ran: 'no' });
    } else if (method !== undefined && method !== request.method) {
      response.setHeader('allow', method);
      const message = `The path takes ${method} only.`;
      writer.endWithRefusal({ code: 'method_not_allowed', message, ran: 'no' });
    } else if (path === '/v1/models') this._sendModels(response, caller);
    else await this._acceptRequest(exchange, writer, caller);
  }

  private async _acceptRequest(
    exchange: IOpenExchange,
    writer: ResponseWriter,
    caller: IAuthenticatedCaller,
  ): Promise<void> {
    const { id, request } = exchange;
    const receivedAt = this._options.clock.now();
    const body = await this._readBody(exchange);
    if (!Buffer.isBuffer(body)) {
      writer.endWithRefusal(body);
      return;
    }
    const { method = 'GET', headers, url: path = '/' } = request;
    const parsed = parseRequest({ id, method, path, headers, body, receivedAt, ...caller });
    if (parsed.isErr) {
      writer.endWithRefusal(parsed.error);
      return;
    }
    this._writers.set(id, writer);
    this._options.board.requests.set(id, parsed.value);
    // The connection may have closed between the end of the body and this point.
    if (request.socket.destroyed) this._options.board.requests.update(id, { isCallerGone: true });
  }

  /**
   * Reads the body by events. An async iterator would destroy the connection when the loop ends early, and
   * the refusal could not be sent.
   */
  private _readBody(exchange: IOpenExchange): Promise<Buffer | IRefusal> {
    const { maxBodyBytes } = this._options;
    const { request } = exchange;
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let length = 0;
      const fail = (refusal: IRefusal): void => {
        chunks.length = 0;
        resolve(refusal);
      };
      exchange.failBody = fail;
      request.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length <= maxBodyBytes) chunks.push(chunk);
        else if (length <= DISCARD_FACTOR * maxBodyBytes) fail(createOversizeRefusal(maxBodyBytes));
        else request.destroy();
      });
      request.once('end', () => {
        resolve(Buffer.concat(chunks));
      });
      request.once('close', () => {
        fail({ code: 'cancelled', message: 'The caller closed its connection.', ran: 'no' });
      });
      request.on('error', () => undefined);
    });
  }

  private _authenticate(request: IncomingMessage): IAuthenticatedCaller | undefined {
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1];
    if (key === undefined) return undefined;
    const hash = hashAccountKey(key);
    for (const { document } of this._options.board.services.list()) {
      const account = Object.values(document.accounts).find((spec) => spec.keySha256 === hash);
      if (account) return { document, account: account.name };
    }
    return undefined;
  }

  private _handleRequestChange(request: IRequestEntry): void {
    const writer = this._writers.get(request.id);
    if (request.earlyRefusal) {
      this._writers.delete(request.id);
      writer?.endWithRefusal(request.earlyRefusal);
    }
    if (request.phase !== 'billed' && request.phase !== 'refused') return;
    this._writers.delete(request.id);
    this._options.board.requests.delete(request.id);
    if (request.earlyRefusal) return;
    if (request.phase === 'billed' && request.answer) writer?.endWithAnswer(request, request.answer);
    else if (request.refusal) writer?.endWithRefusal(request.refusal);
  }

  private _sendHealth(response: ServerResponse): void {
    const isReady = this._options.isReady();
    response.writeHead(isReady ? 200 : 503, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ status: isReady ? 'ready' : 'not ready' }));
  }

  private _sendModels(response: ServerResponse, caller: IAuthenticatedCaller): void {
    const { versions, accounts } = caller.document;
    const allowed = accounts[caller.account]?.versions ?? [];
    const listed = allowed.filter((name) => versions[name] && versions[name].stage !== 'withdrawn');
    const data = ['auto', ...listed].map((id) => ({
      id,
      object: 'model',
      created: 0,
      owned_by: caller.document.name,
    }));
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ object: 'list', data }));
  }
}

function createOversizeRefusal(maxBodyBytes: number): IRefusal {
  return { code: 'body_too_large', message: `The body is larger than ${maxBodyBytes} bytes.`, ran: 'no' };
}
