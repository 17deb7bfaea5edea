import type { IRefusal, IRequestEntry } from '../blackboard/Types.js';
import type { DecideRetry, IRetryView } from '../request/Types.js';
import type { RandomSource } from '../Types.js';

/** Limit on the attempts of a request that sets none itself. */
const MAX_ATTEMPTS = 3;
/** The bound of the random retry delay starts from this value and doubles with each attempt. */
const BASE_DELAY_MS = 20;

/**
 * Creates the decision that retries a failed attempt while the retry budget and the limit on attempts allow
 * it. A request that an endpoint may have run is repeated only if it is idempotent. A stream that has sent
 * output to the caller is retried only if it can be resumed. Delays are random, so that requests that failed
 * together are not retried together. An attempt of which nothing was sent is always placed again.
 */
export function createDecideRetry(random: RandomSource): DecideRetry {
  return (view) => {
    if (!isRetryable(view)) return { kind: 'refuse', refusal: buildRefusal(view) };
    const delayMs = random() * BASE_DELAY_MS * 2 ** view.request.attemptCount;
    return { kind: 'retry', delayMs };
  };
}

/**
 * Tells whether the limit on the attempts of a request allows one more.
 * @example
 * hasAttemptLeft({ attemptCount: 1, maxAttempts: 2 }); // true
 */
export function hasAttemptLeft({
  attemptCount,
  maxAttempts = MAX_ATTEMPTS,
}: Pick<IRequestEntry, 'attemptCount' | 'maxAttempts'>): boolean {
  return attemptCount < maxAttempts;
}

function isRetryable(view: IRetryView): boolean {
  const { request, error, hasBudget } = view;
  if (error.kind === 'cancelled' || error.kind === 'rejected') return false;
  // No endpoint has seen the attempt, so that it counts against no limit. One that was sent would be repeated.
  if (error.kind === 'evacuated') return request.isIdempotent || request.ran === 'no';
  if (!hasAttemptLeft(request) || !hasBudget) return false;
  const hasOutput = request.winningAttempt !== undefined && request.target.kind === 'model';
  // Without the id of the last event the next endpoint would send the stream from its beginning.
  const hasPosition = (error.lastEventId ?? request.resumeAfter) !== undefined;
  const isResumable = request.isResumable === true && hasPosition;
  if (hasOutput && request.target.kind === 'model' && request.target.isStreaming && !isResumable)
    return false;
  return request.isIdempotent || request.ran === 'no';
}

function buildRefusal({ request, error }: IRetryView): IRefusal {
  const message = `The endpoint failed: ${error.message}`;
  if (error.kind === 'rejected') return { code: 'invalid_request', message: error.message, ran: request.ran };
  if (request.ran === 'no') return { code: 'no_capacity', message, ran: 'no', retryAfterMs: 1000 };
  if (!request.isIdempotent) return { code: 'outcome_unknown', message, ran: request.ran };
  return { code: 'endpoint_failed', message, ran: request.ran, retryAfterMs: 1000 };
}
