import type { ChatChunk } from '../adapters/EngineClient.js';
import type { IAnswer, IRefusal, IRequestEntry, RefusalCode } from '../common/blackboard/Types.js';
import type { IStoredAnswer } from '../common/coordination/Types.js';

/** HTTP status of each refusal code. */
export const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
  invalid_request: 400,
  unknown_path: 404,
  method_not_allowed: 405,
  request_timeout: 408,
  body_too_large: 413,
  headers_too_large: 431,
  unknown_key: 401,
  unknown_service: 404,
  not_ready: 503,
  draining: 503,
  model_not_allowed: 403,
  version_withdrawn: 410,
  session_version_withdrawn: 410,
  rate_limited: 429,
  deadline_unreachable: 503,
  deadline_exceeded: 504,
  no_capacity: 503,
  store_unavailable: 503,
  idempotency_conflict: 422,
  already_running: 409,
  outcome_unknown: 409,
  request_crashes_endpoint: 422,
  endpoint_failed: 502,
  cancelled: 499,
  internal_error: 500,
};

/** Body of an error in the format of the OpenAI API, extended by the field `ran`. */
export interface IErrorBody {
  error: { message: string; type: string; code: RefusalCode; param: null; ran: IRefusal['ran'] };
  ran: IRefusal['ran'];
}

/** Encodes a refusal as an error body. */
export function encodeRefusal(refusal: IRefusal): IErrorBody {
  const type = REFUSAL_STATUS[refusal.code] < 500 ? 'invalid_request_error' : 'server_error';
  const { code, message, ran } = refusal;
  return { error: { message, type, code, param: null, ran }, ran };
}

interface IChoice {
  index: number;
  message: { role: string; content: string | null; tool_calls?: IToolCall[] };
  finish_reason: unknown;
}

interface IToolCall {
  id?: string;
  type?: string;
  function: { name: string; arguments: string };
}

interface IDelta {
  role?: string;
  content?: string | null;
  tool_calls?:
    | {
        index: number;
        id?: string;
        type?: string;
        function?: { name?: string | null; arguments?: string | null } | null;
      }[]
    | null;
}

/** Joins the chunks of an answer into the body of a chat completion that is not streamed. */
export function encodeCompletion(request: IRequestEntry, answer: IAnswer, createdAt: number): unknown {
  if (answer.kind !== 'model') return undefined;
  const choices = new Map<number, IChoice>();
  for (const chunk of answer.content as readonly ChatChunk[]) {
    for (const choice of chunk.choices) addDelta(choices, choice);
  }
  return {
    id: request.id,
    object: 'chat.completion',
    created: createdAt,
    model: answer.version,
    choices: [...choices.values()].sort((first, second) => first.index - second.index),
    usage: encodeUsage(answer.usage),
  };
}

/** Encodes token counts as the `usage` object of the OpenAI API. */
export function encodeUsage(usage: { promptTokens: number; completionTokens: number }): unknown {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}

/**
 * Encodes an answer for storage in the journal, from which repeated requests are answered. The body is
 * base64.
 */
export function encodeStoredAnswer(request: IRequestEntry, answer: IAnswer): IStoredAnswer {
  switch (answer.kind) {
    case 'stored':
      return { status: answer.status, contentType: answer.contentType, body: answer.body };
    case 'plain': {
      const contentType = answer.contentType ?? 'application/octet-stream';
      return { status: answer.status, contentType, body: Buffer.from(answer.body).toString('base64') };
    }
    case 'model': {
      const body = JSON.stringify(encodeCompletion(request, answer, 0));
      return { status: 200, contentType: 'application/json', body: Buffer.from(body).toString('base64') };
    }
  }
}

function addDelta(choices: Map<number, IChoice>, chunkChoice: ChatChunk['choices'][number]): void {
  const choice = choices.get(chunkChoice.index) ?? {
    index: chunkChoice.index,
    message: { role: 'assistant', content: null },
    finish_reason: null,
  };
  choices.set(chunkChoice.index, choice);
  const delta = (chunkChoice.delta ?? {}) as IDelta;
  if (typeof delta.content === 'string')
    choice.message.content = (choice.message.content ?? '') + delta.content;
  for (const call of delta.tool_calls ?? []) addToolCall(choice, call);
  if (chunkChoice.finish_reason != null) choice.finish_reason = chunkChoice.finish_reason;
}

function addToolCall(choice: IChoice, delta: NonNullable<IDelta['tool_calls']>[number]): void {
  choice.message.tool_calls ??= [];
  const call = (choice.message.tool_calls[delta.index] ??= { function: { name: '', arguments: '' } });
  if (delta.id !== undefined) call.id = delta.id;
  if (delta.type !== undefined) call.type = delta.type;
  call.function.name += delta.function?.name ?? '';
  call.function.arguments += delta.function?.arguments ?? '';
}
