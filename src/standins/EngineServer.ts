import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { BatchScheduler } from './engine/BatchScheduler.js';
import { LaggedValue } from './engine/LaggedValue.js';
import { PrefixCache } from './engine/PrefixCache.js';
import { attachResponse, writeEnd, writeToken } from './engine/RunWriter.js';
import {
  ENGINE_OPTIONS_SCHEMA,
  type EngineSettings,
  type IEngineRecords,
  type IEngineFaults,
  type IEngineOptions,
  type IEngineRun,
} from './engine/Types.js';
import { parseJson, readBody, sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

export type { IEngineRecords, IEngineFaults, IEngineOptions } from './engine/Types.js';

/** A running engine stand-in. */
export interface IEngineStandIn extends IStandIn {
  /** Faults and speed; a test may change them directly. */
  faults: IEngineFaults;
  /** What the engine has received and done. */
  records: IEngineRecords;
}

const REQUEST_SCHEMA = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })),
  max_tokens: z.number().int().positive().optional(),
  /** Tokens to generate if fewer than `max_tokens`. Real engines do not have this field. */
  answer_tokens: z.number().int().positive().optional(),
  user: z.string().optional(),
});

/** Instruction of the placement controller to replace the set of loaded versions. */
const ORDER_SCHEMA = z.object({ fencingToken: z.number().int(), versions: z.array(z.string()) });
const SLOWDOWN_WINDOW_SCHEMA = z.object({ startMs: z.number(), endMs: z.number(), factor: z.number() });
const FAULTS_SCHEMA = z
  .object({
    slowdown: z.number(),
    windows: z.array(SLOWDOWN_WINDOW_SCHEMA),
    isLeaving: z.boolean(),
    isSilent: z.boolean(),
    crashText: z.string(),
  })
  .partial();
const PRIORITY_SCHEMA = z.enum(['high', 'normal', 'low']).catch('normal');
const DEFAULT_MAX_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;

/**
 * Starts a fake model engine with continuous batching, streamed answers that can be resumed, cancellation, and
 * orders that change the loaded versions.
 */
export async function startEngineServer(options: IEngineOptions): Promise<IEngineStandIn> {
  const engine = new Engine(options);
  const server = await startServer((request, response) => {
    void engine.handle(request, response);
  }, options.port);
  return {
    ...server,
    faults: engine.faults,
    records: engine.records,
    close: async () => {
      engine.stop();
      await server.close();
    },
  };
}

class Engine {
  private readonly _settings: EngineSettings;
  private readonly _scheduler: BatchScheduler;
  private readonly _prefixCache: PrefixCache;
  private readonly _laggedLoad: LaggedValue<{ running: number; waiting: number }>;
  private _highestFencingToken = 0;
  private _loadedVersions: readonly string[];

