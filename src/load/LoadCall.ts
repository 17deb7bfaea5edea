import { createParser } from 'eventsource-parser';
import { request as sendRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import { readLimitedText } from '../adapters/LimitedBody.js';
import { BodyLimitError } from '../adapters/ResponseErrors.js';
import type { Millis, RanStatus } from '../common/Types.js';
import type { ICallOutcome, ILoadTarget, IPlannedRequest } from './Types.js';

/** Options of one HTTP call of the load generator. */
export interface ILoadCallOptions {
  target: ILoadTarget;
  dispatcher: Dispatcher;
  request: IPlannedRequest;
  /** Number of tries of this request so far, including this one; 1 for the first. */
  tries: number;
  /** Planned send time as a reading of `performance.now()`. All times of the outcome count from it. */
  plannedAt: Millis;
  /** Receives the time between two successive tokens of a streamed answer. */
  onTokenInterval: (intervalMs: Millis) => void;
}

/** What has been received so far of the response to one call. */
interface IResponseProgress {
  status: number;
  isComplete: boolean;
  code: string | undefined;
  ran: RanStatus | undefined;
  tokens: number;
  firstTokenMs: Millis | undefined;
}

const ERROR_SCHEMA = z.looseObject({
  error: z.looseObject({ code: z.string().optional() }),
  ran: z.enum(['no', 'yes', 'unknown']).optional(),
});
const USAGE_SCHEMA = z.looseObject({ usage: z.looseObject({ completion_tokens: z.number() }) });
const DEFAULT_TIMEOUT_MS = 120_000;

/** Largest answer that is read. */
const MAX_ANSWER_BYTES = 16_777_216;

/**
 * Formats the name that a request carries in its body. Simulated endpoints record it, so that a test can tell
 * which requests an endpoint ran.
 */
export function formatRequestName(request: IPlannedRequest): string {
  return `load-${request.seed}-${request.index}`;
}

/** Makes one HTTP call and resolves with its outcome. Failures are part of the outcome; it never rejects. */
export async function sendCall(options: ILoadCallOptions): Promise<ICallOutcome> {
  const { plannedAt, request, tries } = options;
  const lateMs = performance.now() - plannedAt;
  const progress: IResponseProgress = {
    status: 0,
    isComplete: false,
    code: undefined,
    ran: undefined,
    tokens: 0,
    firstTokenMs: undefined,
  };
  try {
    const response = await sendCallRequest(options);
    progress.status = response.statusCode;
    if (response.statusCode !== 200)
      recordError(progress, await readLimitedText(response.body, { maxBytes: MAX_ANSWER_BYTES }));
    else if (request.kind === 'stream') await readStreamedAnswer(options, response, progress);
    else await readUnstreamedAnswer(request, response, progress);
  } catch (error) {
    progress.isComplete = false;
    progress.code = error instanceof Error && 'code' in error ? String(error.code) : 'broken';
  }
  return { ...progress, request, tries, lateMs, totalMs: performance.now() - plannedAt };
}

/** Sends the HTTP request of a call. Resolves when the response headers have arrived. */
function sendCallRequest(options: ILoadCallOptions): Promise<Dispatcher.ResponseData> {
  const { dispatcher, request, target, tries } = options;
  const address = target.chooseAddress(request, tries);
  return sendRequest(address + getCallPath(target, request), {
    method: 'POST',
    headers: buildHeaders(options),
    body: encodeCallBody(target, request),
    dispatcher,
    signal: AbortSignal.timeout(target.timeoutMs ?? DEFAULT_TIMEOUT_MS),
  });
}

/** Returns the path that a planned request is sent to. */
export function getCallPath(target: ILoadTarget, request: IPlannedRequest): string {
  return request.kind === 'plain' ? target.plainPath : '/v1/chat/completions';
}

/** Encodes the body of a planned request. Each try of the request sends the same body. */
export function encodeCallBody(target: ILoadTarget, request: IPlannedRequest): string {
  const isPlain = request.kind === 'plain';
  return JSON.stringify(isPlain ? { load: formatRequestName(request) } : buildChatBody(target, request));
}

function buildChatBody(target: ILoadTarget, request: IPlannedRequest): unknown {
  return {
    model: target.model,
    max_tokens: target.statedMaxTokens ?? request.tokens,
    ...(target.statedMaxTokens === undefined ? {} : { answer_tokens: request.tokens }),
    stream: request.kind === 'stream',
    user: formatRequestName(request),
    messages: [{ role: 'user', content: `${target.prompt} ${request.index}` }],
  };
}

function buildHeaders({ request, target }: ILoadCallOptions): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  const key = target.keys[request.account % target.keys.length];
  if (key !== undefined) headers.authorization = `Bearer ${key}`;
  if (request.session !== undefined) headers['x-mulberryweir-session'] = request.session;
  if (request.idempotencyKey !== undefined) headers['idempotency-key'] = request.idempotencyKey;
  if (target.deadlineMs !== undefined) headers['x-mulberryweir-deadline-ms'] = String(target.deadlineMs);
  const priority = target.choosePriority?.(request);
  if (priority !== undefined) headers['x-mulberryweir-priority'] = priority;
  return headers;
}

async function readUnstreamedAnswer(
  request: IPlannedRequest,
  response: Dispatcher.ResponseData,
  progress: IResponseProgress,
): Promise<void> {
  const text = await readLimitedText(response.body, { maxBytes: MAX_ANSWER_BYTES });
  progress.isComplete = true;
  if (request.kind === 'plain') return;
  progress.tokens = USAGE_SCHEMA.parse(JSON.parse(text)).usage.completion_tokens;
}

async function readStreamedAnswer(
  options: ILoadCallOptions,
  response: Dispatcher.ResponseData,
  progress: IResponseProgress,
): Promise<void> {
  let lastTokenAt: Millis | undefined;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') progress.isComplete = true;
      else if (data.startsWith('{"error"')) recordError(progress, data);
      else if (!data.includes('"usage"')) lastTokenAt = recordToken(options, progress, lastTokenAt);
    },
  });
  const decoder = new TextDecoder();
  let length = 0;
  for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
    length += bytes.length;
    if (length > MAX_ANSWER_BYTES) throw new BodyLimitError(`The stream exceeds ${MAX_ANSWER_BYTES} bytes.`);
    parser.feed(decoder.decode(bytes, { stream: true }));
  }
  if (!progress.isComplete) progress.code ??= 'incomplete';
}

function recordToken(
  options: ILoadCallOptions,
  progress: IResponseProgress,
  lastTokenAt: Millis | undefined,
): Millis {
  const now = performance.now();
  progress.tokens += 1;
  if (lastTokenAt === undefined) progress.firstTokenMs = now - options.plannedAt;
  else options.onTokenInterval(now - lastTokenAt);
  return now;
}

function recordError(progress: IResponseProgress, text: string): void {
  const parsed = ERROR_SCHEMA.safeParse(parseJson(text));
  progress.code = parsed.data?.error.code ?? 'unreadable';
  progress.ran = parsed.data?.ran;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
