import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ChatChunk } from '../adapters/EngineClient.js';
import { countHeadBytes, findHeadFault } from '../adapters/RequestHead.js';
import { hashAccountKey } from '../adapters/Random.js';
import { startListening } from '../adapters/Listening.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRefusal, IRequestEntry } from '../common/blackboard/Types.js';
import type { IServiceDocument } from '../common/config/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import { CallerLoadController } from '../common/memory/CallerLoadController.js';
import { MemoryBudget } from '../common/memory/MemoryBudget.js';
import { computeMemoryBudget } from '../common/memory/MemoryLimits.js';
import { chooseConnectionToClose, chooseStalledHolders } from '../common/memory/Relief.js';
import type { IClock, Millis } from '../common/Types.js';
import { BodyReader } from './BodyReader.js';
import { CallerConnections, NO_MEMORY_REFUSAL, type IRequestMemory } from './CallerConnections.js';
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

/** Bytes of a stream that may wait for a caller that does not read them. */
const MAX_UNREAD_BYTES = 4_194_304;

/** Allowed method of each path that has only one. */
const ALLOWED_METHODS: Readonly<Partial<Record<string, string>>> = Object.freeze(
  Object.assign(Object.create(null) as Partial<Record<string, string>>, {
    '/v1/chat/completions': 'POST',
    '/v1/models': 'GET',
  }),
);

/** A request on the panel whose response has not ended. */
interface IOpenRequest {
  writer: ResponseWriter;
  response: ServerResponse;
  memory: IRequestMemory;
}

interface IAuthenticatedCaller {
  document: IServiceDocument;
  account: string;
}

/**
 * HTTP server for callers: writes parsed requests to the `requests` panel and returns their answers or
 * refusals.
 */
export class FrontEnd extends Disposable {
  private readonly _openRequests = new Map<string, IOpenRequest>();
  private readonly _connections: CallerConnections;
  private readonly _server: Server;
  private readonly _openExchanges = new OpenExchanges({
    onCallerGone: (id) => {
      this._options.board.requests.update(id, { isCallerGone: true });
    },
  });

  constructor(private readonly _options: IFrontEndOptions) {
    super();
    const { board, clock } = _options;
    const memory = new MemoryBudget({
      // The settings of this host do not name its memory.
      readBudgetBytes: () => computeMemoryBudget({}),
      now: () => clock.now(),
      chooseHolders: chooseStalledHolders,
    });
    const countConnections = (): number => this._connections.count;
    const callerLoad = this._register(
      new CallerLoadController({ board, clock, readMemory: () => memory, countConnections }),
    );
    this._connections = new CallerConnections({
      memory,
      readMaxConnections: () => Infinity,
      chooseConnection: chooseConnectionToClose,
      onLimited: callerLoad.recordLimited,
    });
    this._server = createServer(
      {
        requestTimeout: _options.bodyTimeoutMs,
        headersTimeout: _options.bodyTimeoutMs,
        connectionsCheckingInterval: Math.min(REQUEST_TIMEOUT_CHECK_INTERVAL_MS, _options.bodyTimeoutMs),
        maxHeaderSize: 16_384,
      },
      (request, response) => {
        const exchange: IOpenExchange = { id: _options.createId(), request, response };
        this._openExchanges.add(exchange);
        this._connections.addRequest(request.socket, {
          response,
          headBytes: countHeadBytes(request),
          start: (held) => {
            void this._handleRequest(exchange, held);
          },
        });
      },
    );
    this._server.on('connection', (socket) => {
      this._connections.addConnection(socket);
    });
    this._server.on('clientError', (error, socket) => {
      this._connections.dropUnparsed(socket);
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
    const open = this._openRequests.get(requestId);
    if (!open) return;
    const { memory, response, writer } = open;
    writer.writeChunk(data as ChatChunk);
    const unreadBytes = response.writableLength;
    if (unreadBytes > MAX_UNREAD_BYTES) response.destroy();
    else memory.setResponseBytes(unreadBytes);
  }

  public override dispose(): void {
    super.dispose();
    this._server.close();
    this._server.closeAllConnections();
  }

  private async _handleRequest(exchange: IOpenExchange, memory: IRequestMemory): Promise<void> {
    const { id, response } = exchange;
    const writer = this._createWriter(id, response);
    response.on('error', () => {
      this._openRequests.delete(id);
    });
    if (this._options.isClosing()) response.setHeader('connection', 'close');
    try {
      await this._route(exchange, { memory, response, writer });
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

  private async _route(exchange: IOpenExchange, open: IOpenRequest): Promise<void> {
    const { request, response } = exchange;
    const { writer } = open;
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
    else await this._acceptRequest(exchange, open, caller);
  }

  private async _acceptRequest(
    exchange: IOpenExchange,
    open: IOpenRequest,
    caller: IAuthenticatedCaller,
  ): Promise<void> {
    const { id, request } = exchange;
    const { memory, writer } = open;
    const receivedAt = this._options.clock.now();
    const body = await this._readBody(exchange, memory);
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
    this._openRequests.set(id, open);
    this._options.board.requests.set(id, parsed.value);
    // The connection may have closed between the end of the body and this point.
    if (request.socket.destroyed) this._options.board.requests.update(id, { isCallerGone: true });
  }

  /**
   * Reads the body by events. An async iterator would destroy the connection when the loop ends early, and
   * the refusal could not be sent.
   */
  private _readBody(exchange: IOpenExchange, memory: IRequestMemory): Promise<Buffer | IRefusal> {
    const { clock, maxBodyBytes } = this._options;
    const { request } = exchange;
    const setDropUpload = (dropUpload: (() => void) | undefined): void => {
      this._connections.setDropUpload(request.socket, dropUpload);
    };
    return new Promise((resolve) => {
      const settle = (outcome: Buffer | IRefusal): void => {
        setDropUpload(undefined);
        resolve(outcome);
      };
      const reader = new BodyReader({
        message: request,
        maxBytes: maxBodyBytes,
        now: () => clock.now(),
        onHeldBytes: memory.setUploadBytes,
        onBody: settle,
        onTooLarge: () => {
          settle(createOversizeRefusal(maxBodyBytes));
        },
      });
      const fail = (refusal: IRefusal): void => {
        reader.drop();
        settle(refusal);
      };
      exchange.failBody = fail;
      setDropUpload(() => {
        fail(NO_MEMORY_REFUSAL);
      });
      request.once('close', () => {
        resolve({ code: 'cancelled', message: 'The caller closed its connection.', ran: 'no' });
      });
      reader.start();
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
    const writer = this._openRequests.get(request.id)?.writer;
    if (request.earlyRefusal) {
      this._openRequests.delete(request.id);
      writer?.endWithRefusal(request.earlyRefusal);
    }
    if (request.phase !== 'billed' && request.phase !== 'refused') return;
    this._openRequests.delete(request.id);
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
