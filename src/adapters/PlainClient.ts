import { Result } from 'true-myth';
import { request as sendRequest, type Dispatcher } from 'undici';
import type { IAnswer, IAttemptError } from '../common/blackboard/Types.js';
import type { IAttemptCall } from '../common/request/Types.js';
import type { Millis } from '../common/Types.js';
import { mapCallError } from './EngineClient.js';

/** Options of the client of plain services. */
export interface IPlainClientOptions {
  dispatcher?: Dispatcher;
  /** Longest wait for the response headers. Default 30,000. */
  headersTimeoutMs?: Millis;
}

/** Runs an attempt at an endpoint of a plain service as one HTTP call. */
export async function runPlainAttempt(
  options: IPlainClientOptions,
  call: IAttemptCall,
): Promise<Result<IAnswer, IAttemptError>> {
  const { endpoint, request, signal } = call;
  const { target } = request;
  if (target.kind !== 'plain') {
    return Result.err({ kind: 'rejected', ran: 'no', message: 'Not a request for a plain service.' });
  }
  try {
    const reply = await sendRequest(endpoint.address + target.path, {
      method: target.method,
      body: target.body ?? null,
      headers: target.contentType === undefined ? {} : { 'content-type': target.contentType },
      signal,
      headersTimeout: options.headersTimeoutMs ?? 30_000,
      ...(options.dispatcher ? { dispatcher: options.dispatcher } : {}),
    });
    const body = new Uint8Array(await reply.body.arrayBuffer());
    const contentType = reply.headers['content-type'];
    return Result.ok({
      kind: 'plain',
      status: reply.statusCode,
      contentType: typeof contentType === 'string' ? contentType : undefined,
      body,
    });
  } catch (error) {
    return mapCallError(error, signal);
  }
}
