import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ChatChunk } from '../adapters/EngineClient.js';
import { hashAccountKey } from '../adapters/Random.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRefusal, IRequestEntry } from '../common/blackboard/Types.js';
import type { IServiceDocument } from '../common/config/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';
import { parseRequest } from './RequestParser.js';
import { ResponseWriter } from './ResponseWriter.js';

/** Options of the HTTP front end. */
export interface IFrontEndOptions {
  board: Blackboard;
  clock: IClock;
  ip: string;
  port: number;
  createId: () => string;
  readWallClock: () => number;
  /** Whether the balancer should send requests here. */
  isReady: () => boolean;
  /** Whether callers should send their next requests elsewhere. */
  isClosing: () => boolean;
  maxBodyBytes: number;
  /** Longest time for the headers and the body of a request to arrive. */
  bodyTimeoutMs: Millis;
}

/** Time between two looks for connections that became idle during a drain. */
const IDLE_CHECK_MS = 100;

interface IAuthenticated {
  document: IServiceDocument;
  account: string;
}

/** Serves callers: parses requests onto the `requests` panel and writes what happens to them back. */
export class FrontEnd extends Disposable {
  private readonly _writers = new Map<string, ResponseWriter>();
  private readonly _server: Server;

  constructor(private readonly _options: IFrontEndOptions) {
    super();
    this._server = createServer(
      {
        requestTimeout: _options.bodyTimeoutMs,
        headersTimeout: _options.bodyTimeoutMs,
        maxHeaderSize: 16_384,
      },
      (request, response) => {
        void this._handle(request, response);
      },
    );
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        const isTold = after?.earlyRefusal !== before?.earlyRefusal;
        if (after && (isTold || before?.phase !== after.phase)) this._handlePhase(after);
      }),
    );
  }

  /** Starts to listen; resolves with the bound port. */
  public async startListening(): Promise<number> {
    const { ip, port } = this._options;
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, ip, resolve);
    });
    return (this._server.address() as AddressInfo).port;
  }

  /** Stops accepting connections and resolves when every open response has ended. */
  public async drain(): Promise<void> {
    let hasClosed = false;
    await new Promise<void>((resolve) => {
      this._server.close(() => {
        hasClosed = true;
        resolve();
      });
      const closeIdle = (): void => {
        if (hasClosed) return;
        // A connection whose response began before the drain stays open after it.
        this._server.closeIdleConnections();
        this._options.clock.schedule(IDLE_CHECK_MS, closeIdle);
      };
      closeIdle();
    });
  }

  /** Writes a chunk to the caller of a streamed request. */
  public deliverChunk(request: string, data: unknown): void {
    const entry = this._options.board.requests.get(request);
    if (entry?.target.kind !== 'model' || !entry.target.isStreaming) return;
    this._writers.get(request)?.writeChunk(data as ChatChunk);
  }

  public override dispose(): void {
    super.dispose();
    this._server.close();
    this._server.closeAllConnections();
  }

  private async _handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = this._options.createId();
    const writer = new ResponseWriter(response, id, Math.floor(this._options.readWallClock() / 1000));
    response.on('error', () => {
      this._writers.delete(id);
    });
    if (this._options.isClosing()) response.setHeader('connection', 'close');
    try {
      await this._route(id, request, response, writer);
    } catch {
      writer.endWithRefusal({
        code: 'internal_error',
        message: 'The request could not be handled.',
        ran: 'no',
      });
    }
  }

  private async _route(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
    writer: ResponseWriter,
  ): Promise<void> {
    const path = request.url ?? '/';
    if (path === '/health') {
      this._sendHealth(response);
      return;
    }
    const caller = this._authenticate(request);
    if (!caller) {
      writer.endWithRefusal({ code: 'unknown_key', message: 'The key is missing or not known.', ran: 'no' });
      return;
    }
    if (path === '/v1/models' && request.method === 'GET') this._sendModels(response, caller);
    else if (isRunPath(request.method, path))
      await this._acceptRequest(id, request, response, writer, caller);
    else writer.endWithRefusal({ code: 'invalid_request', message: `Unknown path ${path}.`, ran: 'no' });
  }

  private async _acceptRequest(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
    writer: ResponseWriter,
    caller: IAuthenticated,
  ): Promise<void> {
    const receivedAt = this._options.clock.now();
    const body = await this._readBody(request);
    if (!Buffer.isBuffer(body)) {
      response.setHeader('connection', 'close');
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
    response.on('close', () => {
      if (!response.writableFinished) this._options.board.requests.update(id, { isCallerGone: true });
    });
    this._options.board.requests.set(id, parsed.value);
  }

  private async _readBody(request: IncomingMessage): Promise<Buffer | IRefusal> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of request) {
      length += (chunk as Buffer).length;
      if (length > this._options.maxBodyBytes) {
        const message = `The body is larger than ${this._options.maxBodyBytes} bytes.`;
        return { code: 'invalid_request', message, ran: 'no' };
      }
      chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
  }

  private _authenticate(request: IncomingMessage): IAuthenticated | undefined {
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1];
    if (key === undefined) return undefined;
    const hash = hashAccountKey(key);
    for (const { document } of this._options.board.services.list()) {
      const account = Object.values(document.accounts).find((spec) => spec.keySha256 === hash);
      if (account) return { document, account: account.name };
    }
    return undefined;
  }

  private _handlePhase(request: IRequestEntry): void {
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

  private _sendModels(response: ServerResponse, caller: IAuthenticated): void {
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

function isRunPath(method: string | undefined, path: string): boolean {
  return (method === 'POST' && path === '/v1/chat/completions') || path.startsWith('/services/');
}
