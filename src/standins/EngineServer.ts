import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { Batch } from './engine/Batch.js';
import { LaggedValue } from './engine/LaggedValue.js';
import { PrefixCache } from './engine/PrefixCache.js';
import { attachResponse, writeEnd, writeToken } from './engine/RunWriter.js';
import {
  ENGINE_OPTIONS_SCHEMA,
  type EngineSettings,
  type IEngineBooks,
  type IEngineFaults,
  type IEngineOptions,
  type IEngineRun,
} from './engine/Types.js';
import { parseJson, readBody, sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

export type { IEngineBooks, IEngineFaults, IEngineOptions } from './engine/Types.js';

/** A running engine stand-in. */
export interface IEngineStandIn extends IStandIn {
  faults: IEngineFaults;
  books: IEngineBooks;
}

const REQUEST_SCHEMA = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })),
  max_tokens: z.number().int().positive().optional(),
  /** Length of the answer where it differs from `max_tokens`; a field of the stand-in only. */
  answer_tokens: z.number().int().positive().optional(),
  user: z.string().optional(),
});

const ORDER_SCHEMA = z.object({ fencingToken: z.number().int(), versions: z.array(z.string()) });
const WINDOW_SCHEMA = z.object({ startMs: z.number(), endMs: z.number(), factor: z.number() });
const FAULTS_SCHEMA = z
  .object({
    slowdown: z.number(),
    windows: z.array(WINDOW_SCHEMA),
    isLeaving: z.boolean(),
    isSilent: z.boolean(),
    crashText: z.string(),
  })
  .partial();
const PRIORITY_SCHEMA = z.enum(['high', 'normal', 'low']).catch('normal');
const DEFAULT_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;

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
  private readonly _settings: EngineSettings;
  private readonly _batch: Batch;
  private readonly _cache: PrefixCache;
  private readonly _report: LaggedValue<{ running: number; waiting: number }>;
  private _fencingToken = 0;
  private _versions: readonly string[];

  public readonly faults: IEngineFaults = {
    slowdown: 1,
    windows: [],
    isLeaving: false,
    isSilent: false,
    crashText: '',
  };
  public readonly books: IEngineBooks = {
    runs: [],
    users: [],
    finished: [],
    cancelled: [],
    crashes: 0,
    orders: [],
    tokens: 0,
  };

  constructor(options: IEngineOptions) {
    this._settings = ENGINE_OPTIONS_SCHEMA.parse(options);
    this._versions = options.versions;
    this._batch = new Batch(this._settings, this.faults, this.books);
    this._cache = new PrefixCache(this._settings.cacheBlocks);
    this._report = new LaggedValue(this._settings.reportLagMs, () => performance.now());
  }

  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const body = await readBody(request);
    if (url.pathname === '/v1/chat/completions') this._accept(request, body, response);
    else if (url.pathname.startsWith('/v1/runs/')) this._handleRun(request.method, url, response);
    else if (url.pathname === '/load') sendJson(response, 200, this._buildReport());
    else if (url.pathname === '/orders') this._handleOrder(body, response);
    else if (url.pathname === '/books') sendJson(response, 200, this.books);
    else if (url.pathname === '/crash') {
      this._batch.dropAll();
      sendJson(response, 200, {});
    } else if (url.pathname === '/faults') {
      this._applyFaults(body);
      sendJson(response, 200, this.faults);
    } else sendJson(response, 404, { error: { message: 'unknown path' } });
  }

  public stop(): void {
    this._batch.stop();
  }

  private _applyFaults(body: Buffer): void {
    const { windows, ...faults } = FAULTS_SCHEMA.parse(parseJson(body));
    Object.assign(this.faults, faults);
    const now = performance.now();
    if (windows) {
      this.faults.windows = windows.map(({ startMs, endMs, factor }) => ({
        startMs: now + startMs,
        endMs: now + endMs,
        factor,
      }));
    }
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
    const run = this._createRun(request, parsed.data, prompt);
    this.books.runs.push(run.id);
    this.books.users.push(parsed.data.user ?? '');
    if (this.faults.crashText !== '' && prompt.includes(this.faults.crashText)) {
      response.destroy();
      this._batch.dropAll();
      return;
    }
    attachResponse(run, response, this._buildReport());
    this._batch.add(run);
  }

  private _createRun(
    request: IncomingMessage,
    data: z.output<typeof REQUEST_SCHEMA>,
    prompt: string,
  ): IEngineRun {
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const { prefillMs, prefillTokenMs } = this._settings;
    const length = data.max_tokens ?? DEFAULT_TOKENS;
    return {
      id: String(request.headers['x-run-id'] ?? ''),
      version: data.model,
      priority: PRIORITY_SCHEMA.parse(request.headers['x-priority']),
      promptTokens,
      length: Math.min(length, data.answer_tokens ?? length),
      prefillMs: prefillMs + promptTokens * prefillTokenMs * (1 - this._cache.use(prompt)),
      sent: 0,
      startsAt: 0,
      isDone: false,
      response: undefined,
    };
  }

  private _handleRun(method: string | undefined, url: URL, response: ServerResponse): void {
    const run = this._batch.get(url.pathname.split('/')[3] ?? '');
    if (!run) {
      sendJson(response, 404, { error: { message: 'unknown run' } });
      return;
    }
    if (method === 'DELETE') {
      this._batch.cancel(run);
      sendJson(response, 200, {});
      return;
    }
    const from = url.searchParams.get('from');
    if (from === null) {
      sendJson(response, 200, { id: run.id, isDone: run.isDone, tokens: run.sent });
      return;
    }
    attachResponse(run, response, this._buildReport());
    for (let index = Number(from); index < run.sent; index += 1) writeToken(run, index);
    if (run.isDone) writeEnd(run);
  }

  private _handleOrder(body: Buffer, response: ServerResponse): void {
    const order = ORDER_SCHEMA.safeParse(parseJson(body));
    if (!order.success) {
      sendJson(response, 400, { error: { message: order.error.message } });
      return;
    }
    if (this._settings.checksFencing && order.data.fencingToken < this._fencingToken) {
      sendJson(response, 409, { error: { message: 'old fencing token' } });
      return;
    }
    this._fencingToken = Math.max(this._fencingToken, order.data.fencingToken);
    this._versions = order.data.versions;
    this.books.orders.push(order.data);
    sendJson(response, 200, this._buildReport());
  }

  private _buildReport(): unknown {
    const load = this._report.update({ running: this._batch.running, waiting: this._batch.waiting });
    const cacheUse = Math.min(1, load.running / this._settings.batchSize);
    return { ...load, cacheUse, versions: this._versions, isLeaving: this.faults.isLeaving };
  }
}