  public readonly faults: IEngineFaults = {
    slowdown: 1,
    windows: [],
    isLeaving: false,
    isSilent: false,
    crashText: '',
  };
  public readonly records: IEngineRecords = {
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
    this._loadedVersions = options.versions;
    this._scheduler = new BatchScheduler(this._settings, this.faults, this.records);
    this._prefixCache = new PrefixCache(this._settings.cacheBlocks);
    this._laggedLoad = new LaggedValue(this._settings.reportLagMs, () => performance.now());
  }

  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const body = await readBody(request);
    if (url.pathname === '/v1/chat/completions') this._handleCompletion(request, body, response);
    else if (url.pathname.startsWith('/v1/runs/')) this._handleRunRequest(request.method, url, response);
    else if (url.pathname === '/load') sendJson(response, 200, this._buildLoadReport());
    else if (url.pathname === '/orders') this._handleOrder(body, response);
    else if (url.pathname === '/books') sendJson(response, 200, this.records);
    else if (url.pathname === '/crash') {
      this._scheduler.simulateCrash();
      sendJson(response, 200, {});
    } else if (url.pathname === '/faults') {
      this._applyFaults(body);
      sendJson(response, 200, this.faults);
    } else sendJson(response, 404, { error: { message: 'unknown path' } });
  }

  public stop(): void {
    this._scheduler.stop();
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

  private _handleCompletion(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const parsed = REQUEST_SCHEMA.safeParse(parseJson(body));
    if (!parsed.success) {
      sendJson(response, 400, { error: { message: parsed.error.message } });
      return;
    }
    if (this.faults.isLeaving || !this._loadedVersions.includes(parsed.data.model)) {
      const message = this.faults.isLeaving ? 'leaving' : 'version not loaded';
      sendJson(response, 503, { error: { message }, ran: 'no' });
      return;
    }
    const prompt = parsed.data.messages.map((message) => JSON.stringify(message.content)).join(' ');
    const run = this._createRun(request, parsed.data, prompt);
    this.records.runs.push(run.id);
    this.records.users.push(parsed.data.user ?? '');
    if (this.faults.crashText !== '' && prompt.includes(this.faults.crashText)) {
      response.destroy();
      this._scheduler.simulateCrash();
      return;
    }
    attachResponse(run, response, this._buildLoadReport());
    this._scheduler.add(run);
  }

  private _createRun(
    request: IncomingMessage,
    data: z.output<typeof REQUEST_SCHEMA>,
    prompt: string,
  ): IEngineRun {
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const { prefillMs, prefillTokenMs } = this._settings;
    const maxTokens = data.max_tokens ?? DEFAULT_MAX_TOKENS;
    return {
      id: String(request.headers['x-run-id'] ?? ''),
      version: data.model,
      priority: PRIORITY_SCHEMA.parse(request.headers['x-priority']),
      promptTokens,
      outputTokens: Math.min(maxTokens, data.answer_tokens ?? maxTokens),
      prefillMs: prefillMs + promptTokens * prefillTokenMs * (1 - this._prefixCache.use(prompt)),
      generatedTokens: 0,
      prefillEndsAt: 0,
      isDone: false,
      response: undefined,
    };
  }

  private _handleRunRequest(method: string | undefined, url: URL, response: ServerResponse): void {
    const run = this._scheduler.get(url.pathname.split('/')[3] ?? '');
    if (!run) {
      sendJson(response, 404, { error: { message: 'unknown run' } });
      return;
    }
    if (method === 'DELETE') {
      this._scheduler.cancel(run);
      sendJson(response, 200, {});
      return;
    }
    const from = url.searchParams.get('from');
    if (from === null) {
      sendJson(response, 200, { id: run.id, isDone: run.isDone, tokens: run.generatedTokens });
      return;
    }
    attachResponse(run, response, this._buildLoadReport());
    for (let index = Number(from); index < run.generatedTokens; index += 1) writeToken(run, index);
    if (run.isDone) writeEnd(run);
  }

  private _handleOrder(body: Buffer, response: ServerResponse): void {
    const order = ORDER_SCHEMA.safeParse(parseJson(body));
    if (!order.success) {
      sendJson(response, 400, { error: { message: order.error.message } });
      return;
    }
    if (this._settings.checksFencing && order.data.fencingToken < this._highestFencingToken) {
      sendJson(response, 409, { error: { message: 'old fencing token' } });
      return;
    }
    this._highestFencingToken = Math.max(this._highestFencingToken, order.data.fencingToken);
    this._loadedVersions = order.data.versions;
    this.records.orders.push(order.data);
    sendJson(response, 200, this._buildLoadReport());
  }

  private _buildLoadReport(): unknown {
    const load = this._laggedLoad.update({
      running: this._scheduler.runningCount,
      waiting: this._scheduler.waitingCount,
    });
    const cacheUse = Math.min(1, load.running / this._settings.batchSize);
    return { ...load, cacheUse, versions: this._loadedVersions, isLeaving: this.faults.isLeaving };
  }
}
