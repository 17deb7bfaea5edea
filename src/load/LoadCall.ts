import { createParser } from 'eventsource-parser';
import { request as sendRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import type { Millis, Ran } from '../common/Types.js';
import type { ICallOutcome, ILoadTarget, IPlannedRequest } from './Types.js';

/** One call of the load generator. */
export interface ILoadCallOptions {
  target: ILoadTarget;
  dispatcher: Dispatcher;
  request: IPlannedRequest;
  tries: number;
  /** Reading of `performance.now()` that times count from. */
  plannedAt: Millis;
  onGap: (gapMs: Millis) => void;
}

interface IProgress {
  status: number;
  isComplete: boolean;
  code: string | undefined;
  ran: Ran | undefined;
  tokens: number;
  firstTokenMs: Millis | undefined;
}

const ERROR_SCHEMA = z.looseObject({
  error: z.looseObject({ code: z.string().optional() }),
  ran: z.enum(['no', 'yes', 'unknown']).optional(),
});
const USAGE_SCHEMA = z.looseObject({ usage: z.looseObject({ completion_tokens: z.number() }) });
const DEFAULT_TIMEOUT_MS = 120_000;

/** Names a request in its body, so that an endpoint's books show which requests it ran. */
export function formatRequestName(request: IPlannedRequest): string {
  return `load-${request.seed}-${request.index}`;
}

/** Sends one request and reports what came back. Never rejects. */
export async function sendCall(options: ILoadCallOptions): Promise<ICallOutcome> {
  const { plannedAt, request, tries } = options;
  const lateMs = performance.now() - plannedAt;
  const progress: IProgress = {
    status: 0,
    isComplete: false,
    code: undefined,
    ran: undefined,
    tokens: 0,
    firstTokenMs: undefined,
  };
  try {
    const reply = await openCall(options);
    progress.status = reply.statusCode;
    if (reply.statusCode !== 200) applyError(progress, await reply.body.text());
    else if (request.kind === 'stream') await readStream(options, reply, progress);
    else await readWhole(request, reply, progress);
  } catch (error) {
    progress.isComplete = false;
    progress.code = error instanceof Error && 'code' in error ? String(error.code) : 'broken';
  }
  return { ...progress, request, tries, lateMs, totalMs: performance.now() - plannedAt };
}

function openCall(options: ILoadCallOptions): Promise<Dispatcher.ResponseData> {
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

/** Path of the call that a planned request makes. */
export function getCallPath(target: ILoadTarget, request: IPlannedRequest): string {
  return request.kind === 'plain' ? target.plainPath : '/v1/chat/completions';
}

/** Body of the call that a planned request makes; the same each time it is repeated. */
export function encodeCallBody(target: ILoadTarget, request: IPlannedRequest): string {
  const isPlain = request.kind === 'plain';
  return JSON.stringify(isPlain ? { load: formatRequestName(request) } : buildChat(target, request));
}

function buildChat(target: ILoadTarget, request: IPlannedRequest): unknown {
  return {
    model: target.model,
    max_tokens: target.statedTokens ?? request.tokens,
    ...(target.statedTokens === undefined ? {} : { answer_tokens: request.tokens }),
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

async function readWhole(
  request: IPlannedRequest,
  reply: Dispatcher.ResponseData,
  progress: IProgress,
): Promise<void> {
  const text = await reply.body.text();
  progress.isComplete = true;
  if (request.kind === 'plain') return;
  progress.tokens = USAGE_SCHEMA.parse(JSON.parse(text)).usage.completion_tokens;
}

async function readStream(
  options: ILoadCallOptions,
  reply: Dispatcher.ResponseData,
  progress: IProgress,
): Promise<void> {
  let lastTokenAt: Millis | undefined;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') progress.isComplete = true;
      else if (data.startsWith('{"error"')) applyError(progress, data);
      else if (!data.includes('"usage"')) lastTokenAt = countToken(options, progress, lastTokenAt);
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of reply.body) {
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
  }
  if (!progress.isComplete) progress.code ??= 'incomplete';
}

function countToken(options: ILoadCallOptions, progress: IProgress, lastTokenAt: Millis | undefined): Millis {
  const now = performance.now();
  progress.tokens += 1;
  if (lastTokenAt === undefined) progress.firstTokenMs = now - options.plannedAt;
  else options.onGap(now - lastTokenAt);
  return now;
}

function applyError(progress: IProgress, text: string): void {
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
