import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readBody, sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** Options of the engine stand-in. */
export interface IEngineOptions {
  port?: number;
  versions: readonly string[];
  /** Requests in one batch; more wait. Default 16. */
  batchSize?: number;
  /** Time of one decoding step for the whole batch. Default 10. */
  stepMs?: number;
  /** Time from the start of a run to its first token, besides the step. Default 20. */
  prefillMs?: number;
  checksFencing?: boolean;
}

/** Faults and speed of the engine stand-in, set through `PUT /faults`. */
export interface IEngineFaults {
  /** Multiplies step and prefill times. */
  slowdown: number;
  isLeaving: boolean;
  /** Open streams stop sending; new connections work. */
  isSilent: boolean;
  /** Prompts that contain this text crash the engine. */
  crashText: string;
}

/** Books of the engine stand-in, for checks against what the router says. */
export interface IEngineBooks {
  /** Run ids that were accepted, in order. */
  runs: string[];
  finished: string[];
  cancelled: string[];
  crashes: number;
  orders: unknown[];
}

/** A running engine stand-in. */
export interface IEngineStandIn extends IStandIn {
  faults: IEngineFaults;
  books: IEngineBooks;
}

const REQUEST_SCHEMA = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })),
  max_tokens: z.number().int().positive().optional(),
});

const ORDER_SCHEMA = z.object({ fencingToken: z.number().int(), versions: z.array(z.string()) });
const FAULTS_SCHEMA = z
  .object({ slowdown: z.number(), isLeaving: z.boolean(), isSilent: z.boolean(), crashText: z.string() })
  .partial();

interface IRun {
  id: string;
  version: string;
  promptTokens: number;
  tokens: string[];
  sent: number;
  startsAt: number;
  isDone: boolean;
  response: ServerResponse | undefined;
}

/** Starts a small model engine: continuous batching, streams, resumption, cancellation, orders. */
export async function startEngineServer(options: IEngineOptions): Promise<IEngineStandIn> {
  const engine = new Engine(options);
  const server = await startServer((request, response) => {
    void engine.handle(request, response);
  }, options.port);
  return {
    ...server,
    faults: engine.faults,
    books: engine.books,
    close: async () => {
      engine.stop();
      await server.close();
    },
  };
}

class Engine {
  private readonly _runs = new Map<string, IRun>();
  private readonly _batch = new Set<IRun>();
  private readonly _waiting: IRun[] = [];
  private _step: NodeJS.Timeout | undefined;
  private _fencingToken = 0;
  private _versions: readonly string[];
  private readonly _options: Required<Omit<IEngineOptions, 'port'>>;

  public readonly faults: IEngineFaults = { slowdown: 1, isLeaving: false, isSilent: false, crashText: '' };
  public readonly books: IEngineBooks = { runs: [], finished: [], cancelled: [], crashes: 0, orders: [] };

