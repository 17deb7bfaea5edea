import type { IncomingHttpHeaders } from 'node:http';
import { Result } from 'true-myth';
import * as z from 'zod';
import { hashTexts } from '../adapters/Random.js';
import type { IRefusal, IRequestEntry, RequestTarget } from '../common/blackboard/Types.js';
import type { IServiceDocument } from '../common/config/Types.js';
import { classifyKind } from '../common/policy/Kinds.js';
import type { Millis, Priority } from '../common/Types.js';
import { hashFingerprint } from './RequestKeys.js';
import { UNDECIDED_REQUEST } from '../common/request/NewEntries.js';

/** A request as it arrived, after authentication. */
export interface IArrivedRequest {
  id: string;
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  document: IServiceDocument;
  account: string;
  receivedAt: Millis;
}

const CHAT_SCHEMA = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z
    .array(z.looseObject({ role: z.string().max(50), content: z.unknown().optional() }))
    .min(1, 'must have at least one message'),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

const HEADER_SCHEMA = z.object({
  'idempotency-key': z.string().min(1).max(256).optional(),
  'x-mulberryweir-idempotent': z.enum(['true', 'false']).optional(),
  'x-mulberryweir-session': z.string().min(1).max(256).optional(),
  'x-mulberryweir-deadline-ms': z.coerce.number().int().min(1).max(86_400_000).optional(),
  'x-mulberryweir-priority': z.enum(['low', 'normal', 'high']).optional(),
  'x-mulberryweir-kind': z
    .string()
    .regex(/^[a-z0-9-]{1,40}$/, 'must be 1 to 40 lower-case letters, digits or dashes')
    .optional(),
});

type RequestHeaders = z.output<typeof HEADER_SCHEMA>;

const DEFAULT_MAX_TOKENS = 256;
const CHARACTERS_PER_TOKEN = 4;
/** Characters of prompt per prefix hash; engines cache prefixes in blocks. */
const PREFIX_BLOCK = 512;
const MAX_PREFIX_HASHES = 16;

/** Parses a chat completion or a call of a plain service into a request entry. */
export function parseRequest(arrived: IArrivedRequest): Result<IRequestEntry, IRefusal> {
  const headers = HEADER_SCHEMA.safeParse(arrived.headers);
  if (!headers.success) return refuseInput(describeIssue('header', headers.error));
  const target = arrived.path.startsWith('/services/') ? parsePlain(arrived) : parseChat(arrived.body);
  return target.andThen((parsed) => buildEntry(arrived, headers.data, parsed));
}

function buildEntry(
  arrived: IArrivedRequest,
  headers: RequestHeaders,
  target: RequestTarget,
): Result<IRequestEntry, IRefusal> {
  const isIdempotent = decideIdempotency(arrived.document, headers, target);
  const idempotencyKey = headers['idempotency-key'];
  if (!isIdempotent && idempotencyKey === undefined) {
    return refuseInput('A non-idempotent request needs the header idempotency-key.');
  }
  const deadline = headers['x-mulberryweir-deadline-ms'] ?? arrived.document.defaultDeadlineMs;
  const priority: Priority = headers['x-mulberryweir-priority'] ?? 'normal';
  return Result.ok({
    id: arrived.id,
    phase: 'received',
    service: arrived.document.name,
    account: arrived.account,
    kind: headers['x-mulberryweir-kind'] ?? classifyKind(target),
    target,
    isIdempotent,
    idempotencyKey,
    fingerprint: hashFingerprint(
      arrived.account,
      arrived.method,
      arrived.path,
      arrived.body.toString('latin1'),
    ),
    session: headers['x-mulberryweir-session'],
    priority,
    receivedAt: arrived.receivedAt,
    deadlineAt: arrived.receivedAt + deadline,
    ...UNDECIDED_REQUEST,
  });
}

function parseChat(body: Buffer): Result<RequestTarget, IRefusal> {
  let raw: unknown;
  try {
    raw = JSON.parse(body.toString('utf8'));
  } catch {
    return refuseInput('The body is not valid JSON.');
  }
  const parsed = CHAT_SCHEMA.safeParse(raw);
  if (!parsed.success) return refuseInput(describeIssue('body', parsed.error));
  const { data } = parsed;
  const prompt = data.messages.map((message) => JSON.stringify(message.content ?? '')).join('\n');
  return Result.ok({
    kind: 'model',
    model: data.model,
    isStreaming: data.stream ?? false,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    maxTokens: data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_MAX_TOKENS,
    prefixHashes: hashPrefixes(prompt),
    body: data,
  });
}

function parsePlain(arrived: IArrivedRequest): Result<RequestTarget, IRefusal> {
  const match = /^\/services\/([a-z0-9-]+)(\/.*)?$/.exec(arrived.path);
  if (!match?.[1]) return refuseInput('The path must be /services/NAME/...');
  return Result.ok({
    kind: 'plain',
    plainService: match[1],
    method: arrived.method,
    path: match[2] ?? '/',
    contentType: arrived.headers['content-type'],
    body: arrived.body.length > 0 ? new Uint8Array(arrived.body) : undefined,
  });
}

function decideIdempotency(
  document: IServiceDocument,
  headers: RequestHeaders,
  target: RequestTarget,
): boolean {
  const stated = headers['x-mulberryweir-idempotent'];
  if (stated !== undefined) return stated === 'true';
  if (target.kind === 'model') return true;
  // Callers choose the name: `constructor` must not find a property of Object.prototype.
  if (!Object.hasOwn(document.plainServices, target.plainService)) return false;
  return document.plainServices[target.plainService]?.idempotentMethods.includes(target.method) ?? false;
}

function hashPrefixes(prompt: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (
    let end = PREFIX_BLOCK;
    end <= prompt.length && hashes.length < MAX_PREFIX_HASHES;
    end += PREFIX_BLOCK
  ) {
    previous = hashTexts(previous, prompt.slice(end - PREFIX_BLOCK, end));
    hashes.push(previous);
  }
  return hashes;
}

function describeIssue(part: string, error: z.ZodError): string {
  const issue = error.issues[0];
  return `${part} ${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`;
}

function refuseInput(message: string): Result<never, IRefusal> {
  return Result.err({ code: 'invalid_request', message, ran: 'no' });
}
