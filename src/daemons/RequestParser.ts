import type { IncomingHttpHeaders } from 'node:http';
import { Result } from 'true-myth';
import * as z from 'zod';
import { hashTexts } from '../adapters/Random.js';
import type { IRefusal, IRequestEntry, RequestTarget } from '../common/blackboard/Types.js';
import type { IServiceDocument } from '../common/config/Types.js';
import { classifyRequestKind } from '../common/policy/RequestKinds.js';
import type { Millis, Priority } from '../common/Types.js';
import { hashFingerprint } from './RequestKeys.js';
import { INITIAL_REQUEST_FIELDS } from '../common/request/InitialFields.js';
import { limitList } from '../adapters/LimitedList.js';

/** An authenticated request as received from the caller. */
export interface IReceivedRequest {
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
  messages: limitList(z.looseObject({ role: z.string().max(50), content: z.unknown().optional() })).refine(
    (messages) => messages.length > 0,
    'must have at least one message',
  ),
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
/** Number of prompt characters that each prefix hash adds. Engines also cache prefixes in blocks. */
const PREFIX_BLOCK_CHARACTERS = 512;
const MAX_PREFIX_HASHES = 16;

/** Parses a chat completion or a call of a plain service into an entry of the `requests` panel. */
export function parseRequest(received: IReceivedRequest): Result<IRequestEntry, IRefusal> {
  const headers = HEADER_SCHEMA.safeParse(received.headers);
  if (!headers.success) return refuseInput(describeIssue('header', headers.error));
  const target = received.path.startsWith('/services/') ? parsePlain(received) : parseChat(received.body);
  return target.andThen((parsed) => buildEntry(received, headers.data, parsed));
}

function buildEntry(
  received: IReceivedRequest,
  headers: RequestHeaders,
  target: RequestTarget,
): Result<IRequestEntry, IRefusal> {
  const isIdempotent = decideIdempotency(received.document, headers, target);
  const idempotencyKey = headers['idempotency-key'];
  if (!isIdempotent && idempotencyKey === undefined) {
    return refuseInput('A non-idempotent request needs the header idempotency-key.');
  }
  const deadline = headers['x-mulberryweir-deadline-ms'] ?? received.document.defaultDeadlineMs;
  const priority: Priority = headers['x-mulberryweir-priority'] ?? 'normal';
  return Result.ok({
    id: received.id,
    phase: 'received',
    service: received.document.name,
    account: received.account,
    kind: headers['x-mulberryweir-kind'] ?? classifyRequestKind(target),
    target,
    isIdempotent,
    idempotencyKey,
    fingerprint: hashFingerprint(
      received.account,
      received.method,
      received.path,
      received.body.toString('latin1'),
    ),
    session: headers['x-mulberryweir-session'],
    priority,
    receivedAt: received.receivedAt,
    deadlineAt: received.receivedAt + deadline,
    ...INITIAL_REQUEST_FIELDS,
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

function parsePlain(received: IReceivedRequest): Result<RequestTarget, IRefusal> {
  const match = /^\/services\/([a-z0-9-]+)(\/.*)?$/.exec(received.path);
  if (!match?.[1]) return refuseInput('The path must be /services/NAME/...');
  return Result.ok({
    kind: 'plain',
    plainService: match[1],
    method: received.method,
    path: match[2] ?? '/',
    contentType: received.headers['content-type'],
    body: received.body.length > 0 ? new Uint8Array(received.body) : undefined,
  });
}

function decideIdempotency(
  document: IServiceDocument,
  headers: RequestHeaders,
  target: RequestTarget,
): boolean {
  const declared = headers['x-mulberryweir-idempotent'];
  if (declared !== undefined) return declared === 'true';
  if (target.kind === 'model') return true;
  // The name comes from the caller: names such as `constructor` must not match properties of
  // Object.prototype.
  if (!Object.hasOwn(document.plainServices, target.plainService)) return false;
  return document.plainServices[target.plainService]?.idempotentMethods.includes(target.method) ?? false;
}

function hashPrefixes(prompt: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (
    let end = PREFIX_BLOCK_CHARACTERS;
    end <= prompt.length && hashes.length < MAX_PREFIX_HASHES;
    end += PREFIX_BLOCK_CHARACTERS
  ) {
    previous = hashTexts(previous, prompt.slice(end - PREFIX_BLOCK_CHARACTERS, end));
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
