import { Result } from 'true-myth';
import { request as sendRequest, type Agent } from 'undici';
import type { IAnswer, IAttemptError } from '../common/blackboard/Types.js';
import type { AttemptPart, IAttemptCall } from '../common/request/Types.js';
import type { Millis } from '../common/Types.js';
import { BufferBudget } from './BufferBudget.js';
import { mapCallError } from './EngineClient.js';
import { DEFAULT_AGENT } from './HttpAgent.js';
import { isCutByConnection, ResponseConnection } from './ResponseConnection.js';
import { isNotRunStatus } from './ResponseStatus.js';
import { findEndMark, hasBody, hasSoundFraming } from './ResponseFraming.js';
import { readLimitedBytes } from './LimitedBody.js';
import { BodyBudgetError, BodyLimitError } from './ResponseErrors.js';

/** Options of the client of plain services. */
export interface IPlainClientOptions {
  /** Created by `createHttpAgent`. Default: an agent that all calls without one share. */
  dispatcher?: Agent;
  /** Longest wait for the response headers. Default 30,000. */
  headersTimeoutMs?: Millis;
  /** Largest answer that is read. Default 8,388,608. */
  maxAnswerBytes?: number;
  /** Limits the answers that are read at the same time. Default: a budget that all calls without one share. */
  budget?: BufferBudget;
}

const MAX_ANSWER_BYTES = 8_388_608;
const DEFAULT_BUDGET = new BufferBudget();

/** Runs an attempt at an endpoint of a plain service as one HTTP call. */
export async function runPlainAttempt(
  options: IPlainClientOptions,
  call: IAttemptCall,
  onPart: (part: AttemptPart) => void = () => undefined,
): Promise<Result<IAnswer, IAttemptError>> {
  const { endpoint, request, signal } = call;
  const { target } = request;
  if (target.kind !== 'plain') {
    return Result.err({ kind: 'rejected', ran: 'no', message: 'Not a request for a plain service.' });
  }
  const { method } = target;
  const connection = new ResponseConnection();
  try {
    const reply = await sendRequest(endpoint.address + target.path, {
      opaque: connection,
      method,
      body: target.body ?? null,
      headers: target.contentType === undefined ? {} : { 'content-type': target.contentType },
      signal,
      headersTimeout: options.headersTimeoutMs ?? 30_000,
      dispatcher: options.dispatcher ?? DEFAULT_AGENT,
    });
    const { headers, statusCode: status } = reply;
    const form = { method, status, findHeader: (name: string) => headers[name]?.toString() };
    if (!hasSoundFraming(form)) {
      reply.body.on('error', () => undefined).destroy();
      const message = 'The answer has another transfer encoding than chunked.';
      return Result.err({ kind: 'malformed', ran: 'unknown', message });
    }
    const mark = findEndMark(form);
    if (hasBody(form)) onPart({ kind: 'plain-opening', endMark: mark });
    const { budget = DEFAULT_BUDGET, maxAnswerBytes: maxBytes = MAX_ANSWER_BYTES } = options;
    const body = await readLimitedBytes(reply.body, { maxBytes, budget });
    if (await isCutByConnection(mark, connection)) {
      const message = 'The connection was reset at the end of the answer.';
      return Result.err({ kind: 'crashed', ran: 'yes', message });
    }
    onPart({ kind: 'end', mark });
    const contentType = typeof headers['content-type'] === 'string' ? headers['content-type'] : undefined;
    const answer: IAnswer = { kind: 'plain', status, contentType, body };
    if (!isNotRunStatus(status)) return Result.ok(answer);
    const message = `The endpoint answered ${status}.`;
    return Result.err({ kind: 'failed', ran: 'yes', message, answer: { ...answer, deniesRun: true } });
  } catch (error) {
    if (error instanceof BodyLimitError)
      return Result.err({ kind: 'malformed', ran: 'yes', message: error.message });
    if (error instanceof BodyBudgetError)
      return Result.err({ kind: 'cancelled', ran: 'yes', message: error.message });
    return mapCallError(error, signal);
  }
}