  constructor(options: IEngineOptions) {
    this._options = { batchSize: 16, stepMs: 10, prefillMs: 20, checksFencing: false, ...options };
    this._versions = options.versions;
  }

  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const body = await readBody(request);
    if (url.pathname === '/v1/chat/completions') this._accept(request, body, response);
    else if (url.pathname.startsWith('/v1/runs/')) this._handleRun(request.method, url, response);
    else if (url.pathname === '/load') sendJson(response, 200, this._buildReport());
    else if (url.pathname === '/orders') this._handleOrder(body, response);
    else if (url.pathname === '/books') sendJson(response, 200, this.books);
    else if (url.pathname === '/faults') {
      Object.assign(this.faults, FAULTS_SCHEMA.parse(JSON.parse(body.toString())));
      sendJson(response, 200, this.faults);
    } else sendJson(response, 404, { error: { message: 'unknown path' } });
  }

  public stop(): void {
    clearTimeout(this._step);
  }

  private _accept(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const parsed = REQUEST_SCHEMA.safeParse(parseJson(body));
    if (!parsed.success) {
      sendJson(response, 400, { error: { message: parsed.error.message } });
      return;
    }
    if (this.faults.isLeaving || !this._versions.includes(parsed.data.model)) {
      const message = this.faults.isLeaving ? 'leaving' : 'version not loaded';
      sendJson(response, 503, { error: { message }, ran: 'no' });
      return;
    }
    const prompt = parsed.data.messages.map((message) => JSON.stringify(message.content)).join(' ');
    if (this.faults.crashText !== '' && prompt.includes(this.faults.crashText)) {
      response.destroy();
      this._dropAllRuns();
      return;
    }
    this._startRun(String(request.headers['x-run-id'] ?? ''), parsed.data, prompt, response);
  }

  private _startRun(
    id: string,
    data: z.output<typeof REQUEST_SCHEMA>,
    prompt: string,
    response: ServerResponse,
  ): void {
    const length = data.max_tokens ?? 16;
    const run: IRun = {
      id,
      version: data.model,
      promptTokens: Math.ceil(prompt.length / 4),
      tokens: Array.from({ length }, (_, index) => `${index === 0 ? '' : ' '}${data.model}-${index}`),
      sent: 0,
      startsAt: 0,
      isDone: false,
      response,
    };
    this.books.runs.push(id);
    this._runs.set(id, run);
    this._waiting.push(run);
    this._attach(run, response);
    this._scheduleWaiting();
  }

  private _attach(run: IRun, response: ServerResponse): void {
    run.response = response;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-load-report': JSON.stringify(this._buildReport()),
    });
    response.flushHeaders();
    response.on('close', () => {
      if (run.response === response) run.response = undefined;
    });
  }

  private _handleRun(method: string | undefined, url: URL, response: ServerResponse): void {
    const run = this._runs.get(url.pathname.split('/')[3] ?? '');
    if (!run) {
      sendJson(response, 404, { error: { message: 'unknown run' } });
      return;
    }
    if (method === 'DELETE') {
      this._cancel(run);
      sendJson(response, 200, {});
      return;
    }
    const from = url.searchParams.get('from');
    if (from === null) {
      sendJson(response, 200, { id: run.id, isDone: run.isDone, tokens: run.sent });
      return;
    }
    this._attach(run, response);
    for (let index = Number(from); index < run.sent; index += 1) this._writeToken(run, index);
    if (run.isDone) this._writeEnd(run);
  }

  private _cancel(run: IRun): void {
    if (run.isDone) return;
    this.books.cancelled.push(run.id);
    this._batch.delete(run);
    const index = this._waiting.indexOf(run);
    if (index >= 0) this._waiting.splice(index, 1);
    this._runs.delete(run.id);
    run.response?.destroy();
    this._scheduleWaiting();
  }

  private _handleOrder(body: Buffer, response: ServerResponse): void {
    const order = ORDER_SCHEMA.safeParse(parseJson(body));
    if (!order.success) {
      sendJson(response, 400, { error: { message: order.error.message } });
      return;
    }
    if (this._options.checksFencing && order.data.fencingToken < this._fencingToken) {
      sendJson(response, 409, { error: { message: 'old fencing token' } });
      return;
    }
    this._fencingToken = Math.max(this._fencingToken, order.data.fencingToken);
    this._versions = order.data.versions;
    this.books.orders.push(order.data);
    sendJson(response, 200, this._buildReport());
  }

  private _buildReport(): unknown {
    return {
      running: this._batch.size,
      waiting: this._waiting.length,
      cacheUse: Math.min(1, this._batch.size / this._options.batchSize),
      versions: this._versions,
      isLeaving: this.faults.isLeaving,
    };
  }

  private _scheduleWaiting(): void {
    while (this._batch.size < this._options.batchSize) {
      const run = this._waiting.shift();
      if (!run) break;
      run.startsAt = performance.now() + this._options.prefillMs * this.faults.slowdown;
      this._batch.add(run);
    }
    if (this._batch.size > 0 && !this._step) this._scheduleStep();
  }

  private _scheduleStep(): void {
    this._step = setTimeout(() => {
      this._step = undefined;
      for (const run of [...this._batch]) this._advanceRun(run);
      this._scheduleWaiting();
    }, this._options.stepMs * this.faults.slowdown);
  }

  private _advanceRun(run: IRun): void {
    if (performance.now() < run.startsAt) return;
    this._writeToken(run, run.sent);
    run.sent += 1;
    if (run.sent < run.tokens.length) return;
    run.isDone = true;
    this._batch.delete(run);
    this.books.finished.push(run.id);
    this._writeEnd(run);
  }

  private _writeToken(run: IRun, index: number): void {
    const choices = [{ index: 0, delta: { content: run.tokens[index] }, finish_reason: null }];
    this._writeEvent(run, { id: run.id, object: 'chat.completion.chunk', model: run.version, choices });
  }

  private _writeEnd(run: IRun): void {
    const usage = {
      prompt_tokens: run.promptTokens,
      completion_tokens: run.tokens.length,
      total_tokens: run.promptTokens + run.tokens.length,
    };
    const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
    this._writeEvent(run, {
      id: run.id,
      object: 'chat.completion.chunk',
      model: run.version,
      choices,
      usage,
    });
    if (this.faults.isSilent) return;
    run.response?.end('data: [DONE]\n\n');
  }

  private _writeEvent(run: IRun, event: unknown): void {
    if (!this.faults.isSilent) run.response?.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  /** Breaks every open stream and forgets all runs, as a process that dies and starts again. */
  private _dropAllRuns(): void {
    this.books.crashes += 1;
    for (const run of this._runs.values()) run.response?.destroy();
    this._runs.clear();
    this._batch.clear();
    this._waiting.length = 0;
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
