import { createParser } from 'eventsource-parser';
import { Result } from 'true-myth';
import { request as sendRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import type { AttemptErrorKind, IAnswer, IAttemptError, ILoadReport } from '../common/blackboard/Types.js';
import type { AttemptPart, IAttemptCall } from '../common/request/Types.js';
import type { IClock, Millis, RanStatus } from '../common/Types.js';
import { DEFAULT_AGENT } from './HttpAgent.js';
import { isMalformedResponse } from './ResponseErrors.js';
import { isInvalidRequest, isUnsent } from './UnsentRequest.js';
import { limitList } from './LimitedList.js';

/** Options of the engine client. */
export interface IEngineClientOptions {
  clock: IClock;
  dispatcher?: Dispatcher;
  /** Longest wait for the response headers. Default 30,000. */
  headersTimeoutMs?: Millis;
  /** Longest wait for the next chunk of a run; then the attempt fails as `silent`. Default 5000. */
  chunkTimeoutMs?: Millis;
}

const CANCEL_TIMEOUT_MS = 2000;

const LOAD_REPORT_SCHEMA = z.object({
  running: z.number(),
  waiting: z.number(),
  cacheUse: z.number(),
  versions: limitList(z.string()),
  isLeaving: z.boolean(),
});

/** Bills are computed from token counts, so a negative count would credit the client account. */
const TOKEN_COUNT = z.number().int().min(0);
const USAGE_SCHEMA = z.looseObject({ prompt_tokens: TOKEN_COUNT, completion_tokens: TOKEN_COUNT });

/** Largest answer that is kept in memory, measured in bytes as received. */
const MAX_ANSWER_BYTES = 16_777_216;
/** Largest event of a stream, and largest part of an error response's body that is read. */
const MAX_EVENT_BYTES = 1_048_576;
/**
 * The index of a choice or a tool call must be below this limit. The endpoint chooses the indices, and a huge
 * one would make the list of tool calls in the answer equally long.
 */
const INDEX_LIMIT = 1024;

const ERROR_BODY_SCHEMA = z.looseObject({
  ran: z.enum(['no', 'yes', 'unknown']).optional(),
  error: z.looseObject({ message: z.string().optional() }).optional(),
});

/** A chunk of a chat completion as the engine sent it. */
export interface ChatChunk {
  readonly [field: string]: unknown;
  readonly id?: string;
  readonly choices: readonly IChunkChoice[];
  readonly usage?: z.output<typeof USAGE_SCHEMA> | null;
}

/** One choice of a chunk. */
export interface IChunkChoice {
  readonly [field: string]: unknown;
  readonly index: number;
}

/** Runs an attempt at a model engine. The engine streams the answer as server-sent events. */
export async function runEngineAttempt(
  options: IEngineClientOptions,
  call: IAttemptCall,
  onPart: (part: AttemptPart) => void,
): Promise<Result<IAnswer, IAttemptError>> {
  const { attempt, endpoint, request, signal } = call;
  if (request.target.kind !== 'model') return failAttempt('rejected', 'no', 'Not a request for a model.');
  const body = {
    ...(request.target.body as object),
    model: attempt.version,
    stream: true,
    stream_options: { include_usage: true },
  };
  try {
    const reply = await sendRequest(`${endpoint.address}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json', 'x-run-id': attempt.id, 'x-priority': request.priority },
      signal,
      headersTimeout: options.headersTimeoutMs ?? 30_000,
      bodyTimeout: options.chunkTimeoutMs ?? 5000,
      dispatcher: options.dispatcher ?? DEFAULT_AGENT,
    });
    const report = decodeLoadReport(reply.headers['x-load-report'], options.clock.now());
    if (report) onPart({ kind: 'report', report });
    if (reply.statusCode !== 200) return await mapErrorResponse(reply);
    return await readStream(reply.body, attempt.version ?? '', attempt.id, onPart);
  } catch (error) {
    if (signal.aborted) void cancelRun(options, endpoint.address, attempt.id);
    return mapCallError(error, signal);
  }
}

/** Cancels a run at the engine. Closing the connection does not end it, because its stream can be resumed. */
async function cancelRun(options: IEngineClientOptions, address: string, run: string): Promise<void> {
  try {
    const reply = await sendRequest(`${address}/v1/runs/${encodeURIComponent(run)}`, {
      method: 'DELETE',
      headersTimeout: CANCEL_TIMEOUT_MS,
      dispatcher: options.dispatcher ?? DEFAULT_AGENT,
    });
    await reply.body.dump();
  } catch {
    // Not retried: the run ends at the engine without being cancelled, and its output is not read.
  }
}

/** Decodes a load report from a response header or body; `undefined` when it is missing or malformed. */
export function decodeLoadReport(value: unknown, receivedAt: Millis): ILoadReport | undefined {
  try {
    const raw: unknown = typeof value === 'string' ? JSON.parse(value) : value;
    const parsed = LOAD_REPORT_SCHEMA.safeParse(raw);
    return parsed.success ? { ...parsed.data, receivedAt } : undefined;
  } catch {
    return undefined;
  }
}

async function readStream(
  body: Dispatcher.ResponseData['body'],
  version: string,
  runId: string,
  onPart: (part: AttemptPart) => void,
): Promise<Result<IAnswer, IAttemptError>> {
  const reader = new ChunkReader(runId, onPart);
  const parser = createParser({
    onEvent: (event) => {
      reader.acceptEvent(event.data);
    },
  });
  const decoder = new TextDecoder();
  await readBody(body, (bytes) => {
    reader.countBytes(bytes.length);
    parser.feed(decoder.decode(bytes, { stream: true }));
    return reader.problem === undefined;
  });
  if (reader.problem !== undefined) return failAttempt('malformed', 'yes', reader.problem);
  if (!reader.isComplete || !reader.usage) {
    // The endpoint ended the response without a connection error, so it has not crashed.
    const ran = reader.chunks.length > 0 ? 'yes' : 'unknown';
    return failAttempt('malformed', ran, 'The stream ended before the answer was complete.');
  }
  const usage = {
    promptTokens: reader.usage.prompt_tokens,
    completionTokens: reader.usage.completion_tokens,
  };
  return Result.ok({ kind: 'model', version, usage, content: reader.chunks });
}

/**
 * Passes the body to the consumer piece by piece until the consumer returns false. Uses stream events,
 * because an async iterator costs several promises for each token.
 */
function readBody(
  body: Dispatcher.ResponseData['body'],
  consume: (bytes: Uint8Array) => boolean,
): Promise<void> {
  return new Promise((resolve, reject) => {
    body.on('data', (bytes: Uint8Array) => {
      if (consume(bytes)) return;
      resolve();
      body.destroy();
    });
    body.once('end', resolve);
    body.once('error', reject);
  });
}

/** Collects the chunks of an answer from the events of its stream and checks them. */
class ChunkReader {
  /** Whether the endpoint has sent `[DONE]`. */
  public isComplete = false;
  /** Why the answer is malformed; `undefined` as long as it is valid. */
  public problem: string | undefined;
  public usage: NonNullable<ChatChunk['usage']> | undefined;
  public readonly chunks: ChatChunk[] = [];
  private _totalBytes = 0;
  private _bytesSinceEvent = 0;

  constructor(
    private readonly _runId: string,
    private readonly _onPart: (part: AttemptPart) => void,
  ) {}

  /** Counts received bytes. Sets `problem` when the answer or a single event exceeds its size limit. */
  public countBytes(bytes: number): void {
    this._totalBytes += bytes;
    this._bytesSinceEvent += bytes;
    if (this._totalBytes > MAX_ANSWER_BYTES || this._bytesSinceEvent > MAX_EVENT_BYTES) {
      this.problem ??= 'The endpoint sent too many bytes.';
    }
  }

  public acceptEvent(data: string): void {
    this._bytesSinceEvent = 0;
    if (this.problem !== undefined || this.isComplete) return;
    if (data === '[DONE]') {
      this.isComplete = true;
      return;
    }
    const chunk = decodeChunk(data);
    if (!chunk) this.problem = 'The endpoint sent a malformed chunk.';
    else if (chunk.id !== undefined && chunk.id !== this._runId) {
      this.problem = 'The endpoint sent a chunk of another run.';
    } else this._addChunk(chunk);
  }

  private _addChunk(chunk: ChatChunk): void {
    this.chunks.push(chunk);
    if (chunk.usage) this.usage = chunk.usage;
    this._onPart({ kind: 'chunk', tokens: chunk.usage ? 0 : 1, data: chunk });
  }
}

function decodeChunk(data: string): ChatChunk | undefined {
  try {
    const raw: unknown = JSON.parse(data);
    return isChunk(raw) ? raw : undefined;
  } catch {
    return undefined;
  }
}

/** Checks a chunk without a schema parser, which took a tenth of the processor time spent per token. */
function isChunk(raw: unknown): raw is ChatChunk {
  if (!isRecord(raw) || !Array.isArray(raw.choices)) return false;
  if (raw.id !== undefined && typeof raw.id !== 'string') return false;
  if (raw.usage != null && !USAGE_SCHEMA.safeParse(raw.usage).success) return false;
  return raw.choices.every(isChoice);
}

function isChoice(choice: unknown): boolean {
  if (!isRecord(choice) || !isValidIndex(choice.index)) return false;
  if (choice.delta == null) return true;
  if (!isRecord(choice.delta)) return false;
  const calls = choice.delta.tool_calls;
  return calls == null || (Array.isArray(calls) && calls.every(isToolCall));
}

function isToolCall(call: unknown): boolean {
  return isRecord(call) && isValidIndex(call.index) && (call.function == null || isRecord(call.function));
}

function isValidIndex(value: unknown): boolean {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) < INDEX_LIMIT;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

/** Reads a body up to a limit. The piece that exceeds the limit and all that follow are left out. */
async function readText(body: Dispatcher.ResponseData['body'], maxBytes: number): Promise<string> {
  const parts: Uint8Array[] = [];
  let length = 0;
  await readBody(body, (bytes) => {
    length += bytes.length;
    if (length <= maxBytes) parts.push(bytes);
    return length <= maxBytes;
  });
  return Buffer.concat(parts).toString();
}

async function mapErrorResponse(reply: Dispatcher.ResponseData): Promise<Result<IAnswer, IAttemptError>> {
  const errorBody = decodeErrorBody(await readText(reply.body, MAX_EVENT_BYTES));
  // An error body that cannot be read may have been cut before it says that the request ran.
  const ran = errorBody ? (errorBody.ran ?? 'no') : 'unknown';
  if (reply.statusCode === 400) return failAttempt('rejected', 'no', 'The endpoint rejected the request.');
  if (reply.statusCode === 429) return failAttempt('overloaded', ran, 'The endpoint is overloaded.');
  if (reply.statusCode === 503 && errorBody?.error?.message === 'leaving') {
    return failAttempt('leaving', ran, 'The endpoint is leaving.');
  }
  if (reply.statusCode === 503) return failAttempt('refused', ran, 'The endpoint refused the request.');
  return failAttempt(
    'malformed',
    errorBody?.ran ?? 'unknown',
    `The endpoint answered with status ${reply.statusCode}.`,
  );
}

function decodeErrorBody(text: string): z.output<typeof ERROR_BODY_SCHEMA> | undefined {
  try {
    return ERROR_BODY_SCHEMA.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

const TIMEOUT_ERROR_CODES: ReadonlySet<string> = new Set(['UND_ERR_BODY_TIMEOUT', 'UND_ERR_HEADERS_TIMEOUT']);

/** Maps an error thrown by undici to an attempt error. */
export function mapCallError(error: unknown, signal: AbortSignal): Result<IAnswer, IAttemptError> {
  const message = error instanceof Error ? error.message : String(error);
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  if (signal.aborted)
    return failAttempt('cancelled', isUnsent(error) ? 'no' : 'unknown', 'The attempt was cancelled.');
  if (isInvalidRequest(error)) return failAttempt('rejected', 'no', message);
  if (isUnsent(error)) return failAttempt('connect-failed', 'no', message);
  if (TIMEOUT_ERROR_CODES.has(code)) return failAttempt('silent', 'unknown', message);
  if (isMalformedResponse(error)) return failAttempt('malformed', 'unknown', message);
  return failAttempt('crashed', 'unknown', message);
}

function failAttempt(
  kind: AttemptErrorKind,
  ran: RanStatus,
  message: string,
): Result<IAnswer, IAttemptError> {
  return Result.err({ kind, ran, message });
}
